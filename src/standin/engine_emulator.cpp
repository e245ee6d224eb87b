#include "standin/engine_emulator.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace shuntbank {
namespace {

/// Cache events retained for lagging readers.
constexpr std::size_t kMaxCacheEvents = 1024;

constexpr double kTokensPerBlock = kPrefixBlockCharacters / 4.0;

/// @return whether the engine is unavailable while it goes from `from` to `to`.
bool needs_change(const DesiredState& from, const DesiredState& to) {
  return from.role != to.role || from.models != to.models;
}

}  // namespace

const char* to_text(SubmitResult result) {
  switch (result) {
    case SubmitResult::kAccepted:
      return "accepted";
    case SubmitResult::kNotAccepting:
      return "not_accepting";
    case SubmitResult::kChangeInProgress:
      return "changing";
    case SubmitResult::kUnknownModel:
      return "unknown_model";
    case SubmitResult::kQueueFull:
      return "full";
  }
  return "accepted";
}

const char* to_text(Execution::End end) {
  switch (end) {
    case Execution::End::kRunning:
      return "running";
    case Execution::End::kFinished:
      return "finished";
    case Execution::End::kCancelled:
      return "cancelled";
    case Execution::End::kInterrupted:
      return "cut";
  }
  return "running";
}

EngineEmulator::EngineEmulator(const EngineCosts& costs, std::vector<ModelSpec> preloaded)
    : costs_(costs), preloaded_(std::move(preloaded)), cache_(costs.cache_blocks) {
  active_state_.models = preloaded_;
}

bool EngineEmulator::serves_model(const std::string& name) const {
  if (name.empty()) return true;
  for (const ModelSpec& model : active_state_.models) {
    if (name == model.name) return true;
    for (const std::string& adapter : model.adapters) {
      if (name == model.name + ":" + adapter) return true;
    }
  }
  return false;
}

SubmitResult EngineEmulator::submit(MonotonicTime now, const EngineJob& job) {
  if (change_ends_at_) return SubmitResult::kChangeInProgress;
  if (!active_state_.accepting) return SubmitResult::kNotAccepting;
  if (!serves_model(job.model)) return SubmitResult::kUnknownModel;
  if (waiting_.size() >= costs_.max_waiting) return SubmitResult::kQueueFull;
  ActiveJob active_job{job, executions_.size(), 0, job.resume_from, now};
  executions_.push_back({job.request, job.attempt, job.user, now, {}, Execution::End::kRunning});
  if (job.part == JobPart::kDecodeOnly) {
    const double tokens = static_cast<double>(job.prompt_tokens);
    active_job.import_ends_at = now + from_seconds(tokens / costs_.import_tokens_per_second);
  } else {
    const double cached = static_cast<double>(cache_.longest_match(job.blocks)) * kTokensPerBlock;
    const double total_tokens = static_cast<double>(job.prompt_tokens + job.resume_from);
    active_job.prefill_tokens_left = std::max(1.0, total_tokens - cached);
  }
  const auto position =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&job](const ActiveJob& other) { return other.job.priority < job.priority; });
  waiting_.insert(position, std::move(active_job));
  if (!step_ends_at_) begin_step(now);
  return SubmitResult::kAccepted;
}

bool EngineEmulator::cancel(MonotonicTime now, const AttemptId& attempt) {
  const auto matches = [&attempt](const ActiveJob& active_job) {
    return active_job.job.attempt == attempt;
  };
  const bool found = std::any_of(waiting_.begin(), waiting_.end(), matches) ||
                     std::any_of(decoding_.begin(), decoding_.end(), matches);
  if (found) end_job(attempt, now, Execution::End::kCancelled);
  return found;
}

void EngineEmulator::end_job(const AttemptId& attempt, MonotonicTime now, Execution::End end) {
  const auto matches = [&](const ActiveJob& active_job) {
    if (active_job.job.attempt != attempt) return false;
    executions_[active_job.execution].ended = now;
    executions_[active_job.execution].end = end;
    return true;
  };
  std::erase_if(waiting_, matches);
  std::erase_if(decoding_, matches);
}

OrderVerdict EngineEmulator::claim(Fence fence) {
  return gate_.claim(fence);
}

OrderVerdict EngineEmulator::order(MonotonicTime now, const EngineOrder& order) {
  const OrderVerdict verdict = gate_.offer(order);
  order_history_.push_back({order, verdict});
  if (verdict == OrderVerdict::kAccepted) start_change(now, order.desired);
  return verdict;
}

void EngineEmulator::start_change(MonotonicTime now, const DesiredState& desired) {
  const bool role_changes = active_state_.role != desired.role;
  if (!needs_change(active_state_, desired)) {
    active_state_ = desired;
    return;
  }
  interrupted_by_change_ += waiting_.size() + decoding_.size();
  interrupt_all(now, pending_events_);
  cache_.clear();
  if (role_changes) ++role_changes_;
  active_state_ = desired;
  change_ends_at_ = now + (role_changes ? costs_.role_change_time : costs_.model_load_time);
}

void EngineEmulator::interrupt_all(MonotonicTime now, std::vector<EngineEvent>& events) {
  std::vector<AttemptId> attempts;
  for (const ActiveJob& active_job : waiting_) attempts.push_back(active_job.job.attempt);
  for (const ActiveJob& active_job : decoding_) attempts.push_back(active_job.job.attempt);
  for (const AttemptId& attempt : attempts) {
    end_job(attempt, now, Execution::End::kInterrupted);
    events.push_back({EngineEvent::Kind::kInterrupted, attempt, 0});
  }
  step_ends_at_.reset();
}

