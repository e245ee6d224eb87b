/// @file
/// Exchanges the load at the engines between relay nodes. Used for placement only: lost, delayed or
/// forged messages do not affect correctness.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "net/peer_transport.hpp"
#include "protocol/configuration_message.hpp"
#include "protocol/load_message.hpp"
#include "relay/configuration_exchange.hpp"
#include "relay/engine_list_exchange.hpp"
#include "relay/exchange_settings.hpp"
#include "relay/peer_directory.hpp"
#include "relay/peer_reaper.hpp"
#include "relay/permit_exchange.hpp"
#include "relay/relay_node.hpp"
#include "relay/zone_exchange.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// One node's side of the load exchange.
class LoadExchange {
 public:
  /// All references outlive this.
  LoadExchange(Runtime& runtime, store::ObjectStore& store, PeerTransport& transport,
               RelayNode& node, const std::string& self, const LoadExchangeSettings& settings);
  ~LoadExchange();
  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  /// Sets the function that returns how much of the store's state this node has read, and the
  /// handler for revisions that peers report.
  void connect_revisions(std::function<StoreProgress()> own_progress,
                         std::function<void(const CatalogRevisions&)> on_peer_revisions);

  /// @return whether this node is a store reader, and the last confirmation known of any reader.
  StoreReaders store_readers() const;

  /// Sets the handler for usage messages.
  void on_usage_message(std::function<void(std::string_view)> handler) {
    on_usage_message_ = std::move(handler);
  }

  /// Sets the handler that answers configuration requests; an empty answer means no newer parts.
  void on_configuration_request(std::function<std::string(const ConfigurationCall&)> handler) {
    configurations_.on_request(std::move(handler));
  }

  /// Requests everything newer than the configuration that the call summarizes from another node.
  void request_configuration(const ConfigurationCall& call,
                             std::function<void(ConfigurationMessage)> handler);

  /// Sets the handler that answers requests for the list of engines; an empty answer means no newer
  /// changes.
  void on_engine_list_request(std::function<std::string(const EngineListCall&)> handler) {
    engine_lists_.on_request(std::move(handler));
  }

  /// Requests from another node what has changed in the list of engines.
  void request_engine_list(const EngineListCall& call, EngineListExchange::UpdateHandler handler) {
    engine_lists_.request(call, std::move(handler));
  }

  /// @return whether the fleet is so large that nodes exchange by zones rather than directly.
  bool uses_zones() const { return peers_.peer_count() > settings_.max_direct_peers; }

  /// Removes the records of nodes that are gone. Called regularly at one node of the fleet.
  void remove_gone_nodes() { reaper_.tick(); }

  /// Sets the handler for nodes whose record this node has removed.
  void on_node_removed(std::function<void(const NodeId&)> handler) {
    reaper_.on_removed(std::move(handler));
  }

  /// @return the directory of nodes.
  const PeerDirectory& peers() const { return peers_; }
  /// @return the random ID of this process start.
  std::uint64_t boot() const { return boot_; }

  /// @return number of known nodes, including this one.
  std::size_t node_count() const { return peers_.nodes().size(); }

  /// @return the exchange by zones, which is inactive in a small fleet.
  const ZoneExchange& zones() const { return zones_; }

 private:
  void schedule_flush();
  Duration flush_delay() const;
  std::size_t rank() const;
  void refresh();
  void flush();
  LoadMessage own_message();
  void on_message(std::string_view bytes);
  void apply(LoadMessage message);
  void pull_cache_snapshot();
  bool call_random_peer(std::string_view call, PeerTransport::AnswerHandler handler);
  void apply_cache_snapshot(const tl::expected<std::string, std::string>& answer);
  std::string cache_snapshot() const;
  std::string answer(const std::string& call) const;
  void update_fleet();
  double live_fraction() const;

  Runtime& runtime_;
  PeerTransport& transport_;
  RelayNode& node_;
  NodeId self_;
  LoadExchangeSettings settings_;
  std::uint64_t boot_;
  std::uint64_t sequence_ = 0;
  PeerDirectory peers_;
  PeerReaper reaper_;
  ZoneExchange zones_;
  ConfigurationExchange configurations_;
  EngineListExchange engine_lists_;
  PermitExchange permits_;
  /// The last message that a peer sent to this node directly.
  struct PeerState {
    MessageNumber last_message;
    MonotonicTime received_at{};
  };
  bool is_store_reader() const;

  std::map<NodeId, PeerState> peer_states_;
  MonotonicTime readers_confirmed_at_{};  ///< Last store confirmation of any reader.
  std::unique_ptr<Timer> flush_timer_;
  std::unique_ptr<Periodic> refresh_timer_;
  std::unique_ptr<Timer> pull_timer_;
  int pulls_left_ = 0;
  std::function<StoreProgress()> own_progress_;
  std::function<void(const CatalogRevisions&)> on_revisions_;
  std::function<void(std::string_view)> on_usage_message_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
