#include "core/relay/crash_ledger.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace shuntbank::relay {
namespace {

/// Interval between checks of one engine; a live engine answers within a few milliseconds.
constexpr Duration kLivenessCheckInterval = std::chrono::milliseconds(500);

/// Interruptions of a request from which on its engines are checked.
constexpr std::size_t kMinInterruptionsToCheck = 2;

}  // namespace

std::size_t CrashLedger::count_interruptions(const Suspect& suspect) {
  return static_cast<std::size_t>(std::count_if(
      suspect.engines.begin(), suspect.engines.end(),
      [](const auto& entry) { return entry.second.crashed || !entry.second.silent; }));
}

std::size_t CrashLedger::count_crashes(const Suspect& suspect) {
  return static_cast<std::size_t>(
      std::count_if(suspect.engines.begin(), suspect.engines.end(),
                    [](const auto& entry) { return entry.second.crashed; }));
}

bool CrashLedger::has_active_trial(MonotonicTime now, const Suspect& suspect) const {
  return suspect.trial && now - suspect.trial->started_at <= this->settings.max_trial_duration;
}

std::set<CallerAddressHash> CrashLedger::crash_callers(const Suspect& suspect) {
  std::set<CallerAddressHash> callers;
  for (const auto& [engine, interruption] : suspect.engines) {
    if (interruption.crashed) callers.insert(interruption.caller);
  }
  return callers;
}

SuspectStatus CrashLedger::status(MonotonicTime now, const CallerRequest& attempt) const {
  const auto found = this->suspects.find(attempt.request);
  if (found == this->suspects.end()) return {};
  const Suspect& suspect = found->second;
  SuspectStatus status;
  status.interruptions = count_interruptions(suspect);
  status.crashes = count_crashes(suspect);
  status.in_flight = this->has_active_trial(now, suspect);
  if (!suspect.quarantined_until || *suspect.quarantined_until <= now) return status;
  const auto callers = crash_callers(suspect);
  if (callers.size() > 1 || callers.count(attempt.caller) > 0) {
    status.quarantine_left = *suspect.quarantined_until - now;
  }
  return status;
}

void CrashLedger::on_interrupted(MonotonicTime at, const InterruptedRequest& interrupted) {
  // Overload causes timeouts by the thousand, and these must not displace real evidence.
  if (interrupted.silent && this->suspects.size() >= this->settings.max_suspects / 2) return;
  const auto answered = this->last_answers.find(interrupted.engine);
  if (answered != this->last_answers.end() && at < answered->second) return;
  const RequestIdentity& request = interrupted.attempt.request;
  if (this->suspects.count(request) == 0) this->evict_if_full();
  Suspect& suspect = this->suspects[request];
  if (at <= suspect.cleared_at) return;
  if (suspect.trial && suspect.trial->engine == interrupted.engine) suspect.trial.reset();
  suspect.last_event_at = std::max(suspect.last_event_at, at);
  const auto [entry, added] = suspect.engines.try_emplace(
      interrupted.engine, Interruption{at, interrupted.attempt.caller, interrupted.silent,
                                       interrupted.from_peer, false});
  if (!added) {
    entry->second.silent = entry->second.silent && interrupted.silent;
    entry->second.from_peer = entry->second.from_peer && interrupted.from_peer;
  }
  if (this->crashes.count(interrupted.engine) == 0 || std::exchange(entry->second.crashed, true))
    return;
  this->evaluate(at, request, suspect);
}

bool CrashLedger::reported_by_peer(const RequestIdentity& request) const {
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end()) return false;
  const auto& engines = found->second.engines;
  return std::any_of(engines.begin(), engines.end(),
                     [](const auto& entry) { return entry.second.from_peer; });
}

std::vector<RequestIdentity> CrashLedger::interrupted_by(EngineKey engine) const {
  std::vector<RequestIdentity> requests;
  for (const auto& [request, suspect] : this->suspects) {
    if (suspect.engines.count(engine) > 0) requests.push_back(request);
  }
  return requests;
}

bool CrashLedger::crashed_before(MonotonicTime at, EngineKey engine) const {
  const auto crash = this->crashes.find(engine);
  return crash != this->crashes.end() && crash->second < at;
}

void CrashLedger::on_engine_crashed(MonotonicTime now, EngineKey engine) {
  this->crashes.try_emplace(engine, now);
  for (auto& [request, suspect] : this->suspects) {
    const auto interruption = suspect.engines.find(engine);
    if (interruption == suspect.engines.end() || std::exchange(interruption->second.crashed, true))
      continue;
    this->evaluate(now, request, suspect);
  }
}