void EngineEmulator::restart(MonotonicTime now) {
  interrupt_all(now, pending_events_);
  gate_ = OrderGate();
  active_state_ = DesiredState{EngineRole::kMixed, preloaded_, true};
  change_ends_at_.reset();
  cache_.clear();
  cache_events_.clear();
}

EngineState EngineEmulator::state() const {
  EngineState state;
  state.stamp = gate_.stamp();
  state.desired = gate_.stamp().sequence == 0 ? active_state_ : gate_.desired();
  state.role = active_state_.role;
  state.change_in_progress = change_ends_at_.has_value();
  state.models = active_state_.models;
  state.active = static_cast<std::uint32_t>(waiting_.size() + decoding_.size());
  return state;
}

LoadReport EngineEmulator::load() const {
  LoadReport report;
  report.running = static_cast<std::uint32_t>(decoding_.size());
  report.waiting = static_cast<std::uint32_t>(waiting_.size());
  double tokens = 0;
  for (const ActiveJob& active_job : waiting_) tokens += active_job.prefill_tokens_left;
  report.waiting_tokens = static_cast<std::uint64_t>(tokens);
  return report;
}

std::optional<MonotonicTime> EngineEmulator::next_time() const {
  if (change_ends_at_) return change_ends_at_;
  return step_ends_at_;
}

std::vector<EngineEvent> EngineEmulator::advance(MonotonicTime now) {
  std::vector<EngineEvent> events = std::exchange(pending_events_, {});
  if (change_ends_at_ && now >= *change_ends_at_) change_ends_at_.reset();
  while (step_ends_at_ && now >= *step_ends_at_) {
    end_step(events);
    const MonotonicTime ended = *step_ends_at_;
    step_ends_at_.reset();
    begin_step(ended);
  }
  return events;
}

double EngineEmulator::max_chunk_tokens() const {
  const bool no_decode_in_step = active_state_.role == EngineRole::kPrefill || decoding_.empty();
  return static_cast<double>(no_decode_in_step ? costs_.prefill_chunk_tokens
                                               : costs_.mixed_chunk_tokens);
}

void EngineEmulator::begin_step(MonotonicTime now) {
  // Sequences whose prompt is prefilled or imported join the batch, up to `max_batch`.
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    const bool ready = entry->prefill_tokens_left <= 0 && now >= entry->import_ends_at &&
                       entry->job.part != JobPart::kPrefillOnly;
    if (!ready || decoding_.size() >= costs_.max_batch) {
      ++entry;
      continue;
    }
    decoding_.push_back(std::move(*entry));
    entry = waiting_.erase(entry);
  }
  if (waiting_.empty() && decoding_.empty()) return;
  double queued = 0;
  for (const ActiveJob& active_job : waiting_) queued += active_job.prefill_tokens_left;
  step_prefill_tokens_ = std::min(queued, max_chunk_tokens());
  const auto decode_cost = costs_.step_per_sequence * static_cast<std::int64_t>(decoding_.size());
  const Duration prefill_cost =
      from_seconds(step_prefill_tokens_ / costs_.prefill_tokens_per_second);
  const Duration base =
      decoding_.empty() && step_prefill_tokens_ > 0 ? Duration::zero() : costs_.step_base;
  step_ends_at_ = now + std::max<Duration>(base + decode_cost + prefill_cost, Duration(100));
}

void EngineEmulator::end_step(std::vector<EngineEvent>& events) {
  double step_tokens_left = step_prefill_tokens_;
  std::vector<AttemptId> prefilled;
  for (ActiveJob& active_job : waiting_) {
    if (step_tokens_left <= 0) break;
    if (active_job.prefill_tokens_left <= 0) continue;
    const double done = std::min(step_tokens_left, active_job.prefill_tokens_left);
    active_job.prefill_tokens_left -= done;
    step_tokens_left -= done;
    if (active_job.prefill_tokens_left <= 0) finish_prefill(active_job, events);
    if (active_job.job.part == JobPart::kPrefillOnly && active_job.prefill_tokens_left <= 0) {
      prefilled.push_back(active_job.job.attempt);
    }
  }
  for (const AttemptId& attempt : prefilled)
    end_job(attempt, *step_ends_at_, Execution::End::kFinished);
  std::vector<AttemptId> finished;
  for (ActiveJob& active_job : decoding_) {
    const EngineJob& job = active_job.job;
    if (active_job.next_index < job.output_tokens) {
      events.push_back({EngineEvent::Kind::kToken, job.attempt, active_job.next_index++});
    }
    if (active_job.next_index >= job.output_tokens) finished.push_back(job.attempt);
  }
  for (const AttemptId& attempt : finished) {
    end_job(attempt, *step_ends_at_, Execution::End::kFinished);
    events.push_back({EngineEvent::Kind::kFinished, attempt, 0});
  }
}

void EngineEmulator::finish_prefill(ActiveJob& active_job, std::vector<EngineEvent>& events) {
  record_cached(*step_ends_at_, active_job.job.blocks);
  if (active_job.job.part == JobPart::kPrefillOnly) {
    events.push_back({EngineEvent::Kind::kPrefilled, active_job.job.attempt, 0});
    return;
  }
  // Prefill itself yields the first token.
  if (active_job.next_index < active_job.job.output_tokens) {
    events.push_back({EngineEvent::Kind::kToken, active_job.job.attempt, active_job.next_index++});
  }
}

void EngineEmulator::record_cached(MonotonicTime now, const std::vector<std::uint64_t>& blocks) {
  if (blocks.empty()) return;
  cache_.insert(blocks);
  cache_events_.push_back({++last_cache_event_, now, true, blocks});
  if (cache_events_.size() > kMaxCacheEvents) cache_events_.pop_front();
}

}  // namespace shuntbank
