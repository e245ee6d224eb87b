/// @file
/// Cluster membership of this node: heartbeats, gossip of member and engine facts, and messages to
/// peers.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/periodic.hpp"
#include "core/membership/membership.hpp"
#include "core/routing/engine_facts.hpp"
#include "net/peer_transport.hpp"
#include "protocol/messages.hpp"

namespace shuntbank {

/// Runs the membership protocol and exchanges messages with other nodes.
class ClusterService {
 public:
  /// Data sources and message handlers that the node provides.
  struct Hooks {
    std::function<Revision()> revision;  ///< Revision of the configuration held here.
    std::function<void(const MemberFact& peer, Revision revision)> on_peer_revision;
    std::function<void(const std::vector<EngineFact>&)> on_engine_facts;
    std::function<void(const DemandReport&)> on_demand;
    std::function<Message(const ConfigPull&)> on_config_pull;
    /// Handles a claim message; returns the reply, if any.
    std::function<std::optional<Message>(const Message&)> on_claim_message;
  };

  /// @param self this member; its address is filled in from the transport.
  ClusterService(Runtime& runtime, PeerTransport& transport, MemberFact self, std::uint64_t seed,
                 Hooks hooks);

  /// @return members that can be assigned work or duties.
  const std::vector<MemberFact>& usable() const { return membership_.usable(); }

  /// @return up to `count` usable members of this region, ranked for a duty, best first. Rankings
  /// are cached until the members change.
  std::vector<MemberFact> candidates(const std::string& duty, std::size_t count) const;
  std::vector<MemberFact> members() const { return membership_.all(); }
  const MemberFact& self() const { return membership_.self(); }

  /// @return the last configuration revision reported by a member; zero if none yet.
  Revision revision_of(const NodeId& node) const;

  /// Sets candidate peer addresses from the platform's machine list.
  void set_address_hints(const std::vector<std::string>& addresses) {
    membership_.set_hints(addresses);
  }

  /// Marks this node as leaving and notifies some peers at once.
  void leave();

  /// Spreads engine facts from a controller on this node.
  void publish_engine_facts(const std::vector<EngineFact>& facts);

  /// @return the newest facts of all engines.
  std::vector<EngineFact> engine_facts() const { return engine_facts_.all(); }

  /// Notifies a few random members of a new revision at once.
  void announce_revision(Revision revision);

  /// Sends a datagram to a member's address.
  void send(const std::string& address, const Message& message);

  /// Sends a framed message. @param handler called with the answer or an error message.
  using AnswerHandler = std::function<void(tl::expected<Message, std::string>)>;
  void call(const std::string& address, const Message& message, AnswerHandler handler);

  std::uint64_t bytes_sent() const { return transport_.bytes_sent(); }
  std::uint64_t bytes_received() const { return transport_.bytes_received(); }
  std::string local_address() const { return transport_.local_address(); }

 private:
  void tick();
  void send_heartbeat(const std::string& address, const NodeId& to, bool is_answer);
  void on_datagram(std::string_view text, const std::string& sender);
  void on_heartbeat(const Heartbeat& heartbeat, const std::string& sender);
  void on_frame(const std::string& frame, const std::function<void(std::string)>& reply);
  void merge_engine_facts(const std::vector<EngineFact>& facts);
  void pull_facts_if_behind(const Heartbeat& heartbeat);

  Runtime& runtime_;
  Hooks hooks_;
  PeerTransport& transport_;
  Membership membership_;
  EngineFacts engine_facts_;
  std::map<NodeId, Revision> revisions_;
  struct Ranking {
    std::uint64_t change_count = 0;
    std::size_t count = 0;
    std::vector<MemberFact> members;
  };
  mutable std::map<std::string, Ranking> rankings_;  ///< Cache, by duty.
  std::mt19937_64 random_;
  MonotonicTime next_facts_pull_{};
  bool facts_pull_pending_ = false;
  Periodic ticker_;
};

}  // namespace shuntbank
