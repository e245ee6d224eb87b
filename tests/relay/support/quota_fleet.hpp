/// @file
/// Relay nodes that exchange state, with simulated callers of tenants that have a quota in tokens.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "common/hash.hpp"
#include "relay/support/exchanging_fleet.hpp"
#include "support/quota_checker.hpp"

namespace shuntbank::testing {

/// A fleet with one engine, which runs everything at once.
class QuotaFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kAnswerDelay = std::chrono::milliseconds(50);
  /// Of each request: a short and a long kind.
  static constexpr std::uint64_t kShortTokens = 800;
  static constexpr std::uint64_t kLongTokens = 12000;

  /// @param slack tokens beyond the quota of a tenant in a window, of all nodes together.
  QuotaFleet(std::size_t nodes, std::size_t zones, double slack)
      : fleet(nodes, zones), checker({std::chrono::seconds(8), 0.1, slack}) {
    for (const auto& site : this->fleet.sites) site->add_engine("e1", "plain");
  }

  /// Sets a tenant's quota, in tokens, at all nodes.
  void set_quota(const std::string& tenant, double per_second, double burst) {
    relay::DeclaredTenant declared;
    declared.name = TenantName(tenant);
    declared.keys.push_back({sha256_hex("key-" + tenant), std::nullopt});
    declared.quota = relay::TenantQuota{per_second, burst, true, kShortTokens};
    std::erase_if(this->tenants, [&](const auto& known) { return known.name == declared.name; });
    this->tenants.push_back(declared);
    this->checker.set_quota(this->now(), tenant, per_second, burst);
    ++this->version;
    for (std::size_t i = 0; i < this->fleet.sites.size(); ++i) {
      if (!this->killed[i]) this->configure(i);
    }
  }

  /// Sets the tokens that a tenant's callers ask for at a node, in requests that arrive at random
  /// times.
  void set_callers(std::size_t node, const std::string& tenant, double tokens_per_second) {
    this->callers[{node, tenant}] = tokens_per_second;
  }

  /// Kills the node's process; its callers are lost with it.
  void kill(std::size_t node) {
    std::erase_if(this->callers, [&](const auto& entry) { return entry.first.first == node; });
    this->killed[node] = true;
    this->fleet.disconnect(node);
  }

  /// Cuts the first nodes off from the others; zero ends the cut.
  void cut(std::size_t nodes) {
    this->fleet.network.cut_off.clear();
    for (std::size_t i = 0; i < nodes; ++i) {
      this->fleet.network.cut_off.insert(this->fleet.transports[i]->address);
    }
  }

  void run(Duration duration) {
    for (Duration passed{}; passed < duration; passed += kStep) this->step();
  }

  MonotonicTime now() const { return this->fleet.runtime.now(); }

  /// @return the tokens of a tenant that the engine has run.
  double used(const std::string& tenant) { return this->used_tokens[tenant]; }

  /// @return the replies with a status.
  std::size_t replied(int status) const {
    return static_cast<std::size_t>(
        std::count_if(this->replies.begin(), this->replies.end(),
                      [&](const auto& reply) { return reply->status == status; }));
  }

  ExchangingFleet fleet;
  QuotaChecker checker;
  std::vector<std::string> violations;
  std::vector<std::shared_ptr<RecordedReply>> replies;

 private:
  struct Answer {
    MonotonicTime at;
    std::size_t node = 0;
    std::size_t transfer = 0;
  };

  void configure(std::size_t node) {
    relay::RouteConfiguration configuration = RelayFixture::configuration(this->version);
    configuration.tenants = this->tenants;
    this->fleet.sites[node]->node->adopt(configuration);
  }

  void step() {
    this->fleet.runtime.advance(kStep);
    for (std::size_t i = 0; i < this->fleet.sites.size(); ++i) {
      if (!this->killed[i]) this->fleet.sites[i]->runtime.advance(kStep);
    }
    for (const auto& [caller, tokens_per_second] : this->callers) {
      const double per_second = tokens_per_second / (0.5 * (kShortTokens + kLongTokens));
      std::poisson_distribution<int> arrivals(per_second * to_seconds(kStep));
      for (int remaining = arrivals(this->random); remaining > 0; --remaining) {
        this->send_request(caller.first, caller.second);
      }
    }
    while (!this->answers.empty() && this->answers.front().at <= this->now()) {
      const Answer next = this->answers.front();
      this->answers.pop_front();
      if (this->killed[next.node]) continue;
      this->fleet.sites[next.node]->http.answer(next.transfer, 200, RelayFixture::sealed_headers(),
                                                "whole");
    }
    for (std::size_t i = 0; i < this->fleet.sites.size(); ++i) {
      if (!this->killed[i]) this->deliver_requests(i);
    }
  }

  void send_request(std::size_t node, const std::string& tenant) {
    const std::uint64_t tokens = this->random() % 2 == 0 ? kShortTokens : kLongTokens;
    this->replies.push_back(this->fleet.sites[node]->request(
        "/safe/a", {{"key", "key-" + tenant}, {"tokens", std::to_string(tokens)}}));
  }

  /// Delivers the requests of a node to the engine.
  void deliver_requests(std::size_t node) {
    ScriptedHttpClient& http = this->fleet.sites[node]->http;
    for (std::size_t& next = this->next_transfers[node]; next < http.count();) {
      const std::size_t transfer = next++;
      const HttpHeaders& headers = http.at(transfer).request.headers;
      const std::string tenant(headers.get("tenant"));
      const double tokens = std::stod(std::string(headers.get("tokens")));
      this->used_tokens[tenant] += tokens;
      const std::string violation = this->checker.on_run(this->now(), tenant, tokens);
      if (!violation.empty()) this->violations.push_back(violation);
      this->answers.push_back({this->now() + kAnswerDelay, node, transfer});
    }
  }

  std::uint64_t version = 1;
  std::vector<relay::DeclaredTenant> tenants;
  std::map<std::pair<std::size_t, std::string>, double> callers;
  std::mt19937_64 random{1};
  std::map<std::size_t, std::size_t> next_transfers;
  std::map<std::size_t, bool> killed;
  std::map<std::string, double> used_tokens;
  std::deque<Answer> answers;
};

}  // namespace shuntbank::testing