void CrashLedger::on_engine_answered(MonotonicTime sent_at, EngineKey engine) {
  this->crashes.erase(engine);
  MonotonicTime& last_answer = this->last_answers[engine];
  last_answer = std::max(last_answer, sent_at);
  for (auto& [request, suspect] : this->suspects) {
    const auto interruption = suspect.engines.find(engine);
    if (interruption == suspect.engines.end() || interruption->second.at >= sent_at) continue;
    suspect.engines.erase(interruption);
    if (!suspect.quarantined_until || count_crashes(suspect) >= this->settings.quarantine_threshold)
      continue;
    suspect.quarantined_until.reset();
    suspect.released = true;
    this->quarantined_requests.erase(request);
  }
}

void CrashLedger::clear(MonotonicTime at, const RequestIdentity& request) {
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end()) return;
  Suspect& suspect = found->second;
  suspect.cleared_at = std::max(suspect.cleared_at, at);
  std::erase_if(suspect.engines, [at](const auto& entry) { return entry.second.at <= at; });
  suspect.trial.reset();
  if (std::exchange(suspect.quarantined_until, std::nullopt)) suspect.released = true;
  suspect.last_event_at = at;
  this->quarantined_requests.erase(request);
}

void CrashLedger::begin_trial(MonotonicTime now, const RequestIdentity& request, EngineKey engine) {
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end()) return;
  found->second.trial = Trial{engine, now};
}

void CrashLedger::end_trial(const RequestIdentity& request) {
  const auto found = this->suspects.find(request);
  if (found != this->suspects.end()) found->second.trial.reset();
}

std::set<EngineKey> CrashLedger::trial_engines(MonotonicTime now,
                                               const std::vector<RequestIdentity>& except) const {
  std::set<EngineKey> engines;
  for (const auto& [other, suspect] : this->suspects) {
    const bool own = std::find(except.begin(), except.end(), other) != except.end();
    if (!own && this->has_active_trial(now, suspect)) engines.insert(suspect.trial->engine);
  }
  return engines;
}

void CrashLedger::extend_quarantine(MonotonicTime now, const RequestIdentity& request) {
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end() || !found->second.quarantined_until) return;
  found->second.quarantined_until = now + this->settings.quarantine_duration;
}

void CrashLedger::restore(MonotonicTime now, const QuarantinedRequest& entry) {
  if (this->suspects.count(entry.request) == 0) this->evict_if_full();
  Suspect& suspect = this->suspects[entry.request];
  if (suspect.released) return;
  // Which caller goes with which engine is not stored and no longer matters.
  auto caller = entry.callers.begin();
  for (const EngineKey engine : entry.crashed_engines) {
    suspect.engines[engine] = Interruption{now, *caller, false, true, true};
    if (std::next(caller) != entry.callers.end()) ++caller;
  }
  suspect.quarantined_callers = entry.callers.size();
  suspect.last_event_at = now;
  suspect.quarantined_until =
      now + std::clamp(entry.time_left, Duration::zero(), this->settings.quarantine_duration);
  this->quarantined_requests.insert(entry.request);
}

std::vector<CrashEvidence> CrashLedger::evidence(const RequestIdentity& request) const {
  std::vector<CrashEvidence> evidence;
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end()) return evidence;
  for (const auto& [engine, interruption] : found->second.engines) {
    if (interruption.crashed || !interruption.silent)
      evidence.push_back({engine, interruption.caller, interruption.at, interruption.crashed});
  }
  return evidence;
}

std::vector<EngineKey> CrashLedger::take_liveness_checks(MonotonicTime now) {
  std::set<EngineKey> unconfirmed;
  for (const auto& [request, suspect] : this->suspects) {
    if (count_interruptions(suspect) < kMinInterruptionsToCheck) continue;
    for (const auto& [engine, interruption] : suspect.engines) {
      if (!interruption.crashed && !interruption.silent && !interruption.from_peer)
        unconfirmed.insert(engine);
    }
  }
  std::erase_if(this->last_checks,
                [&](const auto& entry) { return unconfirmed.count(entry.first) == 0; });
  std::vector<EngineKey> checks;
  for (const EngineKey engine : unconfirmed) {
    const auto [last_check, first] = this->last_checks.try_emplace(engine, now);
    if (!first && now - last_check->second < kLivenessCheckInterval) continue;
    last_check->second = now;
    checks.push_back(engine);
  }
  return checks;
}

