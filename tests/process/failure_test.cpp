// Fault tolerance of a site of real processes.

#include <criterion/criterion.h>

#include <csignal>
#include <thread>

#include "process/support/site.hpp"
#include "standin/answer.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

const HttpHeaders kNotRepeatable{{"X-Shuntbank-Repeatable", "false"}};

std::string request_id_of(const Reply& reply) {
  return std::string(reply.headers.get("X-Request-Id"));
}

/// Runs load in the background during `action`.
LoadReport load_during(const LoadSettings& settings, const std::function<void()>& action) {
  LoadReport report;
  std::thread load_thread([&] { report = run_load(settings); });
  action();
  load_thread.join();
  return report;
}

std::uint64_t error_count(const LoadReport& report) {
  std::uint64_t count = 0;
  for (const auto& [error, number] : report.errors) count += number;
  return count;
}

}  // namespace

Test(failure, non_repeatable_request_runs_once_and_has_unknown_outcome) {
  Site site;
  for (std::size_t i = 0; i < 3; ++i)
    site.set_faults(site.engine(i), {{"drop_after_accept", true}});
  const Reply once = site.send_request(0, Site::completion("settle", 5), kNotRepeatable);
  cr_assert_eq(once.status, 502, "%d %s", once.status, once.body.c_str());
  cr_assert_eq(once.json["error"]["outcome"], "unknown");
  cr_assert_eq(site.count_executions(request_id_of(once)), 1);
  // A repeatable request is retried on another engine.
  const Reply repeated = site.send_request(0, Site::completion("lore", 5));
  cr_assert_gt(site.count_executions(request_id_of(repeated)), 1);
}

Test(failure, not_run_is_reported_only_when_nothing_ran) {
  Site site;
  for (std::size_t i = 0; i < 3; ++i) site.set_faults(site.engine(i), {{"refuse_requests", true}});
  const Reply refused = site.send_request(0, Site::completion("x", 5), kNotRepeatable);
  cr_assert_eq(refused.json["error"]["outcome"], "not_run", "%s", refused.body.c_str());
  cr_assert_eq(site.count_executions(request_id_of(refused)), 0);
  for (auto& engine : site.engines) engine->kill();
  const Reply unreachable = site.send_request(0, Site::completion("x", 5), kNotRepeatable);
  cr_assert_eq(unreachable.json["error"]["outcome"], "not_run", "%s", unreachable.body.c_str());
}

Test(failure, answer_of_another_attempt_is_not_forwarded) {
  SiteOptions options;
  options.engines = 1;
  Site site(options);
  site.set_faults(site.engine(0), {{"wrong_attempt_id", true}});
  const Reply reply = site.send_request(0, Site::completion("x", 5, true));
  cr_assert_neq(reply.status, 200, "%s", reply.body.c_str());
  cr_assert_eq(reply.body.find("\"text\""), std::string::npos);
}

Test(failure, killing_an_engine_loses_no_answer) {
  Site site;
  const LoadReport report = load_during(site.load_settings(30, 4s, 40), [&] {
    cr_assert(eventually([&] { return site.executions(1)["executions"].size() > 10; }));
    site.engines[1]->kill();
  });
  cr_assert_eq(report.mismatched, 0);
  cr_assert_eq(report.truncated, 0);
  cr_assert_eq(report.completed, report.sent, "%lu of %lu", report.completed, report.sent);
}

Test(failure, killing_a_node_fails_only_its_in_flight_requests) {
  Site site;
  LoadSettings others = site.load_settings(30, 4s, 20);
  others.targets.pop_back();
  const LoadReport report = load_during(others, [&] { site.nodes[2]->kill(); });
  cr_assert_eq(report.completed, report.sent);
  cr_assert(eventually([&] { return site.all_see_members(2); }));
  cr_assert(eventually([&] { return site.lease_holder() >= 0; }));
  cr_assert(site.orders_are_consistent());
}

