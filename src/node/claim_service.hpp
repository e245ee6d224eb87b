/// @file
/// Idempotency claims: claims a key at the replicas of the claim group before a run-once request is
/// dispatched, serves as a replica, and coordinates the group while this node is its coordinator.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "common/periodic.hpp"
#include "core/requests/claim_group.hpp"
#include "core/requests/claim_replica.hpp"
#include "node/cluster_service.hpp"
#include "platform/object_client.hpp"

namespace shuntbank {

/// Claim client, replica and group coordinator of a node. Keys are kept for a retention time.
class ClaimService {
 public:
  ClaimService(Runtime& runtime, ObjectClient& platform, ClusterService& cluster, RegionName region,
               Duration retention);

  /// Claims a key for a request.
  /// @param handler gets `kGranted` once a majority granted it; `kHeld` if another request has it;
  /// `kUnavailable` if no majority answered in time, in which case nothing may be dispatched.
  using ClaimHandler = std::function<void(ClaimVerdict)>;
  void claim(const ClaimKey& key, const RequestId& claimant, ClaimHandler handler);

  /// Releases a claim. @pre the request is known not to have run.
  void release(const ClaimKey& key, const RequestId& claimant);

  /// Handles a claim message. @return the reply, if any.
  std::optional<Message> handle_message(const Message& message);

  /// Stops coordinating because this node is leaving. It still serves as a replica.
  void resign() { resigned_ = true; }

  const ClaimGroupRecord& record() const { return record_; }
  ClaimView active_view() const { return replica_.active_view(); }
  std::size_t held_claims() const { return replica_.size(); }

 private:
  struct Attempt;

  std::vector<MemberFact> candidates() const;
  bool is_coordinator() const;
  void request_votes(const std::shared_ptr<Attempt>& attempt);
  void on_vote(const std::shared_ptr<Attempt>& attempt, ClaimVerdict verdict);
  void refresh_and_retry(const std::shared_ptr<Attempt>& attempt);
  void pull_record(std::vector<MemberFact> sources, std::function<void()> then);
  void refresh_record();
  void call_member(const ClaimMember& member, const Message& message,
                   std::function<void(const std::optional<Message>&)> handler);
  void tick();
  void read_record();
  void write_record(const ClaimGroupRecord& next);
  void probe_members();
  bool try_change_group(const std::set<NodeId>& serving_members);
  void run_takeover();

  Runtime& runtime_;
  ObjectClient& platform_;
  ClusterService& cluster_;
  RegionName region_;
  Duration retention_;
  ClaimReplica replica_;
  ClaimGroupRecord record_;
  std::uint64_t record_version_ = 0;
  bool record_loaded_ = false;
  bool store_call_pending_ = false;
  std::set<NodeId> serving_members_;
  std::size_t pending_probes_ = 0;
  int change_pending_ticks_ = 0;
  std::optional<ClaimTakeover> takeover_;
  int takeover_ticks_ = 0;
  int unstable_ticks_ = 0;
  bool resigned_ = false;
  bool pull_pending_ = false;
  MonotonicTime next_pull_{};
  Periodic ticker_;
};

}  // namespace shuntbank
