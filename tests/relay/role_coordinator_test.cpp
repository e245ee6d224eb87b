#include "relay/role_coordinator.hpp"

#include <criterion/criterion.h>

#include <algorithm>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;

namespace {

/// Nodes that share a store and want to plan, before four decode engines of which two should
/// prefill.
struct Planners {
  explicit Planners(std::size_t count) : store(sites.emplace_back(new RelayFixture)->runtime) {
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

relay::StagePlannerSettings half_of_them() {
  relay::StagePlannerSettings planner;
  planner.prefill_share = 0.5;
  return planner;
}

/// One node's part: the lease, and what is done under it.
struct Coordinator {
  Coordinator(RelayFixture& site, MemoryStore& store, const std::string& name)
      : lease(site.runtime, store, *site.node, name, site.settings.lease),
        roles(relay::RelayIo{site.runtime, site.http, site.dialect}, lease, *site.node,
              site.settings.roles, half_of_them()) {}

  relay::LeaseKeeper lease;
  relay::RoleCoordinator roles;
};

std::unique_ptr<Coordinator> coordinator(RelayFixture& site, MemoryStore& store,
                                         const std::string& name) {
  return std::make_unique<Coordinator>(site, store, name);
}

std::size_t count_of(const RelayFixture& site, const std::string& path) {
  return static_cast<std::size_t>(std::count_if(
      site.http.sent.begin(), site.http.sent.end(),
      [&](const auto& sent) { return sent->request.url.find(path) != std::string::npos; }));
}

/// @return the first order; reports of other engines may have been asked for meanwhile.
const OutgoingRequest& order_of(const RelayFixture& site) {
  const auto order = std::find_if(
      site.http.sent.begin(), site.http.sent.end(),
      [](const auto& sent) { return sent->request.url.find("/order") != std::string::npos; });
  cr_assert(order != site.http.sent.end());
  return (*order)->request;
}

}  // namespace

Test(role_coordinator, asks_the_engine_and_orders_under_its_fence_and_count) {
  Planners planners(1);
  RelayFixture& site = *planners.sites[0];
  const auto one = coordinator(site, planners.store, "n1");
  site.runtime.advance(7s);
  cr_assert_eq(count_of(site, "/report"), 1);
  site.http.answer(0, 200, {}, "decode");
  cr_assert_eq(count_of(site, "/order"), 1);
  cr_assert_eq(site.http.at(1).request.headers.get("fence"), "1");
  cr_assert_eq(site.http.at(1).request.headers.get("expected"), "4");
  cr_assert_eq(site.http.at(1).request.body, "prefill");
}

Test(role_coordinator, hears_from_a_report_that_the_engine_leaves_and_gives_it_no_order) {
  Planners planners(1);
  RelayFixture& site = *planners.sites[0];
  const auto one = coordinator(site, planners.store, "n1");
  site.runtime.advance(7s);
  const std::string engine = site.http.at(0).request.url.substr(7, 2);
  site.http.answer(0, 200, {{"leaving", "1"}}, "decode");
  cr_assert_eq(count_of(site, "/order"), 0);
  cr_assert_not(site.node->engines().find(EngineId(engine))->takes_requests(site.runtime.now()));
}

Test(role_coordinator, waits_before_its_first_order) {
  Planners planners(1);
  RelayFixture& site = *planners.sites[0];
  const auto one = coordinator(site, planners.store, "n1");
  site.runtime.advance(4300ms);
  cr_assert_gt(one->lease.held_for().count(), Duration(2s).count());
  cr_assert_lt(one->lease.held_for().count(), Duration(site.settings.roles.takeover_delay).count());
  cr_assert_eq(count_of(site, "/report"), 0);
}

Test(role_coordinator, gives_no_order_after_standing_still_past_its_lease) {
  Planners planners(1);
  RelayFixture& site = *planners.sites[0];
  const auto one = coordinator(site, planners.store, "n1");
  site.runtime.advance(7s);
  cr_assert_eq(count_of(site, "/report"), 1);
  // The report is answered when the process wakes: the lease has run out by its own clock.
  site.runtime.stand_still(20s);
  site.http.answer(0, 200, {}, "decode");
  cr_assert_eq(count_of(site, "/order"), 0);
}

Test(role_coordinator, takes_a_lease_over_only_after_it_stood_still_for_its_whole_length) {
  Planners planners(1);
  RelayFixture& site = *planners.sites[0];
  auto first = coordinator(site, planners.store, "n1");
  site.runtime.advance(5s);
  first.reset();  // Killed: the lease stays in the store.
  const auto second = coordinator(site, planners.store, "n2");
  site.runtime.advance(7s);
  cr_assert_eq(count_of(site, "/report"), 0);
  site.runtime.advance(13s);
  cr_assert_geq(count_of(site, "/report"), 1);
  site.http.answer(0, 200, {}, "decode");
  cr_assert_eq(order_of(site).headers.get("fence"), "2", "the fence has grown");
}

Test(role_coordinator, settles_a_write_that_was_done_and_not_answered) {
  Planners planners(1);
  RelayFixture& site = *planners.sites[0];
  planners.store.lose_answers = true;
  const auto one = coordinator(site, planners.store, "n1");
  site.runtime.advance(12s);
  cr_assert_geq(count_of(site, "/report"), 1, "read back, the write counts");
}

Test(role_coordinator, orders_nothing_while_the_store_is_down) {
  Planners planners(1);
  RelayFixture& site = *planners.sites[0];
  planners.store.down = true;
  const auto one = coordinator(site, planners.store, "n1");
  site.runtime.advance(30s);
  cr_assert_eq(count_of(site, "/report"), 0);
}
