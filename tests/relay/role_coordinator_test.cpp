#include "relay/role_coordinator.hpp"

#include <criterion/criterion.h>

#include <algorithm>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;
using relay::StageNotice;

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

/// Advances the time up to the next stage notice of the node. @return it.
relay::EngineStageNotice first_notice(RelayFixture& site) {
  site.node->on_load_changed([] {});  // Notices are queued only if they can be sent.
  for (int step = 0; step < 3000; ++step) {
    const auto notices = site.node->take_stage_notices(100);
    if (!notices.empty()) return notices.front();
    site.runtime.advance(10ms);
  }
  cr_assert_fail("no notice");
  return {};
}

/// @return whether the node has queued a notice for the engine since the last call.
bool has_notice(RelayFixture& site, const EngineId& engine) {
  const auto notices = site.node->take_stage_notices(100);
  return std::any_of(notices.begin(), notices.end(),
                     [&](const auto& item) { return item.engine == engine; });
}

}  // namespace

// Guards against an answer to a caller's request, or to the report, that passes for the answer to
// an order.
Test(role_coordinator, accepts_no_answer_to_another_request) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  const auto single = coordinator(site, nodes.store, "n1");
  site.runtime.advance(7s);
  site.http.answer(0, 200, {}, "decode");
  cr_assert_eq(site.http.count(), 2, "a report and an order");
  for (std::size_t i = 0; i < site.http.count(); ++i) {
    const OutgoingRequest& call = site.http.at(i).request;
    cr_assert(call.accepts_answer(200, {}));
    cr_assert_not(call.accepts_answer(503, {{"id", "r1"}, {"refused", "1"}}));
    cr_assert_eq(call.answer_id, std::optional<std::string>(""));
  }
}

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

// Guards against orders that the other nodes have not heard of.
Test(role_coordinator, announces_a_change_before_it_is_ordered) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  const auto single = coordinator(site, nodes.store, "n1");
  const auto [engine, notice] = first_notice(site);
  cr_assert(notice.stage == EngineStage::kPrefill);
  cr_assert_eq(notice.fence, 1);
  cr_assert(site.node->engines().find(engine)->leaves_stage(site.runtime.now()));
  cr_assert_eq(count_requests(site, "/report"), 0);
  site.runtime.advance(site.settings.roles.changes.notice_lead - 1ms);
  cr_assert_eq(count_requests(site, "/report"), 0);
  site.runtime.advance(site.settings.lease.tick_interval);
  cr_assert_eq(count_requests(site, "/report"), 1);
  site.http.answer(0, 200, {}, "decode");
  cr_assert_eq(first_order(site).url, "http://" + engine.value() + ":80/order");
}

// Guards against a lost notice, and against nodes that send work while the engine changes.
Test(role_coordinator, repeats_the_notice_until_the_list_shows_the_new_stage) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  const auto single = coordinator(site, nodes.store, "n1");
  const EngineId engine = first_notice(site).engine;
  site.runtime.advance(400ms);
  site.http.answer(0, 200, {}, "decode");
  site.http.answer(1, 202, {}, "");
  for (int tick = 0; tick < 8; ++tick) {
    cr_assert(has_notice(site, engine), "tick %d", tick);
    site.runtime.advance(400ms);
  }
  site.add_engine(engine.value(), "model", EngineStage::kPrefill);
  site.runtime.advance(400ms);
  has_notice(site, engine);
  site.runtime.advance(400ms);
  cr_assert_not(has_notice(site, engine));
}

