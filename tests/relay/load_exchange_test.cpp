#include "relay/load_exchange.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

#include "relay/support/exchanging_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;

namespace {

const std::vector<relay::PromptPart> kParts{{11, 900}, {12, 80}};

void request_configurations(ExchangingFleet& fleet, std::size_t node, int times) {
  for (int i = 0; i < times; ++i) {
    fleet.exchanges[node]->request_configuration({}, [](const ConfigurationMessage&) {});
    fleet.runtime.advance(10ms);
  }
}

/// Records which nodes are asked for a configuration; all of them answer that they have none.
void record_requested_nodes(ExchangingFleet& fleet, std::set<std::size_t>& requested) {
  for (std::size_t i = 0; i < fleet.exchanges.size(); ++i) {
    fleet.exchanges[i]->on_configuration_request([&requested, i](const ConfigurationCall&) {
      requested.insert(i);
      return std::string();
    });
  }
}

/// Gives the fifth of six nodes a newer configuration than the others.
void give_fifth_node_newest_revision(ExchangingFleet& fleet) {
  for (std::size_t i = 0; i < 6; ++i) {
    const std::uint64_t revision = i == 4 ? 9 : 7;
    fleet.exchanges[i]->connect_revisions(
        [revision] {
          return relay::StoreProgress{{revision, 0}, {}};
        },
        [](const auto&) {});
  }
}

const TenantName kServed("served");
const TenantName kWaiting("waiting");

/// Makes each node of the fleet know the same two tenants, both with requests.
void declare_tenants(ExchangingFleet& fleet) {
  for (const auto& site : fleet.sites) {
    relay::RouteConfiguration configuration = RelayFixture::configuration(9);
    configuration.tenants.emplace();
    for (const TenantName& name : {kServed, kWaiting}) {
      relay::DeclaredTenant tenant;
      tenant.name = name;
      configuration.tenants->push_back(tenant);
    }
    site->node->adopt(std::move(configuration));
    // The clocks of the sites, by which the nodes count, do not advance with that of the fleet.
    for (const TenantName& name : {kServed, kWaiting}) {
      site->node->shares().on_request(site->runtime.now(), name);
    }
  }
}

}  // namespace

Test(load_exchange, propagates_load_to_all_sixty_nodes) {
  // Guards against views that cover only part of the fleet.
  ExchangingFleet fleet(60);
  fleet.runtime.advance(3s);
  for (std::size_t i = 0; i < 60; ++i) fleet.send_prompt(i);
  fleet.runtime.advance(3s);
  for (std::size_t i = 0; i < 60; ++i) {
    cr_assert_eq(fleet.engine(i).peer_load->in_flight, 59, "%u",
                 fleet.engine(i).peer_load->in_flight);
    cr_assert_eq(fleet.engine(i).peer_load->prefill_tokens, 590);
  }
}

Test(load_exchange, propagates_a_change_to_all_zones_within_two_sums) {
  ExchangingFleet fleet(60, 5);
  fleet.runtime.advance(4s);
  fleet.send_prompt(7);
  fleet.runtime.advance(230ms);
  for (std::size_t i = 0; i < 60; ++i) {
    cr_assert_eq(fleet.engine(i).peer_load->in_flight, i == 7 ? 0 : 1, "node %zu", i);
  }
}

Test(load_exchange, propagates_prompts_and_troubles_to_all_zones) {
  ExchangingFleet fleet(60, 5);
  fleet.runtime.advance(4s);
  RelayFixture& site = *fleet.sites[3];
  site.node->queue_trouble(
      {EngineId("p1"), EngineStage::kPrefill, relay::TroubleKind::kMisdirected});
  site.add_engine("d1", "model", EngineStage::kDecode);
  site.request("/stream/a", {{"tokens", "20000"}});
  site.http.answer(0, 200, {{"id", "r1"}}, "h1");
  fleet.runtime.advance(300ms);
  for (std::size_t i = 0; i < 60; ++i) {
    const relay::EngineView& engine = fleet.engine(i);
    cr_assert_gt(engine.backoff_until, fleet.runtime.now() - 300ms, "node %zu", i);
    cr_assert_eq(engine.cache.cached_parts().size(), i == 3 ? 2 : 1, "node %zu", i);
  }
}

Test(load_exchange, propagates_draining_but_not_cooldown) {
  for (const std::size_t nodes : {2, 60}) {
    ExchangingFleet fleet(nodes, nodes == 2 ? 1 : 5);
    fleet.runtime.advance(4s);
    relay::EngineListener& listener = fleet.sites[1]->node->listener();
    listener.on_response_head(EngineId("p1"), 503, {{"rest-seconds", "3"}});
    fleet.runtime.advance(300ms);
    cr_assert(fleet.engine(0).accepts_requests(fleet.runtime.now()),
              "a cooldown applies to one node only");
    listener.on_response_head(EngineId("p1"), 200, {{"leaving", "1"}});
    fleet.runtime.advance(300ms);
    for (std::size_t i = 0; i < nodes; ++i) {
      cr_assert(fleet.engine(i).record.draining, "node %zu of %zu", i, nodes);
    }
  }
}

