#include "core/relay/crash_ledger.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace shuntbank::relay {
namespace {

/// Until an engine is asked once more whether it lives: an answer takes a few milliseconds, and an
/// engine that is dark gives none.
constexpr Duration kAskAgain = std::chrono::milliseconds(500);

/// From so many engines on that may have ended, it is asked whether they have.
constexpr std::size_t kAskFrom = 2;

}  // namespace

std::size_t CrashLedger::count_broken(const Suspect& suspect) {
  return static_cast<std::size_t>(
      std::count_if(suspect.engines.begin(), suspect.engines.end(),
                    [](const auto& entry) { return entry.second.ended || !entry.second.silent; }));
}

std::size_t CrashLedger::count_ended(const Suspect& suspect) {
  return static_cast<std::size_t>(
      std::count_if(suspect.engines.begin(), suspect.engines.end(),
                    [](const auto& entry) { return entry.second.ended; }));
}

bool CrashLedger::on_trial(MonotonicTime now, const Suspect& suspect) const {
  return suspect.trial && now - suspect.trial->since <= this->settings.longest_trial;
}

std::set<CallerAddressHash> CrashLedger::callers_of(const Suspect& suspect) {
  std::set<CallerAddressHash> callers;
  for (const auto& [engine, broken] : suspect.engines) {
    if (broken.ended) callers.insert(broken.caller);
  }
  return callers;
}

CrashStanding CrashLedger::standing(MonotonicTime now, const CallerRequest& tried) const {
  const auto found = this->suspects.find(tried.request);
  if (found == this->suspects.end()) return {};
  const Suspect& suspect = found->second;
  CrashStanding standing;
  standing.broken = count_broken(suspect);
  standing.ended = count_ended(suspect);
  standing.under_way = this->on_trial(now, suspect);
  if (!suspect.held_until || *suspect.held_until <= now) return standing;
  const auto callers = callers_of(suspect);
  if (callers.size() > 1 || callers.count(tried.caller) > 0) {
    standing.held_for = *suspect.held_until - now;
  }
  return standing;
}

void CrashLedger::on_broken(MonotonicTime at, const BrokenRequest& broken) {
  // Overloads end in silence by the thousand, and hardly ever because an engine has gone.
  if (broken.silent && this->suspects.size() >= this->settings.most_suspects / 2) return;
  const auto answered = this->lived.find(broken.engine);
  if (answered != this->lived.end() && at < answered->second) return;
  const RequestIdentity& request = broken.tried.request;
  if (this->suspects.count(request) == 0) this->make_room();
  Suspect& suspect = this->suspects[request];
  if (at <= suspect.cleared_at) return;
  if (suspect.trial && suspect.trial->engine == broken.engine) suspect.trial.reset();
  suspect.last = std::max(suspect.last, at);
  const auto [entry, added] = suspect.engines.try_emplace(
      broken.engine, Broken{at, broken.tried.caller, broken.silent, broken.heard, false});
  if (!added) {
    entry->second.silent = entry->second.silent && broken.silent;
    entry->second.heard = entry->second.heard && broken.heard;
  }
  if (this->ends.count(broken.engine) == 0 || std::exchange(entry->second.ended, true)) return;
  this->judge(at, request, suspect);
}

bool CrashLedger::heard_of(const RequestIdentity& request) const {
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end()) return false;
  const auto& engines = found->second.engines;
  return std::any_of(engines.begin(), engines.end(),
                     [](const auto& entry) { return entry.second.heard; });
}

std::vector<RequestIdentity> CrashLedger::broken_by(EngineKey engine) const {
  std::vector<RequestIdentity> requests;
  for (const auto& [request, suspect] : this->suspects) {
    if (suspect.engines.count(engine) > 0) requests.push_back(request);
  }
  return requests;
}

bool CrashLedger::ended_before(MonotonicTime at, EngineKey engine) const {
  const auto end = this->ends.find(engine);
  return end != this->ends.end() && end->second < at;
}