// Guards against an engine that stays without work after a change that does not take place.
Test(role_coordinator, withdraws_the_notice_of_a_change_that_is_no_longer_wanted) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  const auto single = coordinator(site, nodes.store, "n1");
  const EngineId engine = first_notice(site).engine;
  // With four prefill engines of eight, the target of one half is reached.
  for (const char* id : {"p1", "p2", "p3", "p4"})
    site.add_engine(id, "model", EngineStage::kPrefill);
  site.runtime.advance(400ms);
  cr_assert_not(site.node->engines().find(engine)->leaves_stage(site.runtime.now()));
  const auto notices = site.node->take_stage_notices(100);
  cr_assert_eq(notices.size(), 1);
  cr_assert_eq(notices.front().engine, engine);
  cr_assert(notices.front().notice.stage == EngineStage::kDecode);
  site.runtime.advance(2s);
  cr_assert_eq(count_requests(site, "/report"), 0);
}

Test(role_coordinator, withdraws_the_notice_of_an_order_that_is_rejected) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  const auto single = coordinator(site, nodes.store, "n1");
  const EngineId engine = first_notice(site).engine;
  site.runtime.advance(400ms);
  site.http.answer(0, 200, {}, "decode");
  site.http.answer(1, 412, {}, "");
  cr_assert_not(site.node->engines().find(engine)->leaves_stage(site.runtime.now()));
}

// Guards against work for an engine that carries out an order whose answer was lost.
Test(role_coordinator, keeps_the_notice_of_an_order_without_an_answer) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  const auto single = coordinator(site, nodes.store, "n1");
  const EngineId engine = first_notice(site).engine;
  site.runtime.advance(400ms);
  site.http.answer(0, 200, {}, "decode");
  site.http.fail(1, TransferFailure::kUncertain);
  site.runtime.advance(5s);
  cr_assert(site.node->engines().find(engine)->leaves_stage(site.runtime.now()));
  site.runtime.advance(5s);
  cr_assert_not(site.node->engines().find(engine)->leaves_stage(site.runtime.now()));
}

// Guards against a notice that outlives its holder, and against an order of the next holder without
// a notice of its own.
Test(role_coordinator, next_holder_begins_anew_after_the_holder_dies_between_notice_and_order) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  auto first = coordinator(site, nodes.store, "n1");
  const EngineId engine = first_notice(site).engine;
  first.reset();  // Simulates a crash: the lease stays in the store.
  site.runtime.advance(site.settings.roles.changes.notice_validity - 1ms);
  cr_assert(site.node->engines().find(engine)->leaves_stage(site.runtime.now()));
  site.runtime.advance(1ms);
  cr_assert_not(site.node->engines().find(engine)->leaves_stage(site.runtime.now()));
  const auto second = coordinator(site, nodes.store, "n2");
  const auto [next_engine, next_notice] = first_notice(site);
  cr_assert_eq(next_notice.fence, 2, "the fence has increased");
  cr_assert_eq(count_requests(site, "/report"), 0);
  site.runtime.advance(400ms);
  cr_assert_eq(count_requests(site, "/report"), 1);
  site.http.answer(0, 200, {}, "decode");
  cr_assert_eq(first_order(site).headers.get("fence"), "2");
  cr_assert_eq(first_order(site).url, "http://" + next_engine.value() + ":80/order");
}

// Guards against an order under a notice that has expired while the store did not respond. The
// lease is renewed under the same fence if no other node has taken it.
Test(role_coordinator, announces_anew_after_the_lease_was_lost) {
  CoordinatorNodes nodes(1);
  RelayFixture& site = *nodes.sites[0];
  const auto single = coordinator(site, nodes.store, "n1");
  const EngineId engine = first_notice(site).engine;
  nodes.store.down = true;
  site.runtime.stall(20s);
  site.runtime.advance(1s);
  cr_assert_eq(count_requests(site, "/report"), 0);
  cr_assert_not(site.node->engines().find(engine)->leaves_stage(site.runtime.now()));
  nodes.store.down = false;
  cr_assert_eq(first_notice(site).engine, engine);
  cr_assert_eq(count_requests(site, "/report"), 0);
  site.runtime.advance(site.settings.roles.changes.notice_lead - 11ms);
  cr_assert_eq(count_requests(site, "/report"), 0);
  site.runtime.advance(400ms);
  cr_assert_geq(count_requests(site, "/report"), 1);
}
