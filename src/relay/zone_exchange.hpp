/// @file
/// The exchange of load in a large fleet: the nodes of a zone tell two collectors of the zone,
/// these tell the sum to the collectors of the other zones, and send the sum of all zones back.
/// What a node sends and reads for it does not grow with the number of nodes.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "common/runtime.hpp"
#include "core/relay/collector_choice.hpp"
#include "core/relay/load_collector.hpp"
#include "net/peer_transport.hpp"
#include "protocol/load_digest.hpp"
#include "protocol/load_message.hpp"
#include "relay/exchange_settings.hpp"
#include "relay/peer_directory.hpp"
#include "relay/relay_node.hpp"

namespace shuntbank::relay {

/// The part of one node in it, as member of a zone and, when others tell it, as collector.
class ZoneExchange {
 public:
  /// All references outlive this.
  ZoneExchange(Runtime& runtime, PeerTransport& transport, RelayNode& node,
               const PeerDirectory& peers, std::uint64_t boot,
               const ZoneExchangeSettings& settings);

  /// Begins or goes on with the nodes that are known now.
  void start();

  /// Goes back to silence.
  void stop();

  /// Tells the collectors all that this node has under way.
  void send_load(LoadMessage message);

  /// A node of the zone has told this one.
  void on_member_load(const LoadMessage& message);

  /// A digest or a view has come.
  void on_digest(std::string_view bytes);
  void on_view(std::string_view bytes);

  /// Sets who is told what, while sums come: of changes of the store that others have seen, and
  /// that this node's load is to be told at once, since a collector is asked for the view.
  void connect(std::function<void(const CatalogRevisions&)> on_revisions,
               std::function<void()> on_view_request) {
    this->revision_handler = std::move(on_revisions);
    this->view_request_handler = std::move(on_view_request);
  }

  /// @return whether this node collects for others.
  bool collecting() const { return this->running && !this->collector.idle(); }

  /// @return whether this node collects for others and is one of those that should.
  bool is_designated_collector() const;

  /// @return the collector that this node listens to, if it is another node.
  const PeerRecord* source() const;

  /// @return when the store last confirmed its state to a node that reads it for others, as far as
  /// this node has heard; the epoch of the clock if never.
  MonotonicTime readers_confirmed_at() const { return this->store_confirmed_at; }

  /// @return nodes whose load is in the last view.
  std::size_t view_node_count() const { return this->view_nodes; }

  /// @return when the last view came, or the epoch of the clock.
  MonotonicTime last_view_at() const { return this->view_received_at; }

 private:
  void update_zone_rankings();
  void schedule();
  Duration interval() const;
  void tick();
  void check_source();
  void request_view();
  void begin_collecting();
  void collect();
  LoadDigest digest(const ZoneName& zone) const;
  void send_to_zones(MonotonicTime now, const LoadDigest& sum);
  void send_to_members(const std::vector<Subscriber>& subscribers, const LoadDigest& sum);
  void apply_own_sum(MonotonicTime now, const LoadDigest& sum);
  void apply_sum(MonotonicTime now, const LoadDigest& sum, std::uint64_t counted);
  void append_news(EngineNews& news, const EngineNews& more);
  void apply_news(const EngineNews& news);
  void record_view(MonotonicTime now);
  void update_revisions(const CatalogRevisions& revisions);
  void update_store_confirmation(std::uint32_t store_age_ms);
  void send(const NodeId& node, std::string_view bytes);

  /// What this node told with one message.
  struct SentLoad {
    std::uint64_t sequence = 0;
    LoadByKey load;
  };
  const LoadByKey& load_sent_with(std::uint64_t sequence) const;

  Runtime& runtime;
  PeerTransport& transport;
  RelayNode& node;
  const PeerDirectory& peers;
  NodeId self;
  ZoneName zone;
  std::uint64_t boot;
  ZoneExchangeSettings settings;
  std::function<void(const CatalogRevisions&)> revision_handler;
  std::function<void()> view_request_handler;

  CollectorChoice choice;
  std::map<ZoneName, CollectorChoice> other_zones;  ///< Whom this node tells there as collector.
  LoadCollector collector;
  std::unique_ptr<Timer> timer;
  bool running = false;
  std::size_t view_messages = 0;  ///< That the last sum took to be sent to all members.
  std::deque<SentLoad> sent_loads;
  std::uint64_t sums_sent = 0;
  EngineNews zone_news;   ///< Of this zone's nodes, since the last sum.
  EngineNews other_news;  ///< Of the other zones, since the last sum.
  CatalogRevisions seen_revisions;
  MonotonicTime
      store_confirmed_at{};  ///< The last confirmation by the store that a reader told of.
  std::map<NodeId, MessageNumber> last_view_numbers;  ///< The last one of each collector.
  std::size_t view_nodes = 0;
  MonotonicTime view_received_at{};
};

}  // namespace shuntbank::relay
