// Guards against a request that crashes engine after engine: each retry by the caller, at any node,
// crashed as many engines as its route allows, because no node remembered earlier crashes.
#include <criterion/criterion.h>

#include <set>

#include "relay/support/exchanging_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr int kAttempts = 6;
constexpr std::size_t kEngines = 12;
constexpr std::size_t kMaxCrashes = 3;  ///< Under one request.
const std::string kPath = "/safe/deadly";

void add_engines(RelayFixture& site) {
  for (std::size_t i = 0; i < kEngines; ++i) site.add_engine("e" + std::to_string(i), "plain");
}

/// Engines that crash under the requests they are sent, as seen by one node.
struct CrashingEngines {
  explicit CrashingEngines(RelayFixture& fixture) : site(fixture) {}

  /// Crashes the engine that has the transfer; further connections to it are refused.
  void crash_under(std::size_t transfer) {
    const OutgoingRequest& request = this->site.http.at(transfer).request;
    this->crashed.insert(std::string(request.headers.get("for-engine")));
    this->site.http.fail(transfer, TransferFailure::kUncertain);
    this->refuse_probes();
  }

  /// Crashes all engines that have a caller's request. @return number of engines crashed so far.
  std::size_t crash_all() {
    for (std::size_t i = 0; i < this->site.http.count(); ++i) {
      if (this->is_open(i) && this->is_caller_request(i)) this->crash_under(i);
    }
    return this->crashed.size();
  }

  /// @return how often callers' requests were sent to engines.
  std::size_t send_count() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->site.http.count(); ++i) count += this->is_caller_request(i);
    return count;
  }

  std::set<std::string> crashed;

 private:
  bool is_open(std::size_t transfer) const {
    const SentRequest& sent = this->site.http.at(transfer);
    return !sent.done && !sent.cancelled;
  }

  bool is_caller_request(std::size_t transfer) const {
    return this->site.http.at(transfer).request.url.find(kPath) != std::string::npos;
  }

  /// Refuses the connections of liveness checks to crashed engines.
  void refuse_probes() {
    for (std::size_t i = 0; i < this->site.http.count(); ++i) {
      if (!this->is_open(i) || this->is_caller_request(i)) continue;
      const std::string& url = this->site.http.at(i).request.url;
      for (const std::string& engine : this->crashed) {
        if (url.find("//" + engine + ":") != std::string::npos) {
          this->site.http.refuse_connection(i);
          break;
        }
      }
    }
  }

  RelayFixture& site;
};

/// Sends a caller's retries, each after the previous one has crashed its engines.
std::shared_ptr<RecordedReply> retry_repeatedly(RelayFixture& site, CrashingEngines& engines) {
  std::shared_ptr<RecordedReply> reply;
  for (int i = 0; i < kAttempts; ++i) {
    reply = site.request(kPath, {{"id", "t" + std::to_string(i)}}, "GET", "");
    engines.crash_all();
    site.runtime.advance(100ms);
  }
  return reply;
}

void advance_all(ExchangingFleet& fleet, Duration duration) {
  for (auto& site : fleet.sites) site->runtime.advance(duration);
  fleet.runtime.advance(duration);
}

std::vector<relay::LoadExchangeSettings> zone_settings(std::size_t nodes, std::size_t zones) {
  std::vector<relay::LoadExchangeSettings> all(nodes);
  for (std::size_t i = 0; i < nodes; ++i) all[i].zone = ZoneName("z" + std::to_string(i % zones));
  return all;
}

}  // namespace

Test(crashing_request, is_not_retried_after_crashing_three_engines) {
  RelayFixture site;
  add_engines(site);
  CrashingEngines engines(site);
  const auto reply = retry_repeatedly(site, engines);
  cr_assert_leq(engines.crashed.size(), kMaxCrashes, "%zu engines crashed", engines.crashed.size());
  cr_assert_leq(engines.send_count(), kMaxCrashes);
  cr_assert_eq(reply->status, 429, "the status shows that the request was not run");
  cr_assert_not(reply->headers.get("Retry-After").empty());
  cr_assert_not(reply->body.empty(), "the caller is told what to do");
}

