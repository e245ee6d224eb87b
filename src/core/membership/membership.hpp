/// @file
/// Who is in the cluster: heartbeats to random members, each with a few facts that spread like a
/// rumour, and incarnation numbers so that a member can refute what is said of it. The platform's
/// machine list is only a hint of whom to try.
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

/// Later states override earlier ones of the same incarnation.
enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

/// @return the name of `state` in logs, messages and status.
const char* to_text(MemberState state);

/// @return the state of that name, if there is one.
std::optional<MemberState> parse_member_state(const std::string& text);

/// What is known of one member.
struct MemberFact {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Grows with each start and each refutation of the member.
  std::uint64_t boot = 0;         ///< Told apart by each start; memory before it is lost.
  MemberState state = MemberState::kAlive;
  std::string address;  ///< `IP:PORT` of its cluster interface.
  ZoneName zone;
  RegionName region;

  bool operator==(const MemberFact&) const = default;
};

/// Tunables of the membership.
struct MembershipSettings {
  Duration heartbeat_interval = std::chrono::seconds(1);
  Duration answer_timeout = std::chrono::milliseconds(400);  ///< Else the answer counts as missed.
  /// Missed in a row before a member is suspect. A lost datagram must not start a rumour: at 92
  /// nodes and 1% loss, one miss for a suspicion kept the cluster busy with nothing but
  /// refutations.
  int misses_before_suspect = 3;
  Duration suspect_timeout = std::chrono::seconds(3);  ///< Time to refute before a suspect is dead.
  Duration dead_retention = std::chrono::minutes(5);   ///< Dead members are forgotten after this.
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
  /// @param seed of the choice of heartbeat targets.
  Membership(MemberFact self, const MembershipSettings& settings, std::uint64_t seed);

  /// Advances time. Call it a few times in each heartbeat interval.
  /// @return whom to send a heartbeat now.
  std::vector<HeartbeatTarget> tick(MonotonicTime now);

  /// @return the facts to carry on the next message, own fact first; counts them as sent.
  /// @param to who the message goes to. A member that is taken for dead is told so, and refutes it;
  /// without that a healed cut would not be noticed.
  std::vector<MemberFact> facts_to_send(const NodeId& to = NodeId());

  /// Takes over facts that are newer than what is known.
  void on_facts(MonotonicTime now, const std::vector<MemberFact>& facts);

  /// A member answered or sent something itself.
  void on_message_received(const NodeId& node);

  /// Addresses to try while nothing better is known, such as the platform's machine list.
  void set_hints(const std::vector<std::string>& addresses);

  /// Says that this node is leaving: it takes no new work and holds no duties.
  void leave();

  /// @return all members that may be given work or duties, self included unless it is leaving.
  /// Valid until the next change.
  const std::vector<MemberFact>& usable() const;

  /// @return what is known of a member, or null.
  const MemberFact* find(const NodeId& node) const;

  /// @return every member that is known, dead ones included.
  std::vector<MemberFact> all() const;

  /// @return a digest that is equal where the same facts are known.
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
  void check_answers(MonotonicTime now);
  void record_miss(MonotonicTime now, Entry& entry);
  void add_retries(MonotonicTime now, std::vector<HeartbeatTarget>& targets);
  void add_member_target(MonotonicTime now, std::vector<HeartbeatTarget>& targets);
  void add_hint_target(std::vector<HeartbeatTarget>& targets);
  int gossip_sends() const;

  MemberFact self_;
  MembershipSettings settings_;
  std::mt19937_64 random_;
  std::map<NodeId, Entry> members_;
  std::vector<NodeId> retries_;  ///< Members that missed an answer, to be tried again at once.
  std::vector<NodeId>
      heartbeat_round_;  ///< Members still to be tried in this round, in random order.
  std::vector<std::string> hints_;
  MonotonicTime next_heartbeat_{};
  std::uint64_t change_count_ = 0;
  mutable std::vector<MemberFact> usable_;  ///< As of `usable_version_`: it is asked for far more
                                            ///< often than it changes.
  mutable std::optional<std::uint64_t> usable_version_;
};

/// @return a place of `node` for `duty` by rendezvous hashing; the highest holds the duty.
std::uint64_t rendezvous_score(const std::string& duty, const NodeId& node);

/// @return the members ordered by rendezvous score for `duty`, best first, at most `count`.
std::vector<MemberFact> rank_for_duty(const std::string& duty, std::vector<MemberFact> members,
                                      std::size_t count);

}  // namespace shuntbank