void CrashLedger::on_engine_ended(MonotonicTime now, EngineKey engine) {
  this->ends.try_emplace(engine, now);
  for (auto& [request, suspect] : this->suspects) {
    const auto broken = suspect.engines.find(engine);
    if (broken == suspect.engines.end() || std::exchange(broken->second.ended, true)) continue;
    this->judge(now, request, suspect);
  }
}

void CrashLedger::on_engine_answered(MonotonicTime sent_at, EngineKey engine) {
  this->ends.erase(engine);
  MonotonicTime& last = this->lived[engine];
  last = std::max(last, sent_at);
  for (auto& [request, suspect] : this->suspects) {
    const auto broken = suspect.engines.find(engine);
    if (broken == suspect.engines.end() || broken->second.at >= sent_at) continue;
    suspect.engines.erase(broken);
    if (!suspect.held_until || count_ended(suspect) >= this->settings.enough) continue;
    suspect.held_until.reset();
    suspect.let_go = true;
    this->held_back.erase(request);
  }
}

void CrashLedger::clear(MonotonicTime at, const RequestIdentity& request) {
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end()) return;
  Suspect& suspect = found->second;
  suspect.cleared_at = std::max(suspect.cleared_at, at);
  std::erase_if(suspect.engines, [at](const auto& entry) { return entry.second.at <= at; });
  suspect.trial.reset();
  if (std::exchange(suspect.held_until, std::nullopt)) suspect.let_go = true;
  suspect.last = at;
  this->held_back.erase(request);
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

std::set<EngineKey> CrashLedger::engines_on_trial(MonotonicTime now,
                                                  const RequestIdentity& request) const {
  std::set<EngineKey> engines;
  for (const auto& [other, suspect] : this->suspects) {
    if (other != request && this->on_trial(now, suspect)) engines.insert(suspect.trial->engine);
  }
  return engines;
}

void CrashLedger::on_held_again(MonotonicTime now, const RequestIdentity& request) {
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end() || !found->second.held_until) return;
  found->second.held_until = now + this->settings.hold;
}

void CrashLedger::restore(MonotonicTime now, const HeldRequest& held) {
  if (this->suspects.count(held.request) == 0) this->make_room();
  Suspect& suspect = this->suspects[held.request];
  if (suspect.let_go) return;
  // Under which caller which engine ended matters no more.
  auto caller = held.callers.begin();
  for (const EngineKey engine : held.ended) {
    suspect.engines[engine] = Broken{now, *caller, false, true, true};
    if (std::next(caller) != held.callers.end()) ++caller;
  }
  suspect.held_callers = held.callers.size();
  suspect.last = now;
  suspect.held_until = now + std::clamp(held.left, Duration::zero(), this->settings.hold);
  this->held_back.insert(held.request);
}

std::vector<CrashEvidence> CrashLedger::evidence(const RequestIdentity& request) const {
  std::vector<CrashEvidence> evidence;
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end()) return evidence;
  for (const auto& [engine, broken] : found->second.engines) {
    if (broken.ended || !broken.silent)
      evidence.push_back({engine, broken.caller, broken.at, broken.ended});
  }
  return evidence;
}

std::vector<EngineKey> CrashLedger::take_questions(MonotonicTime now) {
  std::set<EngineKey> open;
  for (const auto& [request, suspect] : this->suspects) {
    if (count_broken(suspect) < kAskFrom) continue;
    for (const auto& [engine, broken] : suspect.engines) {
      if (!broken.ended && !broken.silent && !broken.heard) open.insert(engine);
    }
  }
  std::erase_if(this->asked, [&](const auto& entry) { return open.count(entry.first) == 0; });
  std::vector<EngineKey> questions;
  for (const EngineKey engine : open) {
    const auto [asked_at, first] = this->asked.try_emplace(engine, now);
    if (!first && now - asked_at->second < kAskAgain) continue;
    asked_at->second = now;
    questions.push_back(engine);
  }
  return questions;
}

