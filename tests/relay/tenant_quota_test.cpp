// Tests that a tenant's quota holds for the sum of all nodes, and that what it allows is served.
#include <criterion/criterion.h>

#include "relay/support/quota_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr double kTokensPerSecond = 200'000;
constexpr double kBurst = 200'000;

/// Tokens beyond the quota in a window: what requests in flight may add.
constexpr double kSlack = 140'000;

/// Minimum share of the quota that must be used under overload.
constexpr double kMinUtilization = 0.95;

/// Spreads callers that ask for a multiple of the quota over the first nodes.
void add_callers(QuotaFleet& site, std::size_t active_nodes, const std::string& tenant,
                 double multiple) {
  for (std::size_t i = 0; i < active_nodes; ++i) {
    site.set_callers(i, tenant, multiple * kTokensPerSecond / static_cast<double>(active_nodes));
  }
}

void expect_no_violation(const QuotaFleet& site) {
  cr_assert(site.violations.empty(), "%zu times, first: %s", site.violations.size(),
            site.violations.front().c_str());
}

/// @param active_nodes the number of nodes that receive requests.
void expect_quota_enforced(std::size_t nodes, std::size_t zones, std::size_t active_nodes) {
  QuotaFleet site(nodes, zones, kSlack);
  site.run(5s);
  site.set_quota("t", kTokensPerSecond, kBurst);
  add_callers(site, active_nodes, "t", 3);
  site.run(10s);
  const double before = site.used("t");
  site.run(20s);
  expect_no_violation(site);
  const double utilization = (site.used("t") - before) / (kTokensPerSecond * 20);
  cr_assert_geq(utilization, kMinUtilization, "%.2f of the quota is used", utilization);
}

relay::RouteConfiguration with_quota(std::uint64_t version, const relay::TenantQuota& quota) {
  relay::RouteConfiguration configuration = RelayFixture::configuration(version);
  relay::DeclaredTenant tenant;
  tenant.name = TenantName("t");
  tenant.keys.push_back({sha256_hex("k"), std::nullopt});
  tenant.quota = quota;
  configuration.tenants = {tenant};
  return configuration;
}

}  // namespace

Test(tenant_quota, is_enforced_across_seven_nodes) {
  expect_quota_enforced(7, 1, 7);
}

Test(tenant_quota, is_used_up_when_one_of_seven_nodes_has_all_callers) {
  expect_quota_enforced(7, 1, 1);
}

Test(tenant_quota, is_enforced_across_sixty_nodes) {
  expect_quota_enforced(60, 5, 60);
}

Test(tenant_quota, serves_all_requests_within_it) {
  QuotaFleet site(7, 1, kSlack);
  site.run(5s);
  site.set_quota("t", kTokensPerSecond, kBurst);
  add_callers(site, 7, "t", 0.7);
  site.run(30s);
  expect_no_violation(site);
  cr_assert_eq(site.replied(429), 0, "%zu requests are refused", site.replied(429));
}

Test(tenant_quota, does_not_limit_other_tenants) {
  QuotaFleet site(7, 1, kSlack);
  site.run(5s);
  for (const char* tenant : {"hot", "calm"}) site.set_quota(tenant, kTokensPerSecond, kBurst);
  add_callers(site, 7, "hot", 7);
  site.run(20s);
  const std::size_t refused = site.replied(429);
  cr_assert_gt(refused, 0);
  for (std::size_t i = 0; i < 7; ++i) site.set_callers(i, "hot", 0);
  add_callers(site, 7, "calm", 0.7);
  site.run(10s);
  expect_no_violation(site);
  cr_assert_eq(site.replied(429), refused);
}

Test(tenant_quota, is_enforced_and_used_while_its_owners_are_killed) {
  QuotaFleet site(9, 1, kSlack);
  site.run(5s);
  site.set_quota("t", kTokensPerSecond, kBurst);
  add_callers(site, 9, "t", 3);
  site.run(10s);
  for (std::size_t i = 0; i < 4; ++i) {
    const double before = site.used("t");
    site.kill(i);
    site.run(10s);
    expect_no_violation(site);
    // The owner grants what corresponds to the nodes that it reaches.
    const double live_fraction = static_cast<double>(8 - i) / 9;
    const double utilization = (site.used("t") - before) / (live_fraction * kTokensPerSecond * 10);
    cr_assert_geq(utilization, 0.9, "%.2f of the quota is used", utilization);
  }
}

