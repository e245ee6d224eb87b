#include "relay/load_exchange.hpp"

#include <criterion/criterion.h>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;

namespace {

class MockNetwork;

/// One node's end of a network in memory.
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
  DatagramHandler datagram_handler;
  CallHandler call_handler;
  int sent = 0;

 private:
  MockNetwork& network;
};

class MockNetwork {
 public:
  std::map<std::string, MockTransport*> ends;
};

MockTransport::MockTransport(MockNetwork& shared, std::string own)
    : address(std::move(own)), network(shared) {
  this->network.ends[this->address] = this;
}

void MockTransport::send(const std::string& to, std::string_view text) {
  ++this->sent;
  const auto end = this->network.ends.find(to);
  if (end != this->network.ends.end()) end->second->datagram_handler(text, this->address);
}

void MockTransport::call(const std::string& to, std::string text, Duration, AnswerHandler handler) {
  const auto end = this->network.ends.find(to);
  if (end == this->network.ends.end()) return handler(tl::make_unexpected(std::string("silent")));
  end->second->call_handler(std::move(text), [&](std::string answer) { handler(answer); });
}

/// Relay nodes on one clock, store and network.
struct ExchangingFleet {
  explicit ExchangingFleet(std::size_t nodes) {
    for (std::size_t i = 0; i < nodes; ++i) this->add({});
  }

  void add(const relay::LoadExchangeSettings& settings) {
    this->sites.push_back(std::make_unique<RelayFixture>());
    const std::string name = "n" + std::to_string(this->sites.size());
    this->transports.push_back(std::make_unique<MockTransport>(this->network, name + ":1"));
    RelayFixture& site = *this->sites.back();
    site.add_engine("p1", "model", EngineStage::kPrefill);
    this->exchanges.push_back(std::make_unique<relay::LoadExchange>(
        this->runtime, this->store, *this->transports.back(), *site.node, name, settings));
  }

  const relay::EngineView& engine(std::size_t node) {
    return *this->sites[node]->node->engines().find(EngineId("p1"));
  }

  ManualRuntime runtime;
  MemoryStore store{runtime};
  MockNetwork network;
  std::vector<std::unique_ptr<RelayFixture>> sites;
  std::vector<std::unique_ptr<MockTransport>> transports;
  std::vector<std::unique_ptr<relay::LoadExchange>> exchanges;
};

const std::vector<relay::PromptPart> kParts{{11, 900}, {12, 80}};

}  // namespace

Test(load_exchange, tells_every_node_of_a_fleet_of_sixty) {
  // Each of 60 nodes heard 16 others and took their sum for the whole load.
  ExchangingFleet fleet(60);
  fleet.runtime.advance(3s);
  for (std::size_t i = 0; i < 60; ++i) {
    fleet.sites[i]->node->engines().on_sent(EngineId("p1"), {10, false});
  }
  fleet.runtime.advance(3s);
  for (std::size_t i = 0; i < 60; ++i) {
    cr_assert_eq(fleet.engine(i).peers->in_flight, 59);
    cr_assert_eq(fleet.engine(i).peers->unread_tokens, 590);
  }
}

Test(load_exchange, sends_no_more_messages_in_a_larger_fleet) {
  int most = 0;
  for (const std::size_t nodes : {6U, 17U, 60U}) {
    ExchangingFleet fleet(nodes);
    fleet.runtime.advance(3s);
    const int before = fleet.transports[0]->sent;
    for (int change = 0; change < 1000; ++change) {
      fleet.sites[0]->node->engines().on_sent(EngineId("p1"), {10, false});
      fleet.sites[0]->node->note_load_changed();
      fleet.runtime.advance(1ms);
    }
    most = std::max(most, fleet.transports[0]->sent - before);
  }
  cr_assert_leq(most, 1100, "in one second of constant change: %d", most);
}

Test(load_exchange, lets_a_node_that_joins_learn_what_the_engines_keep) {
  ExchangingFleet fleet(3);
  fleet.runtime.advance(3s);
  for (const auto& site : fleet.sites) site->node->learn_prompt_read({EngineId("p1"), kParts});
  relay::LoadExchangeSettings joins;
  joins.joins = true;
  fleet.add(joins);
  fleet.runtime.advance(1s);
  cr_assert_eq(fleet.engine(3).cache.kept().size(), 2);
}

Test(load_exchange, asks_no_longer_than_a_while_where_nobody_knows_more) {
  ExchangingFleet fleet(0);
  relay::LoadExchangeSettings joins;
  joins.joins = true;
  fleet.add(joins);
  fleet.add(joins);
  fleet.runtime.advance(20s);
  cr_assert(fleet.engine(0).cache.kept().empty());
}

Test(load_exchange, tells_of_troubles_and_of_its_progress) {
  ExchangingFleet fleet(2);
  relay::CatalogRevisions heard;
  fleet.exchanges[0]->connect_revisions(
      [] {
        return relay::CatalogRevisions{5, 6};
      },
      [](const auto&) {});
  fleet.exchanges[1]->connect_revisions([] { return relay::CatalogRevisions{}; },
                                        [&heard](const auto& seen) { heard = seen; });
  fleet.runtime.advance(3s);
  fleet.sites[0]->node->note_trouble({EngineId("p1"), EngineStage::kPrefill, true});
  fleet.runtime.advance(100ms);
  cr_assert_gt(fleet.engine(1).avoided_until, fleet.runtime.now());
  cr_assert(heard == (relay::CatalogRevisions{5, 6}));
}