/// An engine that ended under a request which is held back speaks against no other.
bool CrashLedger::accounted_for(EngineKey engine, const RequestIdentity& request) const {
  return std::any_of(this->held_back.begin(), this->held_back.end(), [&](const auto& guilty) {
    if (guilty == request) return false;
    const auto found = this->suspects.find(guilty);
    return found != this->suspects.end() && found->second.engines.count(engine) > 0;
  });
}

void CrashLedger::judge(MonotonicTime now, const RequestIdentity& request, Suspect& suspect) {
  std::size_t ended = 0;
  std::size_t own = 0;
  for (const auto& [engine, broken] : suspect.engines) {
    if (!broken.ended) continue;
    ++ended;
    if (!this->accounted_for(engine, request)) ++own;
  }
  const bool enough = own >= this->settings.enough || ended >= this->settings.enough_in_any_case;
  if (!suspect.held_until && !enough) return;
  const std::size_t callers = callers_of(suspect).size();
  if (suspect.held_until && callers <= suspect.held_callers) return;
  suspect.held_until = now + this->settings.hold;
  suspect.held_callers = callers;
  this->held_back.insert(request);
  this->verdicts.push_back(request);
}

std::vector<HeldRequest> CrashLedger::take_verdicts(MonotonicTime now) {
  const auto fresh = std::exchange(this->verdicts, {});
  std::vector<HeldRequest> taken = this->held(now);
  std::erase_if(taken, [&](const HeldRequest& held) {
    return std::find(fresh.begin(), fresh.end(), held.request) == fresh.end();
  });
  return taken;
}

std::vector<HeldRequest> CrashLedger::held(MonotonicTime now) const {
  std::vector<HeldRequest> held;
  for (const RequestIdentity& request : this->held_back) {
    const Suspect& suspect = this->suspects.at(request);
    if (!suspect.held_until || *suspect.held_until <= now) continue;
    HeldRequest entry{request, {}, callers_of(suspect), *suspect.held_until - now};
    for (const auto& [engine, broken] : suspect.engines) {
      if (broken.ended) entry.ended.push_back(engine);
    }
    held.push_back(std::move(entry));
  }
  return held;
}

void CrashLedger::expire(MonotonicTime now) {
  const auto long_ago = [&](const auto& entry) {
    return now - entry.second > this->settings.ends_remembered;
  };
  std::erase_if(this->ends, long_ago);
  std::erase_if(this->lived, long_ago);
  for (auto& [request, suspect] : this->suspects) {
    std::erase_if(suspect.engines, [&](const auto& entry) {
      return !entry.second.ended && now - entry.second.at > this->settings.proof_within;
    });
    if (!suspect.held_until || *suspect.held_until > now) continue;
    // One more ended engine is enough to hold it back again.
    suspect.held_until.reset();
    this->held_back.erase(request);
    while (suspect.engines.size() >= this->settings.enough) {
      suspect.engines.erase(suspect.engines.begin());
    }
    suspect.last = now;
  }
  std::erase_if(this->suspects, [&](const auto& entry) {
    const Suspect& suspect = entry.second;
    if (suspect.held_until || this->on_trial(now, suspect)) return false;
    const bool long_remembered = !suspect.engines.empty() || suspect.let_go;
    const Duration longest =
        long_remembered ? this->settings.memory : this->settings.ends_remembered;
    return now - suspect.last > longest;
  });
}

void CrashLedger::make_room() {
  if (this->suspects.size() < this->settings.most_suspects) return;
  const auto weight = [](const Suspect& suspect) {
    return std::pair(suspect.held_until.has_value(), count_ended(suspect));
  };
  const auto first = std::min_element(this->suspects.begin(), this->suspects.end(),
                                      [&](const auto& left, const auto& right) {
                                        return std::pair(weight(left.second), left.second.last) <
                                               std::pair(weight(right.second), right.second.last);
                                      });
  this->held_back.erase(first->first);
  this->suspects.erase(first);
}

}  // namespace shuntbank::relay