/// @return whether the engine's crash is already attributed to another quarantined request.
bool CrashLedger::explained_by_quarantine(EngineKey engine, const RequestIdentity& request) const {
  return std::any_of(
      this->quarantined_requests.begin(), this->quarantined_requests.end(), [&](const auto& other) {
        if (other == request) return false;
        const auto found = this->suspects.find(other);
        return found != this->suspects.end() && found->second.engines.count(engine) > 0;
      });
}

/// @return whether the engine's crash is already attributed to another quarantined prompt part.
bool CrashLedger::explained_by_part(EngineKey engine, const RequestIdentity& request) const {
  return std::any_of(
      this->quarantined_requests.begin(), this->quarantined_requests.end(), [&](const auto& other) {
        if (other == request || !is_prompt_part(other)) return false;
        const auto found = this->suspects.find(other);
        return found != this->suspects.end() && found->second.engines.count(engine) > 0;
      });
}

std::set<EngineKey> CrashLedger::crashed_engines(const Suspect& suspect) {
  std::set<EngineKey> crashed;
  for (const auto& [engine, interruption] : suspect.engines) {
    if (interruption.crashed) crashed.insert(engine);
  }
  return crashed;
}

/// @return whether enough engines crashed under requests with the part, and not only under one that
/// is quarantined itself.
bool CrashLedger::may_be_cause(const RequestIdentity& part, const Suspect& suspect) const {
  std::size_t crash_count = 0;
  bool beyond_one_request = false;
  for (const EngineKey engine : crashed_engines(suspect)) {
    if (this->explained_by_part(engine, part)) continue;
    ++crash_count;
    beyond_one_request = beyond_one_request || !this->explained_by_quarantine(engine, part);
  }
  return crash_count >= this->settings.quarantine_threshold && beyond_one_request;
}

/// @return the part under which most engines crashed, if it has had time to be cleared.
CrashLedger::Suspects::iterator CrashLedger::find_crashing_part(MonotonicTime now) {
  auto best = this->suspects.end();
  for (auto it = this->suspects.begin(); it != this->suspects.end(); ++it) {
    auto& [part, suspect] = *it;
    if (!is_prompt_part(part) || suspect.quarantined_until) continue;
    if (!this->may_be_cause(part, suspect)) {
      suspect.threshold_reached_at.reset();
      continue;
    }
    if (!suspect.threshold_reached_at) suspect.threshold_reached_at = now;
    const bool settled = now - *suspect.threshold_reached_at >= this->settings.part_settle_time;
    const bool more =
        best == this->suspects.end() || count_crashes(suspect) > count_crashes(best->second);
    if (settled && more) best = it;
  }
  return best;
}

/// Quarantines the part under which most engines crashed, and those that were always beside it;
/// then the next one, as far as this one does not explain it.
void CrashLedger::evaluate_parts(MonotonicTime now) {
  for (auto best = this->find_crashing_part(now); best != this->suspects.end();
       best = this->find_crashing_part(now)) {
    const std::set<EngineKey> engines = crashed_engines(best->second);
    this->quarantine_parts(now, engines);
    this->lift_explained_parts(engines);
  }
}

void CrashLedger::quarantine_parts(MonotonicTime now, const std::set<EngineKey>& engines) {
  for (auto& [part, suspect] : this->suspects) {
    if (!is_prompt_part(part) || suspect.quarantined_until) continue;
    if (crashed_engines(suspect) == engines) this->begin_quarantine(now, part, suspect);
  }
}

/// Lifts the quarantine of parts under which only some of these engines crashed.
void CrashLedger::lift_explained_parts(const std::set<EngineKey>& engines) {
  for (auto& [part, suspect] : this->suspects) {
    if (!is_prompt_part(part) || !suspect.quarantined_until) continue;
    const std::set<EngineKey> own = crashed_engines(suspect);
    const bool explained = own.size() < engines.size() &&
                           std::includes(engines.begin(), engines.end(), own.begin(), own.end());
    if (!explained) continue;
    suspect.quarantined_until.reset();
    suspect.released = true;
    this->quarantined_requests.erase(part);
  }
}

void CrashLedger::begin_quarantine(MonotonicTime now, const RequestIdentity& request,
                                   Suspect& suspect) {
  suspect.quarantined_until = now + this->settings.quarantine_duration;
  suspect.quarantined_callers = crash_callers(suspect).size();
  this->quarantined_requests.insert(request);
  this->new_quarantines.push_back(request);
}

