#include "standin/engine_emulator.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace shuntbank {
namespace {

/// Cache events that are kept for readers who lag.
constexpr std::size_t kMaxCacheEvents = 1024;

constexpr double kTokensPerBlock = kPrefixBlockCharacters / 4.0;

/// @return whether going from `from` to `to` takes the engine away for a while.
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
    case SubmitResult::kChanging:
      return "changing";
    case SubmitResult::kUnknownModel:
      return "unknown_model";
    case SubmitResult::kFull:
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
    case Execution::End::kCut:
      return "cut";
  }
  return "running";
}

EngineEmulator::EngineEmulator(const EngineCosts& costs, std::vector<ModelSpec> preloaded)
    : costs_(costs), preloaded_(std::move(preloaded)), cache_(costs.cache_blocks) {
  in_force_.models = preloaded_;
}

bool EngineEmulator::holds_model(const std::string& name) const {
  if (name.empty()) return true;
  for (const ModelSpec& model : in_force_.models) {
    if (name == model.name) return true;
    for (const std::string& adapter : model.adapters) {
      if (name == model.name + ":" + adapter) return true;
    }
  }
  return false;
}

SubmitResult EngineEmulator::submit(MonotonicTime now, const EngineJob& job) {
  if (change_ends_) return SubmitResult::kChanging;
  if (!in_force_.accepting) return SubmitResult::kNotAccepting;
  if (!holds_model(job.model)) return SubmitResult::kUnknownModel;
  if (waiting_.size() >= costs_.max_waiting) return SubmitResult::kFull;
  Running running{job, executions_.size(), 0, job.resume_from, now};
  executions_.push_back({job.request, job.attempt, job.mark, now, {}, Execution::End::kRunning});
  if (job.part == JobPart::kDecodeOnly) {
    const double tokens = static_cast<double>(job.prompt_tokens);
    running.importing_until = now + from_seconds(tokens / costs_.import_tokens_per_second);
  } else {
    const double cached = static_cast<double>(cache_.longest_match(job.blocks)) * kTokensPerBlock;
    const double whole = static_cast<double>(job.prompt_tokens + job.resume_from);
    running.prefill_left = std::max(1.0, whole - cached);
  }
  const auto place = std::find_if(waiting_.begin(), waiting_.end(), [&job](const Running& other) {
    return other.job.priority < job.priority;
  });
  waiting_.insert(place, std::move(running));
  if (!step_ends_) begin_step(now);
  return SubmitResult::kAccepted;
}

bool EngineEmulator::cancel(MonotonicTime now, const AttemptId& attempt) {
  const auto is_it = [&attempt](const Running& running) { return running.job.attempt == attempt; };
  const bool found = std::any_of(waiting_.begin(), waiting_.end(), is_it) ||
                     std::any_of(decoding_.begin(), decoding_.end(), is_it);
  if (found) end_job(attempt, now, Execution::End::kCancelled);
  return found;
}

void EngineEmulator::end_job(const AttemptId& attempt, MonotonicTime now, Execution::End end) {
  const auto is_it = [&](const Running& running) {
    if (running.job.attempt != attempt) return false;
    executions_[running.execution].ended = now;
    executions_[running.execution].end = end;
    return true;
  };
  std::erase_if(waiting_, is_it);
  std::erase_if(decoding_, is_it);
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
  const bool role_changes = in_force_.role != desired.role;
  if (!needs_change(in_force_, desired)) {
    in_force_ = desired;
    return;
  }
  cut_by_change_ += waiting_.size() + decoding_.size();
  cut_all(now, pending_events_);
  cache_.clear();
  if (role_changes) ++role_changes_;
  in_force_ = desired;
  change_ends_ = now + (role_changes ? costs_.role_change_time : costs_.model_load_time);
}

void EngineEmulator::cut_all(MonotonicTime now, std::vector<EngineEvent>& events) {
  std::vector<AttemptId> attempts;
  for (const Running& running : waiting_) attempts.push_back(running.job.attempt);
  for (const Running& running : decoding_) attempts.push_back(running.job.attempt);
  for (const AttemptId& attempt : attempts) {
    end_job(attempt, now, Execution::End::kCut);
    events.push_back({EngineEvent::Kind::kCut, attempt, 0});
  }
  step_ends_.reset();
}

void EngineEmulator::restart(MonotonicTime now) {
  cut_all(now, pending_events_);
  gate_ = OrderGate();
  in_force_ = DesiredState{EngineRole::kMixed, preloaded_, true};
  change_ends_.reset();
  cache_.clear();
  cache_events_.clear();
}