// Each part of a cut fleet has an owner of its own, whose grants must not add up to twice the
// quota.
Test(tenant_quota, is_enforced_while_the_fleet_is_cut) {
  for (const std::size_t cut_off : {1, 3, 5, 8}) {
    QuotaFleet site(10, 1, kSlack);
    site.run(5s);
    site.set_quota("t", kTokensPerSecond, kBurst);
    add_callers(site, 10, "t", 3);
    site.run(10s);
    for (int i = 0; i < 2; ++i) {
      site.cut(cut_off);
      site.run(12s);
      site.cut(0);
      site.run(6s);
    }
    const double before = site.used("t");
    site.run(10s);
    expect_no_violation(site);
    const double utilization = (site.used("t") - before) / (kTokensPerSecond * 10);
    cr_assert_geq(utilization, kMinUtilization, "%.2f of the quota is used", utilization);
  }
}

Test(tenant_quota, follows_changes) {
  QuotaFleet site(7, 1, kSlack);
  site.run(5s);
  site.set_quota("t", kTokensPerSecond, kBurst);
  add_callers(site, 7, "t", 3);
  for (const double share : {0.1, 1.0, 0.5, 2.0}) {
    site.set_quota("t", share * kTokensPerSecond, share * kBurst);
    site.run(14s);
    const double before = site.used("t");
    site.run(10s);
    expect_no_violation(site);
    const double utilization = (site.used("t") - before) / (share * kTokensPerSecond * 10);
    cr_assert_geq(utilization, kMinUtilization, "%.2f of the quota is used", utilization);
  }
}

// A refused caller must learn that its request has not run, and when the quota admits it.
Test(tenant_quota, refuses_at_once_with_the_time_to_return) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.node->adopt(with_quota(2, {10, 10, false, 0}));
  for (int i = 0; i < 10; ++i) site.request("/safe/a", {{"key", "k"}});
  cr_assert_eq(site.http.count(), 10);
  const auto first = site.request("/safe/a", {{"key", "k"}});
  const auto second = site.request("/safe/a", {{"key", "k"}});
  cr_assert_eq(site.http.count(), 10);
  cr_assert_eq(first->status, 429);
  cr_assert_eq(first->headers.get("Retry-After"), "0.10");
  cr_assert_eq(second->headers.get("Retry-After"), "0.20", "callers return one after another");
  site.runtime.advance(100ms);
  site.request("/safe/a", {{"key", "k"}});
  cr_assert_eq(site.http.count(), 11);
}

Test(tenant_quota, counts_default_tokens_for_requests_without_counts) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.node->adopt(with_quota(2, {1000, 1000, true, 500}));
  for (int i = 0; i < 4; ++i) site.request("/safe/a", {{"key", "k"}});
  cr_assert_eq(site.http.count(), 2);
}

// A request that no engine has run must not use up the quota.
Test(tenant_quota, is_not_used_by_requests_that_have_not_run) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.node->adopt(with_quota(2, {1, 1, false, 0}));
  site.request("/once/a", {{"key", "k"}});
  cr_assert_eq(site.http.count(), 1);
  site.http.answer(0, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  site.runtime.advance(300ms);
  site.request("/once/a", {{"key", "k"}});
  cr_assert_eq(site.http.count(), 2);
}

// A retry after an uncertain failure may run a second time, which counts once more.
Test(tenant_quota, counts_each_run_of_a_request) {
  RelayFixture site;
  for (const char* id : {"e1", "e2"}) site.add_engine(id, "plain");
  site.node->adopt(with_quota(2, {1, 1, false, 0}));
  const auto reply = site.request("/safe/a", {{"key", "k"}});
  site.http.fail(0, TransferFailure::kUncertain);
  cr_assert_eq(site.http.count(), 1, "not sent again");
  cr_assert_eq(reply->status, 502, "it may have run");
}