Test(failure, rolling_restart_interrupts_no_request) {
  Site site;
  for (std::size_t i = 0; i < 3; ++i) {
    // Callers stop using a node once it is not ready; requests in flight continue.
    LoadSettings settings = site.load_settings(25, 3s, 150);
    const LoadReport before = load_during(settings, [&] {
      cr_assert(eventually([&] { return site.executions(0)["executions"].size() > 3; }));
    });
    cr_assert_eq(before.completed, before.sent);
    settings.targets.erase(settings.targets.begin() + static_cast<std::ptrdiff_t>(i));
    LoadSettings draining_settings = site.load_settings(40, 600ms, 300);
    draining_settings.targets = {site.callers(i)};
    LoadReport draining_report;
    std::thread draining_load([&] { draining_report = run_load(draining_settings); });
    const LoadReport report = load_during(settings, [&] {
      site.nodes[i]->send_signal(SIGTERM);
      cr_assert_eq(site.nodes[i]->wait(), 0);
      site.start_node(i);
    });
    draining_load.join();
    cr_assert_eq(draining_report.completed, draining_report.sent,
                 "at the draining node: %lu of %lu", draining_report.completed,
                 draining_report.sent);
    cr_assert_eq(report.completed, report.sent, "%lu of %lu", report.completed, report.sent);
    cr_assert(eventually([&] { return site.all_see_members(3); }));
  }
}

Test(failure, operator_drains_a_node) {
  Site site;
  cr_assert_eq(send("POST", "http://" + site.operators(1) + "/v1/drain").status, 200);
  cr_assert_eq(send("GET", "http://" + site.operators(1) + "/readyz").status, 503);
  // A second drain request is idempotent and does not stop the node at once.
  cr_assert_eq(send("POST", "http://" + site.operators(1) + "/v1/drain").status, 200);
  cr_assert_eq(send("GET", "http://" + site.operators(1) + "/healthz").status, 200);
  cr_assert_eq(site.nodes[1]->wait(), 0);
  cr_assert(eventually([&] { return site.all_see_members(2); }));
}

Test(failure, suspended_lease_holder_sends_no_order_after_resuming) {
  SiteOptions options;
  options.allowed_roles = {"mixed", "prefill", "decode"};
  Site site(options);
  cr_assert(eventually([&] { return site.lease_holder() >= 0; }));
  const auto holder = static_cast<std::size_t>(site.lease_holder());
  const auto fence_of = [&](std::size_t engine) {
    return send("GET", "http://" + site.engine(engine) + "/control/state").json["fence"].get<int>();
  };
  const int before = fence_of(0);
  site.nodes[holder]->send_signal(SIGSTOP);
  cr_assert(eventually([&] { return fence_of(0) > before && fence_of(2) > before; }));
  site.nodes[holder]->send_signal(SIGCONT);
  cr_assert(eventually([&] { return site.all_see_members(3); }));
  cr_assert(eventually([&] { return site.lease_holder() >= 0; }));
  cr_assert(site.orders_are_consistent());
}

Test(failure, role_changes_under_load_interrupt_no_request_despite_an_engine_crash) {
  SiteOptions options;
  options.engines = 4;
  options.allowed_roles = {"mixed", "prefill", "decode"};
  Site site(options);
  site.set_faults(site.engine(1), {{"crash_in_next_change", true}});
  const LoadReport report = load_during(site.load_settings(30, 6s, 60), [] {});
  cr_assert_eq(report.completed, report.sent, "%lu of %lu, %lu errors", report.completed,
               report.sent, error_count(report));
  int changes = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    const json log = site.executions(i);
    cr_assert_eq(log["cut_by_change"], 0);
    changes += log["role_changes"].get<int>();
  }
  cr_assert_geq(changes, 3);
  cr_assert(site.orders_are_consistent());
}

Test(failure, serving_continues_while_the_store_is_down) {
  Site site;
  site.set_faults(site.platform_address(), {{"down", true}});
  cr_assert(eventually([&] { return site.lease_holder() < 0; }));
  cr_assert_eq(site.send_request(1, Site::completion("x", 5)).status, 200);
  const Reply rejection = site.set_weight(0, "new", 0, 2);
  cr_assert_eq(rejection.status, 503);
  cr_assert_eq(rejection.json["changed"], "no");
  // With the store back, the remaining nodes acquire the lease again.
  site.nodes[2]->kill();
  site.set_faults(site.platform_address(), {{"down", false}});
  cr_assert(eventually([&] { return site.lease_holder() >= 0; }));
  cr_assert(site.orders_are_consistent());
}

Test(failure, draining_machine_gets_no_new_requests) {
  Site site;
  send("PUT", "http://" + site.platform_address() + "/machines?name=e0",
       json{{"kind", "engine"}, {"address", site.engine(0)}, {"state", "leaving"}}.dump());
  std::size_t last_count = SIZE_MAX;
  int unchanged_polls = 0;
  cr_assert(eventually([&] {
    for (int i = 0; i < 6; ++i)
      site.send_request(static_cast<std::size_t>(i) % 3, Site::completion("x", 1));
    const std::size_t execution_count = site.executions(0)["executions"].size();
    unchanged_polls = execution_count == last_count ? unchanged_polls + 1 : 0;
    last_count = execution_count;
    return unchanged_polls >= 5;
  }));
}

