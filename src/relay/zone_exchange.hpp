/// @file
/// Load exchange in a large fleet. The nodes of a zone send their load to two collectors, which
/// exchange sums with the collectors of other zones and send the fleet-wide sum back. The traffic
/// of a node does not grow with the number of nodes.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/runtime.hpp"
#include "core/relay/collector_selector.hpp"
#include "core/relay/load_collector.hpp"
#include "core/relay/sample_buffer.hpp"
#include "net/peer_transport.hpp"
#include "protocol/load_digest.hpp"
#include "protocol/load_message.hpp"
#include "relay/exchange_settings.hpp"
#include "relay/peer_directory.hpp"
#include "relay/relay_node.hpp"

namespace shuntbank::relay {

/// One node's side of the exchange: a member of its zone and, if others report to it, a collector.
class ZoneExchange {
 public:
  /// All references outlive this.
  ZoneExchange(Runtime& runtime, PeerTransport& transport, RelayNode& node,
               const PeerDirectory& peers, std::uint64_t boot,
               const ZoneExchangeSettings& settings);

  /// Starts the exchange, or updates it to the currently known nodes.
  void start();

  /// Stops sending and collecting.
  void stop();

  /// Sends this node's load to the collectors.
  void send_load(LoadMessage message);

  /// Handles the load of a node of this zone.
  void on_member_load(const LoadMessage& message);

  /// Handle a digest of another zone's collector, or a view from this zone's.
  void on_digest(std::string_view bytes);
  void on_view(std::string_view bytes);

  /// Sets the handlers for store revisions that others report, and for sending this node's load
  /// immediately to request a view from a collector.
  void connect(std::function<void(const CatalogRevisions&)> on_revisions,
               std::function<void()> on_view_request) {
    this->revision_handler = std::move(on_revisions);
    this->view_request_handler = std::move(on_view_request);
  }

  /// @return whether this node acts as a collector.
  bool collecting() const { return this->running && !this->collector.idle(); }

  /// @return whether this node acts as a collector and is ranked as one.
  bool is_designated_collector() const;

  /// @return the collector that sends views to this node; null if it is this node or unknown.
  const PeerRecord* source() const;

  /// @return the addresses of the collectors that other zones are expected to use.
  std::vector<std::string> other_collector_addresses() const;

  /// @return the last known time at which the store confirmed its state to a store reader; the
  /// epoch of the clock if never.
  MonotonicTime readers_confirmed_at() const { return this->store_confirmed_at; }

  /// @return number of nodes in the last view.
  std::size_t view_node_count() const { return this->view_nodes; }

  /// @return when the last view was received, or the epoch of the clock.
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
  void append_updates(EngineUpdates& updates, EngineUpdates added);
  void apply_updates(const EngineUpdates& updates);
  void record_view(MonotonicTime now);
  void update_revisions(const CatalogRevisions& revisions);
  void update_store_confirmation(std::uint32_t store_age_ms);
  void send(const NodeId& node, std::string_view bytes);

  /// The load that this node sent with one message.
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

  CollectorSelector selector;
  std::map<ZoneName, CollectorSelector> zone_selectors;  ///< Collectors chosen in each other zone.
  LoadCollector collector;
  std::unique_ptr<Timer> timer;
  bool running = false;
  std::size_t view_messages = 0;  ///< Messages sent to members with the last sum.
  std::deque<SentLoad> sent_loads;
  std::uint64_t sums_sent = 0;
  EngineUpdates zone_updates;            ///< From this zone since the last sum.
  EngineUpdates other_zone_updates;      ///< From other zones since the last sum.
  SampleBuffer<EngineKey> zone_samples;  ///< From this zone, not yet sent to other zones.
  SampleBuffer<EngineKey> view_samples;  ///< From all zones, not yet sent to members.
  /// Tokens served that wait for their next report: the members' reports add up to a few entries in
  /// each sum, which all nodes would get.
  ServedReport zone_served{kServedReportInterval, kMaxServedByZone};
  ServedReport other_zones_served{kServedReportInterval, kMaxServedByZone};
  CatalogRevisions seen_revisions;
  MonotonicTime store_confirmed_at{};                 ///< Last store confirmation of any reader.
  std::map<NodeId, MessageNumber> last_view_numbers;  ///< Last view of each collector.
  std::size_t view_nodes = 0;
  MonotonicTime view_received_at{};
};

}  // namespace shuntbank::relay