Test(load_exchange, recovers_when_all_collectors_fail) {
  ExchangingFleet fleet(60, 5);
  fleet.runtime.advance(4s);
  const auto failed = fleet.collectors();
  cr_assert_geq(failed.size(), 5);
  for (const std::size_t i : failed) fleet.disconnect(i);
  fleet.runtime.advance(5s);
  const std::size_t alive = fleet.first_except(failed);
  fleet.send_prompt(alive);
  fleet.runtime.advance(400ms);
  for (std::size_t i = 0; i < 60; ++i) {
    if (i == alive || failed.count(i) > 0) continue;
    cr_assert(fleet.engine(i).peer_load.has_value(), "node %zu", i);
    cr_assert_eq(fleet.engine(i).peer_load->in_flight, 1, "node %zu", i);
  }
}

Test(load_exchange, limits_cross_zone_messages) {
  ExchangingFleet fleet(60, 5);
  fleet.runtime.advance(4s);
  fleet.network.cross_zone_messages = 0;
  for (int change = 0; change < 100; ++change) {
    for (std::size_t i = 0; i < 60; ++i) fleet.send_prompt(i);
    fleet.runtime.advance(10ms);
  }
  // Two collectors of each of five zones send to two of each other zone every 30 ms.
  cr_assert_leq(fleet.network.cross_zone_messages, 35 * 5 * 2 * 4 * 2);
}

Test(load_exchange, collects_less_often_on_small_machines) {
  // Guards against a division by zero when the capacity is unknown.
  for (const double capacity : {0.0, 0.02, 1.0}) {
    ExchangingFleet fleet(0);
    for (int i = 0; i < 60; ++i) {
      relay::LoadExchangeSettings settings;
      settings.capacity = capacity;
      fleet.add(settings);
    }
    fleet.runtime.advance(4s);
    const auto collectors = fleet.collectors();
    cr_assert_geq(collectors.size(), 2);
    int before = 0;
    for (const auto& transport : fleet.transports) before = std::max(before, transport->sent);
    fleet.runtime.advance(1s);
    int after = 0;
    for (const auto& transport : fleet.transports) after = std::max(after, transport->sent);
    cr_assert_leq(after - before, capacity < 1 ? 700 : 2200, "%d at %f", after - before, capacity);
  }
}

Test(load_exchange, message_rate_is_bounded_for_any_fleet_size) {
  int max_messages = 0;
  for (const std::size_t nodes : {6U, 17U, 60U}) {
    ExchangingFleet fleet(nodes);
    fleet.runtime.advance(3s);
    const int before = fleet.transports[0]->sent;
    for (int change = 0; change < 1000; ++change) {
      fleet.sites[0]->node->engines().on_attempt_sent(EngineId("p1"), {10, false});
      fleet.sites[0]->node->notify_load_changed();
      fleet.runtime.advance(1ms);
    }
    max_messages = std::max(max_messages, fleet.transports[0]->sent - before);
  }
  cr_assert_leq(max_messages, 1100, "in one second of constant change: %d", max_messages);
}

Test(load_exchange, joining_node_receives_cache_snapshot) {
  ExchangingFleet fleet(3);
  fleet.runtime.advance(3s);
  for (const auto& site : fleet.sites) site->node->on_peer_prompt_read({EngineId("p1"), kParts});
  relay::LoadExchangeSettings joining;
  joining.join_existing = true;
  fleet.add(joining);
  fleet.runtime.advance(1s);
  cr_assert_eq(fleet.engine(3).cache.cached_parts().size(), 2);
}

Test(load_exchange, stops_pulling_snapshots_when_peers_have_none) {
  ExchangingFleet fleet(0);
  relay::LoadExchangeSettings joining;
  joining.join_existing = true;
  fleet.add(joining);
  fleet.add(joining);
  fleet.runtime.advance(20s);
  cr_assert(fleet.engine(0).cache.cached_parts().empty());
}

Test(load_exchange, reports_troubles_and_store_progress) {
  ExchangingFleet fleet(2);
  relay::CatalogRevisions received;
  fleet.exchanges[0]->connect_revisions(
      [] {
        return relay::StoreProgress{{5, 6}, {}};
      },
      [](const auto&) {});
  fleet.exchanges[1]->connect_revisions([] { return relay::StoreProgress{}; },
                                        [&received](const auto& seen) { received = seen; });
  fleet.runtime.advance(3s);
  fleet.sites[0]->node->queue_trouble(
      {EngineId("p1"), EngineStage::kPrefill, relay::TroubleKind::kMisdirected});
  fleet.runtime.advance(100ms);
  cr_assert_gt(fleet.engine(1).backoff_until, fleet.runtime.now());
  cr_assert(received == (relay::CatalogRevisions{5, 6}));
}