Test(failure, accepted_change_survives_a_node_crash_and_a_lost_store_answer) {
  Site site;
  site.set_faults(site.platform_address(), {{"lose_write_answers", 1}});
  const Reply lost = site.set_weight(0, "lost", 0, 2);
  cr_assert_eq(lost.status, 200, "%s", lost.body.c_str());
  const Reply accepted_reply = site.set_weight(0, "kept", 0, 3);
  cr_assert_eq(accepted_reply.status, 200);
  site.nodes[0]->kill();
  const auto revision = accepted_reply.json["revision"].get<int>();
  for (std::size_t i = 1; i < 3; ++i) {
    cr_assert(eventually([&] { return site.status(i)["revision"].get<int>() >= revision; }));
  }
}

Test(failure, concurrent_operators_lose_no_accepted_change_and_get_conflicts) {
  Site site;
  std::vector<std::thread> operators;
  std::atomic<int> accepted{0};
  std::atomic<int> conflicts{0};
  for (int i = 0; i < 10; ++i) {
    operators.emplace_back([&, i] {
      const Reply own =
          site.set_weight(static_cast<std::size_t>(i) % 3, "own" + std::to_string(i), 0, 1);
      if (own.status == 200) ++accepted;
      const Reply same = site.set_weight(static_cast<std::size_t>(i) % 3, "same", 0, i + 1);
      if (same.status == 409) ++conflicts;
      if (same.status == 200) ++accepted;
    });
  }
  for (std::thread& operator_thread : operators) operator_thread.join();
  cr_assert_eq(accepted, 11);
  cr_assert_eq(conflicts, 9);
  const json document =
      send("GET", "http://" + site.platform_address() + "/objects?key=config").json;
  int tenants = 0;
  for (const json& object : document["value"]["objects"])
    tenants += object["kind"] == "Tenant" ? 1 : 0;
  cr_assert_eq(tenants, 13);
}

Test(failure, idempotency_key_runs_once_across_nodes_and_node_crashes) {
  Site site;
  const HttpHeaders key{{"Idempotency-Key", "trade-17"}};
  cr_assert(eventually([&] { return site.claims_are_ready(); }));
  const Reply first = site.send_request(0, Site::completion("settle", 5), key);
  cr_assert_eq(first.status, 200, "%s", first.body.c_str());
  const Reply second = site.send_request(1, Site::completion("settle", 5), key);
  cr_assert_eq(second.status, 409, "%s", second.body.c_str());
  cr_assert_eq(second.json["error"]["outcome"], "unknown");
  // Keys are scoped to the tenant.
  const Reply other =
      site.send_request(1, Site::completion("settle", 5),
                        {{"Idempotency-Key", "trade-17"},
                         {"Authorization", std::string("Bearer ") + kOtherTenantKey}});
  cr_assert_eq(other.status, 200, "%s", other.body.c_str());
  site.nodes[0]->kill();
  const Reply after_kill = site.send_request(2, Site::completion("settle", 5), key);
  cr_assert_eq(after_kill.status, 409, "%d %s", after_kill.status, after_kill.body.c_str());
  site.start_node(0);
  // The restarted node has lost its claims and must fetch them from its peers before it may grant.
  cr_assert(eventually([&] { return site.claims_are_ready(); }));
  site.nodes[1]->kill();
  for (int i = 0; i < 20; ++i) {
    const Reply again = site.send_request(0, Site::completion("settle", 5), key);
    cr_assert_eq(again.status, 409, "%s", again.body.c_str());
  }
}

// Guards against a change of the configuration that ends the node, as it is nested deeply.
Test(failure, a_deeply_nested_change_is_rejected) {
  Site site;
  const std::string deep = std::string(500'000, '[') + std::string(500'000, ']');
  for (const std::string& body :
       {R"({"edits":[{"kind":"service","name":"m","spec":{"a":)" + deep + "}}]}", deep,
        R"({"edits":)" + deep + "}"}) {
    const Reply reply = send("POST", "http://" + site.operators(0) + "/v1/config/changes", body);
    cr_expect_eq(reply.status, 422, "%d", reply.status);
  }
  cr_assert_eq(send("GET", "http://" + site.operators(0) + "/healthz").status, 200);
}
