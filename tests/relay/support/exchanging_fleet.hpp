/// @file
/// Relay nodes that exchange load reports over an in-memory network.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "relay/load_exchange.hpp"
#include "relay/quarantine_store.hpp"
#include "relay/support/fakes.hpp"

namespace shuntbank::testing {

class MockNetwork;

/// One node's endpoint of an in-memory network.
class MockTransport : public PeerTransport {
 public:
  MockTransport(MockNetwork& network, std::string address);

  void set_handlers(DatagramHandler on_datagram, CallHandler on_call) override {
    this->datagram_handler = std::move(on_datagram);
    this->call_handler = std::move(on_call);
  }
  void send(const std::string& to, std::string_view text) override;
  void call(const std::string& to, std::string text, Duration, AnswerHandler handler) override;
  std::string local_address() const override { return this->address; }
  std::uint64_t bytes_sent() const override { return 0; }
  std::uint64_t bytes_received() const override { return 0; }

  std::string address;
  std::string zone;
  DatagramHandler datagram_handler;
  CallHandler call_handler;
  int sent = 0;
  std::size_t received_bytes = 0;  ///< Of datagrams.

 private:
  MockNetwork& network;
};

class MockNetwork {
 public:
  /// @return whether messages between two addresses arrive.
  bool connected(const std::string& one, const std::string& other) const {
    return this->cut_off.count(one) == this->cut_off.count(other);
  }

  std::map<std::string, MockTransport*> nodes;
  std::set<std::string> cut_off;  ///< Addresses that only reach each other.
  int cross_zone_messages = 0;
  /// @return whether a node's program knows the call; null: all do.
  std::function<bool(std::string_view call)> knows_call;
};

/// Relay nodes that share a clock, a store and a network.
struct ExchangingFleet {
  /// @param software version of the engine that all nodes know.
  explicit ExchangingFleet(std::size_t nodes, std::size_t zones = 1, std::string software = "1.0")
      : software_version(std::move(software)) {
    for (std::size_t i = 0; i < nodes; ++i) {
      relay::LoadExchangeSettings settings;
      settings.zone = ZoneName("z" + std::to_string(i % zones));
      this->add(settings);
    }
  }

  void add(const relay::LoadExchangeSettings& settings) {
    this->sites.push_back(std::make_unique<RelayFixture>());
    const std::string name = "n" + std::to_string(this->sites.size());
    this->transports.push_back(std::make_unique<MockTransport>(this->network, name + ":1"));
    this->transports.back()->zone = settings.zone.value();
    RelayFixture& site = *this->sites.back();
    if (settings.join_existing) {
      site.settings.bootstrap = false;
      site.restart();
    }
    site.software_version = this->software_version;
    site.add_engine("p1", "model", relay::EngineStage::kPrefill);
    this->exchanges.push_back(std::make_unique<relay::LoadExchange>(
        this->runtime, this->store, *this->transports.back(), *site.node, name, settings));
    this->quarantines.push_back(
        std::make_unique<relay::QuarantineStore>(this->runtime, this->store, *site.node));
  }

  /// Makes a node send a prompt of ten tokens to the engine.
  void send_prompt(std::size_t node) {
    this->sites[node]->node->engines().on_attempt_sent(EngineId("p1"), {10, false});
    this->sites[node]->node->notify_load_changed();
  }

  /// @return the nodes that currently act as collectors.
  std::set<std::size_t> collectors() const {
    std::set<std::size_t> nodes;
    for (std::size_t i = 0; i < this->exchanges.size(); ++i) {
      if (this->exchanges[i]->zones().collecting()) nodes.insert(i);
    }
    return nodes;
  }

  /// Stops a node's exchange and removes it from the network.
  void disconnect(std::size_t node) {
    this->network.nodes.erase(this->transports[node]->address);
    this->exchanges[node].reset();
  }

  /// Restarts all nodes; only the store keeps its state.
  void restart_all(const std::vector<relay::LoadExchangeSettings>& settings) {
    this->quarantines.clear();
    this->exchanges.clear();
    this->network.nodes.clear();
    this->transports.clear();
    this->sites.clear();
    for (const auto& own : settings) this->add(own);
  }

  static std::size_t first_except(const std::set<std::size_t>& others) {
    std::size_t node = 0;
    while (others.count(node) > 0) ++node;
    return node;
  }

  const relay::EngineView& engine(std::size_t node) {
    return *this->sites[node]->node->engines().find(EngineId("p1"));
  }

  std::string software_version;
  ManualRuntime runtime;
  MemoryStore store{runtime};
  MockNetwork network;
  std::vector<std::unique_ptr<RelayFixture>> sites;
  std::vector<std::unique_ptr<MockTransport>> transports;
  std::vector<std::unique_ptr<relay::LoadExchange>> exchanges;
  std::vector<std::unique_ptr<relay::QuarantineStore>> quarantines;
};

}  // namespace shuntbank::testing