Test(load_exchange, requests_configuration_from_collector_own_zone_and_other_zones) {
  // If the store rejects a whole zone, only other zones have the configuration.
  ExchangingFleet fleet(60, 5);
  fleet.runtime.advance(4s);
  std::set<std::size_t> requested;
  record_requested_nodes(fleet, requested);
  const auto collectors = fleet.collectors();
  const std::size_t requester = fleet.first_except(collectors);
  request_configurations(fleet, requester, 30);
  int collector = 0;
  int same_zone = 0;
  int other_zone = 0;
  for (const std::size_t i : requested) {
    const bool own_zone = i % 5 == requester % 5;
    if (own_zone && collectors.count(i) > 0) ++collector;
    if (own_zone && collectors.count(i) == 0) ++same_zone;
    if (!own_zone) ++other_zone;
  }
  cr_assert_geq(collector, 1);
  cr_assert_geq(same_zone, 2);
  cr_assert_geq(other_zone, 2);
}

Test(load_exchange, small_fleet_requests_configuration_from_up_to_date_nodes) {
  ExchangingFleet fleet(6);
  fleet.runtime.advance(3s);
  std::set<std::size_t> requested;
  record_requested_nodes(fleet, requested);
  give_fifth_node_newest_revision(fleet);
  fleet.runtime.advance(3s);
  request_configurations(fleet, 0, 10);
  cr_assert_eq(requested, std::set<std::size_t>{4});
}

Test(load_exchange, does_not_request_configuration_from_silent_nodes) {
  // A connection to a failed node would hang.
  ExchangingFleet fleet(6);
  give_fifth_node_newest_revision(fleet);
  fleet.runtime.advance(5s);
  fleet.disconnect(4);
  fleet.runtime.advance(5s);
  int answered = 0;
  for (int i = 0; i < 6; ++i) {
    if (i == 4) continue;
    fleet.exchanges[i]->on_configuration_request([&answered](const ConfigurationCall&) {
      ++answered;
      return std::string();
    });
  }
  request_configurations(fleet, 0, 10);
  cr_assert_eq(answered, 10);
}

// Guards against orders that overtake their notices, and against notices that make a message too
// large to be sent.
Test(load_exchange, delivers_stage_notices_to_all_nodes_within_the_bound) {
  for (const std::size_t nodes : {6, 67}) {
    ExchangingFleet fleet(nodes, 3);
    fleet.runtime.advance(4s);
    constexpr int kNotices = 12;
    for (int i = 0; i < kNotices; ++i) {
      const std::string id = "engine-with-a-long-name-" + std::to_string(i) + ".lk3j4h2g";
      for (const auto& site : fleet.sites) site->add_engine(id, "model", EngineStage::kDecode);
      fleet.sites[5]->node->queue_stage_notice({EngineId(id), {EngineStage::kPrefill, 9, 1500ms}});
    }
    fleet.runtime.advance(relay::update_arrival_bound({}));
    for (std::size_t node = 0; node < nodes; ++node) {
      const auto& engines = fleet.sites[node]->node->engines().all();
      const auto known = std::count_if(engines.begin(), engines.end(), [](const auto& entry) {
        return entry.second.stage_notice.has_value();
      });
      cr_assert_eq(known, kNotices, "node %zu of %zu knows %ld", node, nodes, long{known});
    }
  }
}

Test(load_exchange, spreads_many_stage_notices_over_several_messages) {
  ExchangingFleet fleet(6);
  fleet.runtime.advance(4s);
  constexpr int kNotices = 90;
  for (int i = 0; i < kNotices; ++i) {
    const std::string id = "engine-with-a-long-name-" + std::to_string(i) + ".lk3j4h2g";
    for (const auto& site : fleet.sites) site->add_engine(id, "model", EngineStage::kDecode);
    fleet.sites[0]->node->queue_stage_notice({EngineId(id), {EngineStage::kPrefill, 9, 1500ms}});
  }
  fleet.runtime.advance(400ms);
  const auto& engines = fleet.sites[3]->node->engines().all();
  const auto known = std::count_if(engines.begin(), engines.end(), [](const auto& entry) {
    return entry.second.stage_notice.has_value();
  });
  cr_assert_eq(known, kNotices);
}

// Guards fair shares against a flood through a single node: all others must learn of it, whether
// they get its report directly or by way of the collectors.
Test(load_exchange, propagates_served_tokens) {
  for (const std::size_t nodes : {4U, 60U}) {
    ExchangingFleet fleet(nodes, 3);
    fleet.runtime.advance(3s);
    declare_tenants(fleet);
    relay::RelayNode& first = *fleet.sites[0]->node;
    first.shares().on_served(fleet.sites[0]->runtime.now(), kServed, 50000);
    fleet.sites[0]->runtime.advance(relay::kServedReportInterval);
    first.notify_load_changed();
    fleet.runtime.advance(5s);
    for (const auto& site : fleet.sites) {
      const MonotonicTime later = site->runtime.now() + 200ms;
      cr_assert(site->node->shares().above_share(later, kServed));
      cr_assert_not(site->node->shares().above_share(later, kWaiting));
    }
  }
}