EngineState EngineEmulator::state() const {
  EngineState state;
  state.stamp = gate_.held();
  state.desired = gate_.held().sequence == 0 ? in_force_ : gate_.desired();
  state.role = in_force_.role;
  state.change_in_progress = change_ends_.has_value();
  state.models = in_force_.models;
  state.active = static_cast<std::uint32_t>(waiting_.size() + decoding_.size());
  return state;
}

LoadReport EngineEmulator::load() const {
  LoadReport report;
  report.running = static_cast<std::uint32_t>(decoding_.size());
  report.waiting = static_cast<std::uint32_t>(waiting_.size());
  double tokens = 0;
  for (const Running& running : waiting_) tokens += running.prefill_left;
  report.waiting_tokens = static_cast<std::uint64_t>(tokens);
  return report;
}

std::optional<MonotonicTime> EngineEmulator::next_time() const {
  if (change_ends_) return change_ends_;
  return step_ends_;
}

std::vector<EngineEvent> EngineEmulator::advance(MonotonicTime now) {
  std::vector<EngineEvent> events = std::exchange(pending_events_, {});
  if (change_ends_ && now >= *change_ends_) change_ends_.reset();
  while (step_ends_ && now >= *step_ends_) {
    end_step(events);
    const MonotonicTime ended = *step_ends_;
    step_ends_.reset();
    begin_step(ended);
  }
  return events;
}

double EngineEmulator::chunk_tokens() const {
  const bool alone = in_force_.role == EngineRole::kPrefill || decoding_.empty();
  return static_cast<double>(alone ? costs_.prefill_chunk_tokens : costs_.mixed_chunk_tokens);
}

void EngineEmulator::begin_step(MonotonicTime now) {
  // Sequences whose prompt is done or imported enter the batch as far as there is room.
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    const bool ready = entry->prefill_left <= 0 && now >= entry->importing_until &&
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
  for (const Running& running : waiting_) queued += running.prefill_left;
  step_prefill_ = std::min(queued, chunk_tokens());
  const auto decode_cost = costs_.step_per_sequence * static_cast<std::int64_t>(decoding_.size());
  const Duration prefill_cost = from_seconds(step_prefill_ / costs_.prefill_tokens_per_second);
  const Duration base =
      decoding_.empty() && step_prefill_ > 0 ? Duration::zero() : costs_.step_base;
  step_ends_ = now + std::max<Duration>(base + decode_cost + prefill_cost, Duration(100));
}

void EngineEmulator::end_step(std::vector<EngineEvent>& events) {
  double budget = step_prefill_;
  std::vector<AttemptId> prefilled;
  for (Running& running : waiting_) {
    if (budget <= 0) break;
    if (running.prefill_left <= 0) continue;
    const double done = std::min(budget, running.prefill_left);
    running.prefill_left -= done;
    budget -= done;
    if (running.prefill_left <= 0) finish_prefill(running, events);
    if (running.job.part == JobPart::kPrefillOnly && running.prefill_left <= 0) {
      prefilled.push_back(running.job.attempt);
    }
  }
  for (const AttemptId& attempt : prefilled)
    end_job(attempt, *step_ends_, Execution::End::kFinished);
  std::vector<AttemptId> finished;
  for (Running& running : decoding_) {
    const EngineJob& job = running.job;
    if (running.next_index < job.output_tokens) {
      events.push_back({EngineEvent::Kind::kToken, job.attempt, running.next_index++});
    }
    if (running.next_index >= job.output_tokens) finished.push_back(job.attempt);
  }
  for (const AttemptId& attempt : finished) {
    end_job(attempt, *step_ends_, Execution::End::kFinished);
    events.push_back({EngineEvent::Kind::kFinished, attempt, 0});
  }
}

void EngineEmulator::finish_prefill(Running& running, std::vector<EngineEvent>& events) {
  note_cached(*step_ends_, running.job.blocks);
  if (running.job.part == JobPart::kPrefillOnly) {
    events.push_back({EngineEvent::Kind::kPrefilled, running.job.attempt, 0});
    return;
  }
  // Prefill itself yields the first token.
  if (running.next_index < running.job.output_tokens) {
    events.push_back({EngineEvent::Kind::kToken, running.job.attempt, running.next_index++});
  }
}

void EngineEmulator::note_cached(MonotonicTime now, const std::vector<std::uint64_t>& blocks) {
  if (blocks.empty()) return;
  cache_.insert(blocks);
  cache_events_.push_back({++last_cache_event_, now, true, blocks});
  if (cache_events_.size() > kMaxCacheEvents) cache_events_.pop_front();
}

}  // namespace shuntbank
