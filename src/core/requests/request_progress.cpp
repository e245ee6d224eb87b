#include "core/requests/request_progress.hpp"

#include <utility>

namespace shuntbank {

const char* to_text(RequestOutcome outcome) {
  return outcome == RequestOutcome::kNotRun ? "not_run" : "unknown";
}

RequestProgress::RequestProgress(RequestId id, bool repeatable, std::uint32_t max_attempts)
    : id_(std::move(id)), repeatable_(repeatable), max_attempts_(max_attempts) {}

AttemptId RequestProgress::begin_attempt() {
  ++attempts_;
  in_flight_ = true;

  current_ = AttemptId(id_.value() + "." + std::to_string(attempts_));
  return current_;
}

ChunkVerdict RequestProgress::accept_chunk(const AttemptId& attempt, std::uint32_t index) {
  if (!in_flight_ || attempt != current_ || index < delivered_) return ChunkVerdict::kDrop;
  if (index > delivered_) return ChunkVerdict::kGap;
  ++delivered_;
  may_have_run_ = true;
  return ChunkVerdict::kDeliver;
}

FailureDecision RequestProgress::on_attempt_failed(AttemptFailure failure, bool may_retry) {
  in_flight_ = false;
  if (failure == AttemptFailure::kUncertain) may_have_run_ = true;
  const bool safe_to_repeat = repeatable_ || !may_have_run_;
  if (safe_to_repeat && may_retry && attempts_ < max_attempts_) return Redispatch{delivered_};
  return AbortRequest{outcome_if_abandoned()};
}

RequestOutcome RequestProgress::outcome_if_abandoned() const {
  return may_have_run_ || in_flight_ ? RequestOutcome::kUnknown : RequestOutcome::kNotRun;
}

}  // namespace shuntbank
