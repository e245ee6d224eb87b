/// @file
/// Relay nodes that read their engines from a store behind one link, and exchange load.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "relay/catalog_peers.hpp"
#include "relay/support/exchanging_fleet.hpp"
#include "relay/support/gated_store.hpp"

namespace shuntbank::testing {

/// Sizes of a `CatalogFleet`.
struct CatalogFleetSizes {
  std::size_t nodes = 40;
  std::size_t engines = 400;
  std::size_t object_bytes = 500;
  std::size_t store_bytes_per_second = 200'000;  ///< Of the store's link, shared by all nodes.
  Duration history = std::chrono::seconds(20);
  std::size_t zones = 1;
  Duration drain_time = relay::CatalogSettings{}.drain_time;
};

struct CatalogFleet {
  explicit CatalogFleet(const CatalogFleetSizes& own_sizes = {})
      : sizes(own_sizes), link(nodes.runtime, own_sizes.store_bytes_per_second) {
    this->nodes.store.history_time = this->sizes.history;
    this->nodes.store.object_bytes = this->sizes.object_bytes;
    this->nodes.store.link = &this->link;
    for (std::size_t i = 0; i < this->sizes.engines; ++i) this->write(i, false);
    for (std::size_t i = 0; i < this->sizes.nodes; ++i) this->add(i % this->sizes.zones);
  }

  /// Starts one more node.
  void add(std::size_t zone, bool join_existing = false) {
    relay::LoadExchangeSettings exchange;
    exchange.zone = ZoneName("z" + std::to_string(zone));
    exchange.join_existing = join_existing;
    this->nodes.add(exchange);
    relay::CatalogSettings catalog;
    catalog.join_existing = join_existing;
    catalog.drain_time = this->sizes.drain_time;
    this->stores.push_back(std::make_unique<GatedStore>(this->nodes.runtime, this->nodes.store));
    this->catalogs.push_back(
        std::make_unique<relay::Catalog>(this->nodes.runtime, *this->stores.back(), this->codec,
                                         *this->nodes.sites.back()->node, catalog));
    this->peers.push_back(std::make_unique<relay::CatalogPeers>(
        this->nodes.runtime, *this->catalogs.back(), *this->nodes.exchanges.back()));
  }

  static std::string name(std::size_t engine) { return "e" + std::to_string(engine); }

  /// Writes an engine's record.
  void write(std::size_t engine, bool draining) {
    this->nodes.store.put(
        "engines", name(engine),
        {{"address", "10.0.0.1:" + std::to_string(1000 + engine)}, {"draining", draining}});
  }

  /// Advances the time while one engine changes ten times a second.
  void advance(Duration duration) {
    const MonotonicTime until = this->nodes.runtime.now() + duration;
    while (this->nodes.runtime.now() < until) {
      this->write(this->sizes.engines - 1 - this->changes++ % (this->sizes.engines / 2), false);
      this->nodes.runtime.advance(std::chrono::milliseconds(100));
    }
  }

  /// Removes an engine's record.
  void remove(std::size_t engine) { this->nodes.store.remove("engines", name(engine)); }

  /// @return the nodes that read the store for the others.
  std::vector<std::size_t> readers() const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < this->nodes.exchanges.size(); ++i) {
      if (this->nodes.exchanges[i] && this->nodes.exchanges[i]->store_readers().self)
        found.push_back(i);
    }
    return found;
  }

  /// Kills the store readers and those of the other nodes whose number is even.
  void kill_readers_and_half_of_the_others() {
    const std::vector<std::size_t> reading = this->readers();
    for (std::size_t node = 0; node < this->catalogs.size(); ++node) {
      const bool reads = std::count(reading.begin(), reading.end(), node) > 0;
      if (this->catalogs[node] && (reads || node % 2 == 0)) this->kill(node);
    }
  }

  /// @return a node that is no reader.
  std::size_t follower() const {
    const std::vector<std::size_t> found = this->readers();
    return ExchangingFleet::first_except({found.begin(), found.end()});
  }

  /// Ends a node's process.
  void kill(std::size_t node) {
    this->peers[node].reset();
    this->catalogs[node].reset();
    this->nodes.disconnect(node);
  }

  /// Cuts a node off from the store and the other nodes, or connects it again.
  void set_isolated(std::size_t node, bool isolated) {
    this->stores[node]->open = !isolated;
    const std::string& address = this->nodes.transports[node]->address;
    if (isolated) {
      this->nodes.network.cut_off.insert(address);
    } else {
      this->nodes.network.cut_off.erase(address);
    }
  }

  /// @return whether a live node knows the engine and would send to it.
  bool uses(std::size_t node, std::size_t engine) const {
    if (!this->catalogs[node]) return false;
    const relay::EngineView* view =
        this->nodes.sites[node]->node->engines().find(EngineId(name(engine)));
    return view != nullptr && !view->record.draining;
  }

  /// @return number of nodes that know the engine and would send to it.
  std::size_t nodes_using(std::size_t engine) const {
    std::size_t count = 0;
    for (std::size_t node = 0; node < this->catalogs.size(); ++node) {
      if (this->uses(node, engine)) ++count;
    }
    return count;
  }

  CatalogFleetSizes sizes;
  ExchangingFleet nodes{0};
  SlowLink link;
  TestCodec codec;
  std::vector<std::unique_ptr<GatedStore>> stores;
  std::vector<std::unique_ptr<relay::Catalog>> catalogs;
  std::vector<std::unique_ptr<relay::CatalogPeers>> peers;
  std::size_t changes = 0;
};

}  // namespace shuntbank::testing
