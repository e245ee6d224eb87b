#include "relay/role_coordinator.hpp"

#include <criterion/criterion.h>

#include <algorithm>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;

namespace {

/// Nodes with a shared store and four decode engines, two of which should become prefill engines.
struct CoordinatorNodes {
  explicit CoordinatorNodes(std::size_t count)
      : store(sites.emplace_back(new RelayFixture)->runtime) {
    for (std::size_t i = 1; i < count; ++i) sites.emplace_back(new RelayFixture);
    for (const auto& site : sites) {
      for (const char* id : {"d1", "d2", "d3", "d4"}) {
        site->add_engine(id, "model", EngineStage::kDecode);
      }
    }
  }
  std::vector<std::unique_ptr<RelayFixture>> sites;
  MemoryStore store;
};

relay::StagePlannerSettings half_prefill() {
  relay::StagePlannerSettings planner;
  planner.prefill_share = 0.5;
  return planner;
}

/// The lease and the role coordinator of one node.
struct Coordinator {
  Coordinator(RelayFixture& site, MemoryStore& store, const std::string& name)
      : lease(site.runtime, store, *site.node, name, site.settings.lease),
        roles(relay::RelayIo{site.runtime, site.http, site.dialect}, lease, *site.node,
              site.settings.roles, half_prefill()) {}

  relay::LeaseKeeper lease;
  relay::RoleCoordinator roles;
};

std::unique_ptr<Coordinator> coordinator(RelayFixture& site, MemoryStore& store,
                                         const std::string& name) {
  return std::make_unique<Coordinator>(site, store, name);
}

std::size_t count_requests(const RelayFixture& site, const std::string& path) {
  return static_cast<std::size_t>(std::count_if(
      site.http.sent.begin(), site.http.sent.end(),
      [&](const auto& sent) { return sent->request.url.find(path) != std::string::npos; }));
}

/// @return the first order, skipping report requests.
const OutgoingRequest& first_order(const RelayFixture& site) {
  const auto order = std::find_if(
      site.http.sent.begin(), site.http.sent.end(),
      [](const auto& sent) { return sent->request.url.find("/order") != std::string::npos; });
  cr_assert(order != site.http.sent.end());
  return (*order)->request;
}

}  // namespace

Test(role_coordinator, sends_the_fence_and_the_expected_order_count) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  const auto single = coordinator(site, nodes.store, "n1");
  site.runtime.advance(7s);
  cr_assert_eq(count_requests(site, "/report"), 1);
  site.http.answer(0, 200, {}, "decode");
  cr_assert_eq(count_requests(site, "/order"), 1);
  cr_assert_eq(site.http.at(1).request.headers.get("fence"), "1");
  cr_assert_eq(site.http.at(1).request.headers.get("expected"), "4");
  cr_assert_eq(site.http.at(1).request.body, "prefill");
}

Test(role_coordinator, sends_no_order_to_an_engine_that_reports_draining) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  const auto single = coordinator(site, nodes.store, "n1");
  site.runtime.advance(7s);
  const std::string engine = site.http.at(0).request.url.substr(7, 2);
  site.http.answer(0, 200, {{"leaving", "1"}}, "decode");
  cr_assert_eq(count_requests(site, "/order"), 0);
  cr_assert_not(site.node->engines().find(EngineId(engine))->accepts_requests(site.runtime.now()));
}

Test(role_coordinator, waits_for_the_takeover_delay) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  const auto single = coordinator(site, nodes.store, "n1");
  site.runtime.advance(4300ms);
  cr_assert_gt(single->lease.held_for().count(), Duration(2s).count());
  cr_assert_lt(single->lease.held_for().count(),
               Duration(site.settings.roles.takeover_delay).count());
  cr_assert_eq(count_requests(site, "/report"), 0);
}

Test(role_coordinator, sends_no_order_after_stalling_past_its_lease) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  const auto single = coordinator(site, nodes.store, "n1");
  site.runtime.advance(7s);
  cr_assert_eq(count_requests(site, "/report"), 1);
  // The report is answered after the stall, when the lease has expired.
  site.runtime.stall(20s);
  site.http.answer(0, 200, {}, "decode");
  cr_assert_eq(count_requests(site, "/order"), 0);
}

Test(role_coordinator, takes_over_a_lease_only_after_it_expires) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  auto first = coordinator(site, nodes.store, "n1");
  site.runtime.advance(5s);
  first.reset();  // Simulates a crash: the lease stays in the store.
  const auto second = coordinator(site, nodes.store, "n2");
  site.runtime.advance(7s);
  cr_assert_eq(count_requests(site, "/report"), 0);
  site.runtime.advance(13s);
  cr_assert_geq(count_requests(site, "/report"), 1);
  site.http.answer(0, 200, {}, "decode");
  cr_assert_eq(first_order(site).headers.get("fence"), "2", "the fence has increased");
}

Test(role_coordinator, recovers_from_a_write_whose_answer_was_lost) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  nodes.store.lose_answers = true;
  const auto single = coordinator(site, nodes.store, "n1");
  site.runtime.advance(12s);
  cr_assert_geq(count_requests(site, "/report"), 1, "the write is confirmed by reading it back");
}

Test(role_coordinator, orders_nothing_while_the_store_is_down) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  nodes.store.down = true;
  const auto single = coordinator(site, nodes.store, "n1");
  site.runtime.advance(30s);
  cr_assert_eq(count_requests(site, "/report"), 0);
}
