/// @file
/// A claim group is the set of replicas that store which request holds an idempotency key. Its
/// membership is stored on the platform; this file holds the reconfiguration. A new view serves
/// only after a majority of the previous view is sealed and its claims are merged, so every granted
/// claim is known to a majority of the active view.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/membership/membership.hpp"
#include "core/requests/claim_replica.hpp"

namespace shuntbank {

/// Replicas of a group, given enough nodes.
constexpr std::size_t kClaimReplicas = 3;

/// A member of a group.
struct ClaimMember {
  NodeId node;
  std::string address;     ///< `IP:PORT` of its cluster interface.
  std::uint64_t boot = 0;  ///< Identifies the process run; differs after a restart.

  bool operator==(const ClaimMember&) const = default;
};

/// The stored membership.
struct ClaimGroupRecord {
  ClaimView view = 0;
  std::vector<ClaimMember> members;
  bool stable = false;  ///< False while claims of the previous view are taken over.
  ClaimView previous_view = 0;
  std::vector<ClaimMember> previous_members;

  bool operator==(const ClaimGroupRecord&) const = default;
};

/// Decides whether a group should change.
/// @param usable nodes of the region that are eligible as members.
/// @param serving_members members of the group that report serving its view.
/// @return the next record, not yet stable; nothing when no change is needed.
std::optional<ClaimGroupRecord> next_claim_group(const ClaimGroupRecord& record,
                                                 const std::vector<MemberFact>& usable,
                                                 const std::set<NodeId>& serving_members);

/// Transfers the claims of the previous view to a new one. The driver sends the seal and install
/// calls and reports the answers.
class ClaimTakeover {
 public:
  /// @param retention how long a claim is kept.
  ClaimTakeover(ClaimGroupRecord record, Duration retention);

  const ClaimGroupRecord& record() const { return record_; }

  /// @return members of the previous view that are not yet sealed.
  std::vector<ClaimMember> members_to_seal() const;

  /// A member of the previous view was sealed.
  void on_sealed(const NodeId& node, const SealResult& result);

  /// @return whether `entries` is as complete as it can be: a majority of the previous view is
  /// sealed, there is no previous view, a member already serves the new view, or the loss was
  /// accepted.
  bool sealed() const;

  /// @return whether a majority is sealed, but too many of its members restarted and lost their
  /// claims.
  bool claims_lost() const;

  /// Continues without the lost claims: nothing is granted until they have expired.
  void accept_lost_claims();

  /// @return how long the new view must not grant.
  Duration grant_delay() const { return grant_delay_; }

  /// @return the merged claims.
  const std::vector<ClaimEntry>& entries() const { return entries_; }

  /// @return members of the new view that have not installed it.
  std::vector<ClaimMember> members_to_install() const;

  /// A member of the new view installed it.
  void on_installed(const NodeId& node) { installed_.insert(node); }

  /// @return whether a majority of the new view installed it, so that the record may become stable.
  bool majority_installed() const;

 private:
  ClaimGroupRecord record_;
  bool complete_ = false;  ///< A member already serves the new view and has every claim.
  Duration retention_;
  Duration grant_delay_{0};
  std::set<NodeId> sealed_;
  std::set<NodeId> sealed_without_claims_;  ///< Sealed, but did not serve the previous view.
  std::set<NodeId> installed_;
  std::vector<ClaimEntry> entries_;
};

}  // namespace shuntbank
