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
#include "protocol/load_message.hpp"
#include "relay/relay_node.hpp"
#include "store/kind_watch.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// Tunables of the exchange.
struct LoadExchangeSettings {
  std::string kind = "shuntbank-nodes";                  ///< Of the objects that name the nodes.
  Duration flush_delay = std::chrono::milliseconds(15);  ///< Changes within it share a message.
  /// Peers that are told each `flush_delay`; with more, messages are rarer in proportion, so that a
  /// node sends as many in a small fleet as in a large one.
  std::size_t peers_a_flush = 9;
  Duration refresh = std::chrono::seconds(1);  ///< Without changes, while work is under way.
  std::size_t most_peers = 64;  ///< What more peers have under way is estimated from these.
  /// The nodes start together; a list taken later holds them all.
  Duration first_look = std::chrono::milliseconds(1500);
  /// A node that joins a running system asks others what the engines keep, so often at most.
  bool joins = false;
  int most_pulls = 8;
  Duration pull_interval = std::chrono::milliseconds(250);
  Duration pull_timeout = std::chrono::seconds(1);
};

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
  void connect_revisions(std::function<CatalogRevisions()> own,
                         std::function<void(const CatalogRevisions&)> on_heard);

  /// @return nodes known, this one included.
  std::size_t nodes() const { return peers_.size() + 1; }

 private:
  void register_self();
  void watch_nodes();
  void take_node(const store::StoredObject& object);
  void schedule_flush();
  Duration flush_delay() const;
  std::size_t rank() const;
  void flush();
  void on_message(std::string_view bytes);
  void pull_caches();
  void take_caches(const tl::expected<std::string, std::string>& answer);
  std::string snapshot() const;
  std::vector<std::string> choose_targets() const;
  void update_fleet();

  struct Heard {
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
  };

  Runtime& runtime_;
  store::ObjectStore& store_;
  PeerTransport& transport_;
  RelayNode& node_;
  NodeId self_;
  LoadExchangeSettings settings_;
  std::uint64_t boot_;
  std::uint64_t sequence_ = 0;
  bool had_load_ = false;
  std::map<NodeId, std::string> peers_;  ///< Addresses by name.
  std::vector<std::string> targets_;     ///< Addresses of the peers that are told.
  std::map<NodeId, Heard> heard_;
  std::unique_ptr<store::KindWatch> watch_;
  std::unique_ptr<Timer> flush_timer_;
  std::unique_ptr<Timer> start_timer_;
  std::unique_ptr<Timer> start_again_;
  std::unique_ptr<Periodic> refresh_;
  std::unique_ptr<Timer> pull_timer_;
  int pulls_left_ = 0;
  std::function<CatalogRevisions()> own_revisions_;
  std::function<void(const CatalogRevisions&)> on_revisions_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
