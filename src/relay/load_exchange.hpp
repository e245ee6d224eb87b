/// @file
/// Tells the other relay nodes what this one has under way at the engines, and hears the same from
/// them. It only betters placement: a lost, late or forged message cannot break a promise.
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
#include "relay/exchange_settings.hpp"
#include "relay/peer_directory.hpp"
#include "relay/permit_exchange.hpp"
#include "relay/relay_node.hpp"
#include "relay/zone_exchange.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// The part of one node in the exchange.
class LoadExchange {
 public:
  /// All references outlive this.
  LoadExchange(Runtime& runtime, store::ObjectStore& store, PeerTransport& transport,
               RelayNode& node, const std::string& self, const LoadExchangeSettings& settings);
  ~LoadExchange();
  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  /// Sets where this node's progress in the store's changes comes from, and who is told that of
  /// others.
  void connect_revisions(std::function<StoreProgress()> own_progress,
                         std::function<void(const CatalogRevisions&)> on_peer_revisions);

  /// @return who reads the store, this node or others.
  StoreReaders store_readers() const;

  /// Sets who is told of messages about usage.
  void on_usage_message(std::function<void(std::string_view)> handler) {
    on_usage_message_ = std::move(handler);
  }

  /// Sets what is told to a node that asks for the configuration; empty: nothing that it lacks.
  void on_configuration_request(std::function<std::string(const ConfigurationCall&)> handler) {
    configurations_.on_request(std::move(handler));
  }

  /// Asks another node for what is newer than the configuration that the call summarizes.
  void request_configuration(const ConfigurationCall& call,
                             std::function<void(ConfigurationMessage)> handler);

  /// @return the nodes, and the number that was drawn at the start of this process.
  const PeerDirectory& peers() const { return peers_; }
  std::uint64_t boot() const { return boot_; }

  /// @return nodes known, this one included.
  std::size_t node_count() const { return peers_.nodes().size(); }

  /// @return the exchange by zones, which is silent in a small fleet.
  const ZoneExchange& zones() const { return zones_; }

 private:
  bool uses_zones() const { return peers_.peer_count() > settings_.max_direct_peers; }
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
  ZoneExchange zones_;
  ConfigurationExchange configurations_;
  PermitExchange permits_;
  /// The last message of a peer that tells this node directly.
  struct PeerState {
    MessageNumber last_message;
    MonotonicTime received_at{};
  };
  bool is_store_reader() const;

  std::map<NodeId, PeerState> peer_states_;
  MonotonicTime readers_confirmed_at_{};  ///< When the store last confirmed the state to a reader.
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
