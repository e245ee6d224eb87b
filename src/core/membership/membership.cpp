#include "core/membership/membership.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "common/hash.hpp"

namespace shuntbank {
namespace {

constexpr std::array<const char*, 4> kStateNames{"alive", "suspect", "leaving", "dead"};

/// Sends of a fact per doubling of the cluster size; three reach all members almost surely.
constexpr int kSendsPerDoubling = 3;

/// One in this many heartbeats also contacts an address from `set_hints`, to heal a network
/// partition.
constexpr std::uint64_t kHeartbeatsPerHint = 8;

bool supersedes(const MemberFact& candidate, const MemberFact& known) {
  if (candidate.incarnation != known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return candidate.state > known.state;
}

}  // namespace

const char* to_text(MemberState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

std::optional<MemberState> parse_member_state(const std::string& text) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (text == kStateNames.at(i)) return static_cast<MemberState>(i);
  }
  return std::nullopt;
}

Membership::Membership(MemberFact self, const MembershipSettings& settings, std::uint64_t seed)
    : self_(std::move(self)), settings_(settings), random_(seed) {}

std::vector<HeartbeatTarget> Membership::tick(MonotonicTime now) {
  check_timeouts(now);
  std::vector<HeartbeatTarget> targets;
  add_retries(now, targets);
  if (now < next_heartbeat_) return targets;
  next_heartbeat_ = now + settings_.heartbeat_interval;
  add_member_target(now, targets);
  if (members_.empty() || random_() % kHeartbeatsPerHint == 0) add_hint_target(targets);
  return targets;
}

void Membership::check_timeouts(MonotonicTime now) {
  for (auto entry = members_.begin(); entry != members_.end();) {
    Entry& member = entry->second;
    const bool timed_out = member.awaiting_answer_since &&
                           now >= *member.awaiting_answer_since + settings_.answer_timeout;
    if (timed_out) {
      member.awaiting_answer_since.reset();
      record_miss(now, member);
    }
    const Duration in_state = now - member.state_since;
    const bool suspect_expired =
        member.fact.state == MemberState::kSuspect && in_state >= settings_.suspect_timeout;
    if (suspect_expired) set_state(now, member, MemberState::kDead);
    const bool dead_expired =
        member.fact.state == MemberState::kDead && in_state >= settings_.dead_retention;
    entry = dead_expired ? members_.erase(entry) : std::next(entry);
  }
}

void Membership::record_miss(MonotonicTime now, Entry& entry) {
  if (entry.fact.state != MemberState::kAlive) return;
  if (++entry.misses < settings_.misses_before_suspect) {
    retries_.push_back(entry.fact.node);
    return;
  }
  entry.misses = 0;
  set_state(now, entry, MemberState::kSuspect);
}

void Membership::add_retries(MonotonicTime now, std::vector<HeartbeatTarget>& targets) {
  for (const NodeId& node : std::exchange(retries_, {})) {
    const auto found = members_.find(node);
    if (found == members_.end()) continue;
    if (!found->second.awaiting_answer_since) found->second.awaiting_answer_since = now;
    targets.push_back({node, found->second.fact.address});
  }
}

void Membership::add_member_target(MonotonicTime now, std::vector<HeartbeatTarget>& targets) {
  // Each round visits every member once in random order, which bounds the failure detection time.
  while (true) {
    if (heartbeat_round_.empty()) {
      for (const auto& [node, entry] : members_) {
        if (entry.fact.state != MemberState::kDead) heartbeat_round_.push_back(node);
      }
      std::shuffle(heartbeat_round_.begin(), heartbeat_round_.end(), random_);
      if (heartbeat_round_.empty()) return;
    }
    const NodeId node = heartbeat_round_.back();
    heartbeat_round_.pop_back();
    const auto found = members_.find(node);
    if (found == members_.end() || found->second.fact.state == MemberState::kDead) continue;
    if (!found->second.awaiting_answer_since) found->second.awaiting_answer_since = now;
    targets.push_back({node, found->second.fact.address});
    return;
  }
}

void Membership::add_hint_target(std::vector<HeartbeatTarget>& targets) {
  if (hints_.empty()) return;
  const std::string& address = hints_[random_() % hints_.size()];
  if (address != self_.address) targets.push_back({NodeId(), address});
}

std::vector<MemberFact> Membership::facts_to_send(const NodeId& to) {
  std::vector<MemberFact> facts{self_};
  const auto target = members_.find(to);
  const bool suspect_or_dead =
      target != members_.end() && (target->second.fact.state == MemberState::kDead ||
                                   target->second.fact.state == MemberState::kSuspect);
  if (suspect_or_dead) facts.push_back(target->second.fact);
  std::vector<Entry*> pending;
  for (auto& [node, entry] : members_) {
    if (entry.sends_left > 0) pending.push_back(&entry);
  }
  std::sort(pending.begin(), pending.end(),
            [](const Entry* a, const Entry* b) { return a->sends_left > b->sends_left; });
  for (Entry* entry : pending) {
    if (facts.size() > settings_.facts_per_message) break;
    --entry->sends_left;
    facts.push_back(entry->fact);
  }
  return facts;
}

void Membership::on_facts(MonotonicTime now, const std::vector<MemberFact>& facts) {
  for (const MemberFact& fact : facts) {
    if (fact.node == self_.node) {
      refute(fact);
    } else {
      merge(now, fact);
    }
  }
}

void Membership::merge(MonotonicTime now, const MemberFact& fact) {
  const auto found = members_.find(fact.node);
  if (found == members_.end()) {
    if (fact.state == MemberState::kDead) return;
    members_.emplace(fact.node, Entry{fact, gossip_sends(), std::nullopt, 0, now});
    ++change_count_;
    return;
  }
  if (!supersedes(fact, found->second.fact)) return;
  found->second = Entry{fact, gossip_sends(), std::nullopt, 0, now};
  ++change_count_;
}

void Membership::refute(const MemberFact& fact) {
  const bool wrong = fact.incarnation >= self_.incarnation &&
                     (fact.state == MemberState::kSuspect || fact.state == MemberState::kDead ||
                      (fact.state == MemberState::kLeaving && self_.state == MemberState::kAlive));
  if (!wrong) return;
  self_.incarnation = fact.incarnation + 1;
  ++change_count_;
}

void Membership::set_state(MonotonicTime now, Entry& entry, MemberState state) {
  entry.fact.state = state;
  entry.sends_left = gossip_sends();
  entry.state_since = now;
  ++change_count_;
}

void Membership::on_message_received(const NodeId& node) {
  const auto found = members_.find(node);
  if (found == members_.end()) return;
  found->second.awaiting_answer_since.reset();
  found->second.misses = 0;
}

void Membership::set_hints(const std::vector<std::string>& addresses) {
  hints_ = addresses;
}

void Membership::leave() {
  self_.state = MemberState::kLeaving;
  ++change_count_;
}

const std::vector<MemberFact>& Membership::usable() const {
  if (usable_version_ == change_count_) return usable_;
  usable_version_ = change_count_;
  usable_.clear();
  if (self_.state == MemberState::kAlive) usable_.push_back(self_);
  for (const auto& [node, entry] : members_) {
    const MemberState state = entry.fact.state;
    if (state == MemberState::kAlive || state == MemberState::kSuspect) {
      usable_.push_back(entry.fact);
    }
  }
  return usable_;
}

const MemberFact* Membership::find(const NodeId& node) const {
  if (node == self_.node) return &self_;
  const auto found = members_.find(node);
  return found == members_.end() ? nullptr : &found->second.fact;
}

std::vector<MemberFact> Membership::all() const {
  std::vector<MemberFact> members{self_};
  for (const auto& [node, entry] : members_) members.push_back(entry.fact);
  return members;
}

std::uint64_t Membership::digest() const {
  std::uint64_t digest = 0;
  for (const MemberFact& fact : all()) {
    if (fact.state == MemberState::kDead) continue;
    digest ^= hash64(fact.node.value() + "/" + to_text(fact.state), fact.incarnation);
  }
  return digest;
}

int Membership::gossip_sends() const {
  const auto cluster_size = static_cast<double>(members_.size() + 2);
  return kSendsPerDoubling * static_cast<int>(std::ceil(std::log2(cluster_size)));
}

std::uint64_t rendezvous_score(const std::string& duty, const NodeId& node) {
  return hash64(node.value(), hash64(duty));
}

std::vector<MemberFact> rank_for_duty(const std::string& duty, std::vector<MemberFact> members,
                                      std::size_t count) {
  const std::size_t selected = std::min(count, members.size());
  const std::uint64_t seed = hash64(duty);
  std::partial_sort(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(selected),
                    members.end(), [seed](const MemberFact& a, const MemberFact& b) {
                      return hash64(a.node.value(), seed) > hash64(b.node.value(), seed);
                    });
  members.resize(selected);
  return members;
}

}  // namespace shuntbank
