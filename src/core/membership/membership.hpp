/// @file
/// Gossip-based cluster membership: heartbeats to random members carry a few facts each, and
/// incarnation numbers let a member refute a false report. The platform's machine list only
/// supplies addresses to try. Also assigns duties: a duty is a named task that one node performs
/// for all, the member with the highest rendezvous score for its name.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank {

/// In order of precedence: a later state overrides an earlier one of the same incarnation.
enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

/// @return the name of `state` in logs, messages and status output.
const char* to_text(MemberState state);

/// @return the state with that name, if any.
std::optional<MemberState> parse_member_state(const std::string& text);

/// What is known of one member.
struct MemberFact {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Grows with each start and each refutation.
  std::uint64_t boot = 0;  ///< Differs for each process start; earlier in-memory state is lost.
  MemberState state = MemberState::kAlive;
  std::string address;  ///< `IP:PORT` of its cluster interface.
  ZoneName zone;
  RegionName region;

  bool operator==(const MemberFact&) const = default;
};

/// Settings of the membership protocol.
struct MembershipSettings {
  Duration heartbeat_interval = std::chrono::seconds(1);
  Duration answer_timeout = std::chrono::milliseconds(400);  ///< Else the answer counts as missed.
  /// Consecutive missed answers before a member is suspect, so that one lost datagram causes no
  /// suspicion.
  int misses_before_suspect = 3;
  Duration suspect_timeout = std::chrono::seconds(3);  ///< Time to refute before a suspect is dead.
  Duration dead_retention = std::chrono::minutes(5);   ///< Dead members are removed after this.
  std::size_t facts_per_message = 3;
};

/// One heartbeat to send.
struct HeartbeatTarget {
  NodeId node;  ///< Empty when only the address is known.
  std::string address;
};

/// One node's view of the cluster.
class Membership {
 public:
  /// @param seed for the random choice of heartbeat targets.
  Membership(MemberFact self, const MembershipSettings& settings, std::uint64_t seed);

  /// Advances time. Call it several times in each heartbeat interval.
  /// @return the targets to send a heartbeat to now.
  std::vector<HeartbeatTarget> tick(MonotonicTime now);

  /// @return the facts to include in the next message, own fact first; counts them as sent.
  /// @param to the recipient. A recipient that this node believes suspect or dead is sent the fact
  /// that says so and can refute it, which is how a healed partition is detected.
  std::vector<MemberFact> facts_to_send(const NodeId& to = NodeId());

  /// Merges received facts that are newer than the known ones.
  void on_facts(MonotonicTime now, const std::vector<MemberFact>& facts);

  /// Any message arrived from `node` itself.
  void on_message_received(const NodeId& node);

  /// Sets addresses for contacting unknown members, such as the platform's machine list.
  void set_hints(const std::vector<std::string>& addresses);

  /// Marks this node as leaving: it takes no new work and holds no duties.
  void leave();

  /// @return all members that may be given work or duties, self included unless it is leaving.
  /// Valid until the next change.
  const std::vector<MemberFact>& usable() const;

  /// @return the known fact of a member, or null.
  const MemberFact* find(const NodeId& node) const;

  /// @return all known members, dead ones included.
  std::vector<MemberFact> all() const;

  /// @return a digest that is equal on nodes that know the same facts.
  std::uint64_t digest() const;

  const MemberFact& self() const { return self_; }

  /// @return a count that grows whenever any fact changes.
  std::uint64_t change_count() const { return change_count_; }

 private:
  struct Entry {
    MemberFact fact;
    int sends_left = 0;
    std::optional<MonotonicTime> awaiting_answer_since;
    int misses = 0;
    MonotonicTime state_since{};
  };

  void merge(MonotonicTime now, const MemberFact& fact);
  void refute(const MemberFact& fact);
  void set_state(MonotonicTime now, Entry& entry, MemberState state);
  void check_timeouts(MonotonicTime now);
  void record_miss(MonotonicTime now, Entry& entry);
  void add_retries(MonotonicTime now, std::vector<HeartbeatTarget>& targets);
  void add_member_target(MonotonicTime now, std::vector<HeartbeatTarget>& targets);
  void add_hint_target(std::vector<HeartbeatTarget>& targets);
  int gossip_sends() const;

  MemberFact self_;
  MembershipSettings settings_;
  std::mt19937_64 random_;
  std::map<NodeId, Entry> members_;
  std::vector<NodeId> retries_;          ///< Members that did not answer, to be retried at once.
  std::vector<NodeId> heartbeat_round_;  ///< Still to contact in this round, in random order.
  std::vector<std::string> hints_;
  MonotonicTime next_heartbeat_{};
  std::uint64_t change_count_ = 0;
  mutable std::vector<MemberFact> usable_;  ///< Cached as of `usable_version_`, since reads are far
                                            ///< more frequent than changes.
  mutable std::optional<std::uint64_t> usable_version_;
};

/// @return the rendezvous hashing score of `node` for `duty`; the highest holds the duty.
std::uint64_t rendezvous_score(const std::string& duty, const NodeId& node);

/// @return the members ordered by rendezvous score for `duty`, best first, at most `count`.
std::vector<MemberFact> rank_for_duty(const std::string& duty, std::vector<MemberFact> members,
                                      std::size_t count);

}  // namespace shuntbank
