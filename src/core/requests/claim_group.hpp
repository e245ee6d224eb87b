/// @file
/// The composition of a claim group, kept in the platform's store, and how it changes. A new view
/// serves only after a majority of the view before is sealed and its claims are merged; so every
/// claim that was ever granted is known to a majority of the view in force.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/membership/membership.hpp"
#include "core/requests/claim_replica.hpp"

namespace shuntbank {

/// Replicas of a group, when there are enough zones.
constexpr std::size_t kClaimReplicas = 3;

/// A member of a group.
struct ClaimMember {
  NodeId node;
  std::string address;     ///< `IP:PORT` of its cluster interface.
  std::uint64_t boot = 0;  ///< A restarted node is another member.

  bool operator==(const ClaimMember&) const = default;
};

/// The stored composition.
struct ClaimGroupRecord {
  ClaimView view = 0;
  std::vector<ClaimMember> members;
  bool stable = false;  ///< False: claims of the view before are still being taken over.
  ClaimView previous_view = 0;
  std::vector<ClaimMember> previous_members;

  bool operator==(const ClaimGroupRecord&) const = default;
};

/// Decides whether a group should change.
/// @param usable members of the region that may hold duties.
/// @param serving_members members of the group that say that they serve its view.
/// @return the next record, not yet stable; nothing when the group is fine as it is.
std::optional<ClaimGroupRecord> next_claim_group(const ClaimGroupRecord& record,
                                                 const std::vector<MemberFact>& usable,
                                                 const std::set<NodeId>& serving_members);

/// Takes over the claims of the view before, step by step. The driver sends what it is told to and
/// reports the answers.
class ClaimTakeover {
 public:
  /// @param retention how long claims are held.
  ClaimTakeover(ClaimGroupRecord record, Duration retention);

  const ClaimGroupRecord& record() const { return record_; }

  /// @return members of the view before that are still to be sealed.
  std::vector<ClaimMember> members_to_seal() const;

  /// A member of the view before was sealed.
  void on_sealed(const NodeId& node, const SealResult& result);

  /// @return whether a majority of the view before is sealed, so that `entries` are complete.
  bool sealed() const;

  /// @return whether a majority can grant nothing any more, but too many of it were restarted and
  /// have forgotten what they granted.
  bool history_lost() const;

  /// Goes on without the history: nothing is granted until every lost claim has run out.
  void accept_history_loss();

  /// @return how long the new view grants nothing.
  Duration grant_delay() const { return grant_delay_; }

  /// @return the merged claims.
  const std::vector<ClaimEntry>& entries() const { return entries_; }

  /// @return members of the new view that are still to install it.
  std::vector<ClaimMember> members_to_install() const;

  /// A member of the new view serves it.
  void on_installed(const NodeId& node) { installed_.insert(node); }

  /// @return whether a majority of the new view serves it, so that the record may become stable.
  bool installed() const;

 private:
  ClaimGroupRecord record_;
  bool complete_ = false;  ///< A member serves the new view already, so it knows every claim.
  Duration retention_;
  Duration grant_delay_{0};
  std::set<NodeId> sealed_;
  std::set<NodeId> sealed_without_history_;  ///< Sealed, but without knowledge of the view before.
  std::set<NodeId> installed_;
  std::vector<ClaimEntry> entries_;
};

}  // namespace shuntbank