Test(crashing_request, stays_suspect_after_an_engine_restarts) {
  // The next incarnation has the same address and answers 421 to requests for the crashed one.
  RelayFixture site;
  for (const char* id : {"first", "second"}) site.add_engine(id, "plain");
  CrashingEngines engines(site);
  site.request(kPath, {{"id", "t1"}}, "GET", "");
  engines.crash_all();
  cr_assert_eq(engines.crashed.size(), 2U);
  site.runtime.advance(100ms);
  const std::size_t sent = site.http.count();
  site.request("/safe/other", {}, "GET", "");
  site.http.answer(sent, 421, {{"refused", "1"}}, "");
  site.http.answer(sent + 1, 421, {{"refused", "1"}}, "");
  add_engines(site);
  site.runtime.advance(100ms);
  retry_repeatedly(site, engines);
  cr_assert_leq(engines.crashed.size(), kMaxCrashes, "%zu engines crashed", engines.crashed.size());
}

Test(crashing_request, is_quarantined_by_nodes_that_never_received_it) {
  for (const auto& [nodes, zones] : {std::pair{8, 1}, std::pair{30, 3}}) {
    ExchangingFleet fleet(static_cast<std::size_t>(nodes), static_cast<std::size_t>(zones));
    for (auto& site : fleet.sites) add_engines(*site);
    advance_all(fleet, 4s);
    CrashingEngines engines(*fleet.sites[0]);
    retry_repeatedly(*fleet.sites[0], engines);
    advance_all(fleet, 500ms);
    for (std::size_t i = 1; i < fleet.sites.size(); ++i) {
      const auto reply = fleet.sites[i]->request(kPath, {{"id", "other"}}, "GET", "");
      cr_assert_eq(CrashingEngines(*fleet.sites[i]).send_count(), 0, "node %zu of %d", i, nodes);
      cr_assert_eq(reply->status, 429);
    }
  }
}

Test(crashing_request, crashes_at_most_one_more_engine_from_changing_addresses) {
  // Only every second attempt comes from the same address as the previous one.
  RelayFixture site;
  add_engines(site);
  CrashingEngines engines(site);
  for (int i = 0; i < kAttempts; ++i) {
    site.caller_address = "10.0.0." + std::to_string(i / 2);
    site.request(kPath, {{"id", "t" + std::to_string(i)}}, "GET", "");
    engines.crash_all();
    site.runtime.advance(100ms);
  }
  cr_assert_leq(engines.crashed.size(), kMaxCrashes + 1, "%zu engines crashed",
                engines.crashed.size());
}

Test(crashing_request, does_not_block_the_same_request_of_another_caller) {
  RelayFixture site;
  add_engines(site);
  CrashingEngines engines(site);
  retry_repeatedly(site, engines);
  site.caller_address = "10.0.0.2";
  const std::size_t sent = site.http.count();
  const auto reply = site.request(kPath, {}, "GET", "");
  cr_assert_eq(site.http.count(), sent + 1, "this caller is not suspect");
  site.http.answer(sent, 200, RelayFixture::sealed_headers(), "whole");
  cr_assert_eq(reply->status, 200);
  site.caller_address = "10.0.0.1";
  site.request(kPath, {}, "GET", "");
  cr_assert_eq(site.http.count(), sent + 2, "a complete answer clears the request for all callers");
}

Test(crashing_request, stays_quarantined_after_a_fleet_restart) {
  ExchangingFleet fleet(8);
  for (auto& site : fleet.sites) add_engines(*site);
  advance_all(fleet, 4s);
  CrashingEngines engines(*fleet.sites[0]);
  retry_repeatedly(*fleet.sites[0], engines);
  advance_all(fleet, 2s);
  fleet.restart_all(zone_settings(8, 1));
  for (auto& site : fleet.sites) add_engines(*site);
  advance_all(fleet, 2s);
  for (auto& site : fleet.sites) {
    site->request(kPath, {{"id", "later"}}, "GET", "");
    cr_assert_eq(CrashingEngines(*site).send_count(), 0);
  }
}
