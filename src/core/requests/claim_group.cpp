#include "core/requests/claim_group.hpp"

#include <algorithm>
#include <utility>

namespace shuntbank {
namespace {

bool is_majority(std::size_t count, std::size_t total) {
  return count >= total / 2 + 1;
}

const MemberFact* find_member(const std::vector<MemberFact>& members, const NodeId& node) {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&node](const MemberFact& fact) { return fact.node == node; });
  return found == members.end() ? nullptr : &*found;
}

/// Adds usable nodes until the group is full, preferring zones without a replica.
void fill_group(std::vector<MemberFact>& group, const std::vector<MemberFact>& usable) {
  std::vector<MemberFact> ranked = rank_for_duty("claims", usable, usable.size());
  while (group.size() < kClaimReplicas) {
    const auto in_new_zone = [&group](const MemberFact& candidate) {
      return std::none_of(group.begin(), group.end(), [&candidate](const MemberFact& member) {
        return member.zone == candidate.zone;
      });
    };
    const auto unused = [&group](const MemberFact& candidate) {
      return find_member(group, candidate.node) == nullptr;
    };
    auto pick = std::find_if(ranked.begin(), ranked.end(), [&](const MemberFact& candidate) {
      return unused(candidate) && in_new_zone(candidate);
    });
    if (pick == ranked.end()) pick = std::find_if(ranked.begin(), ranked.end(), unused);
    if (pick == ranked.end()) return;
    group.push_back(*pick);
  }
}

}  // namespace

std::optional<ClaimGroupRecord> next_claim_group(const ClaimGroupRecord& record,
                                                 const std::vector<MemberFact>& usable,
                                                 const std::set<NodeId>& serving_members) {
  std::vector<MemberFact> group;
  std::vector<ClaimMember> missing;
  for (const ClaimMember& member : record.members) {
    const MemberFact* fact = find_member(usable, member.node);
    if (fact != nullptr) group.push_back(*fact);
    if (fact == nullptr) missing.push_back(member);
  }
  fill_group(group, usable);
  ClaimGroupRecord next;
  for (const MemberFact& fact : group) next.members.push_back({fact.node, fact.address, fact.boot});
  // A missing member without a replacement stays: a smaller group would tolerate fewer failures
  // than the previous one.
  for (const ClaimMember& member : missing) {
    if (next.members.size() < record.members.size()) next.members.push_back(member);
  }
  if (next.members.empty()) return std::nullopt;
  const auto same_members = [&] {
    if (next.members.size() != record.members.size()) return false;
    return std::all_of(next.members.begin(), next.members.end(), [&record](const auto& member) {
      return std::find(record.members.begin(), record.members.end(), member) !=
             record.members.end();
    });
  };
  const bool all_serve = std::all_of(
      group.begin(), group.end(),
      [&serving_members](const MemberFact& fact) { return serving_members.contains(fact.node); });
  if (same_members() && all_serve) return std::nullopt;
  next.view = record.view + 1;
  // No claim is granted under a view that never became stable, so the last stable view remains the
  // one to take over.
  next.previous_view = record.stable ? record.view : record.previous_view;
  next.previous_members = record.stable ? record.members : record.previous_members;
  return next;
}

ClaimTakeover::ClaimTakeover(ClaimGroupRecord record, Duration retention)
    : record_(std::move(record)), retention_(retention) {}

std::vector<ClaimMember> ClaimTakeover::members_to_seal() const {
  std::vector<ClaimMember> members;
  for (const ClaimMember& member : record_.previous_members) {
    if (!sealed_.contains(member.node)) members.push_back(member);
  }
  return members;
}

void ClaimTakeover::on_sealed(const NodeId& node, const SealResult& result) {
  // An earlier takeover already installed its merged claims here, so they are complete.
  const bool served_new_view = result.served_view > record_.previous_view;
  complete_ = complete_ || served_new_view;
  // Otherwise only a replica that served the previous view knows its grants there.
  if (!served_new_view && result.served_view != record_.previous_view) {
    sealed_without_claims_.insert(node);
    return;
  }
  if (!sealed_.insert(node).second) return;
  grant_delay_ = std::max(grant_delay_, result.grant_delay);
  entries_.insert(entries_.end(), result.entries.begin(), result.entries.end());
}

bool ClaimTakeover::sealed() const {
  return complete_ || record_.previous_members.empty() ||
         is_majority(sealed_.size(), record_.previous_members.size());
}

bool ClaimTakeover::claims_lost() const {
  return !sealed() && is_majority(sealed_.size() + sealed_without_claims_.size(),
                                  record_.previous_members.size());
}

void ClaimTakeover::accept_lost_claims() {
  complete_ = true;
  grant_delay_ = retention_;
}

std::vector<ClaimMember> ClaimTakeover::members_to_install() const {
  std::vector<ClaimMember> members;
  if (!sealed()) return members;
  for (const ClaimMember& member : record_.members) {
    if (!installed_.contains(member.node)) members.push_back(member);
  }
  return members;
}

bool ClaimTakeover::majority_installed() const {
  return is_majority(installed_.size(), record_.members.size());
}

}  // namespace shuntbank