std::set<RequestIdentity> CrashLedger::inseparable_parts(const RequestIdentity& part) const {
  std::set<RequestIdentity> parts{part};
  const auto found = this->suspects.find(part);
  if (found == this->suspects.end()) return parts;
  const std::set<EngineKey> engines = crashed_engines(found->second);
  for (const RequestIdentity& other : this->quarantined_requests) {
    if (is_prompt_part(other) && crashed_engines(this->suspects.at(other)) == engines) {
      parts.insert(other);
    }
  }
  return parts;
}

bool CrashLedger::interrupted_here(const RequestIdentity& request, EngineKey engine) const {
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end()) return false;
  const auto interruption = found->second.engines.find(engine);
  return interruption != found->second.engines.end() && !interruption->second.from_peer;
}

void CrashLedger::evaluate(MonotonicTime now, const RequestIdentity& request, Suspect& suspect) {
  const bool part = is_prompt_part(request);
  if (part && !suspect.quarantined_until) return;  // See `evaluate_parts`.
  std::size_t crash_count = 0;
  std::size_t unexplained = 0;
  for (const auto& [engine, interruption] : suspect.engines) {
    if (!interruption.crashed) continue;
    if (!this->explained_by_part(engine, request)) ++crash_count;
    if (!this->explained_by_quarantine(engine, request)) ++unexplained;
  }
  const bool over_threshold = unexplained >= this->settings.quarantine_threshold ||
                              crash_count >= this->settings.unconditional_threshold;
  if (!suspect.quarantined_until && !over_threshold) return;
  const std::size_t callers = crash_callers(suspect).size();
  if (suspect.quarantined_until && callers <= suspect.quarantined_callers) return;
  this->begin_quarantine(now, request, suspect);
}

std::vector<QuarantinedRequest> CrashLedger::take_new_quarantines(MonotonicTime now) {
  this->evaluate_parts(now);
  const auto changed = std::exchange(this->new_quarantines, {});
  std::vector<QuarantinedRequest> taken = this->quarantined(now);
  std::erase_if(taken, [&](const QuarantinedRequest& entry) {
    return std::find(changed.begin(), changed.end(), entry.request) == changed.end();
  });
  return taken;
}

std::vector<QuarantinedRequest> CrashLedger::quarantined(MonotonicTime now) const {
  std::vector<QuarantinedRequest> quarantined;
  for (const RequestIdentity& request : this->quarantined_requests) {
    const Suspect& suspect = this->suspects.at(request);
    if (!suspect.quarantined_until || *suspect.quarantined_until <= now) continue;
    QuarantinedRequest entry{request, {}, crash_callers(suspect), *suspect.quarantined_until - now};
    for (const auto& [engine, interruption] : suspect.engines) {
      if (interruption.crashed) entry.crashed_engines.push_back(engine);
    }
    quarantined.push_back(std::move(entry));
  }
  return quarantined;
}

void CrashLedger::expire(MonotonicTime now) {
  const auto expired = [&](const auto& entry) {
    return now - entry.second > this->settings.crash_retention;
  };
  std::erase_if(this->crashes, expired);
  std::erase_if(this->last_answers, expired);
  for (auto& [request, suspect] : this->suspects) {
    std::erase_if(suspect.engines, [&](const auto& entry) {
      return !entry.second.crashed && now - entry.second.at > this->settings.confirmation_timeout;
    });
    if (!suspect.quarantined_until || *suspect.quarantined_until > now) continue;
    // One more crash quarantines it again.
    suspect.quarantined_until.reset();
    this->quarantined_requests.erase(request);
    while (suspect.engines.size() >= this->settings.quarantine_threshold) {
      suspect.engines.erase(suspect.engines.begin());
    }
    suspect.last_event_at = now;
  }
  std::erase_if(this->suspects, [&](const auto& entry) {
    const Suspect& suspect = entry.second;
    if (suspect.quarantined_until || this->has_active_trial(now, suspect)) return false;
    const bool relevant = !suspect.engines.empty() || suspect.released;
    const Duration retention =
        relevant ? this->settings.suspect_retention : this->settings.crash_retention;
    return now - suspect.last_event_at > retention;
  });
}

void CrashLedger::evict_if_full() {
  if (this->suspects.size() < this->settings.max_suspects) return;
  const auto priority = [](const Suspect& suspect) {
    return std::pair(suspect.quarantined_until.has_value(), count_crashes(suspect));
  };
  const auto evicted = std::min_element(
      this->suspects.begin(), this->suspects.end(), [&](const auto& left, const auto& right) {
        return std::pair(priority(left.second), left.second.last_event_at) <
               std::pair(priority(right.second), right.second.last_event_at);
      });
  this->quarantined_requests.erase(evicted->first);
  this->suspects.erase(evicted);
}

}  // namespace shuntbank::relay
