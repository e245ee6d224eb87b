/// @file
/// Relay nodes that exchange state, with simulated callers and engines that answer and announce
/// rate limits.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "relay/support/exchanging_fleet.hpp"
#include "support/limit_checker.hpp"

namespace shuntbank::testing {

/// A fleet with plain engines, some or all of which are limited.
class LimitedFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kAnswerDelay = std::chrono::milliseconds(50);

  LimitedFleet(std::size_t nodes, std::size_t zones) : fleet(nodes, zones) {}

  void add_engine(const std::string& id) {
    for (const auto& site : this->fleet.sites) site->add_engine(id, "plain");
  }

  /// Sets the limit that an engine announces from now on; negative: none.
  void set_limit(const std::string& engine, double per_second) {
    this->limits[engine] = per_second;
    if (per_second < 0) return this->checker.clear_limit(engine);
    this->checker.set_limit(this->now(), engine, per_second);
  }

  /// Sets the rate of requests at a node, which arrive at random times.
  void set_callers(std::size_t node, double per_second) { this->caller_rates[node] = per_second; }

  /// Kills the node's process; its callers are lost with it.
  void kill(std::size_t node) {
    this->caller_rates.erase(node);
    this->checker.reset_node(std::to_string(node));
    this->killed[node] = true;
    this->fleet.disconnect(node);
  }

  void run(Duration duration) {
    for (Duration passed{}; passed < duration; passed += kStep) this->step();
  }

  MonotonicTime now() const { return this->fleet.runtime.now(); }

  /// @return the number of requests that an engine has received.
  int received(const std::string& engine) const {
    const auto found = this->received_counts.find(engine);
    return found == this->received_counts.end() ? 0 : found->second;
  }

  ExchangingFleet fleet;
  LimitChecker checker;
  std::vector<std::string> violations;
  std::vector<std::shared_ptr<RecordedReply>> replies;

 private:
  struct Answer {
    MonotonicTime at;
    std::size_t node = 0;
    std::size_t transfer = 0;
    std::string engine;
  };

  void step() {
    this->fleet.runtime.advance(kStep);
    for (std::size_t i = 0; i < this->fleet.sites.size(); ++i) {
      if (!this->killed[i]) this->fleet.sites[i]->runtime.advance(kStep);
    }
    for (const auto& [node, per_second] : this->caller_rates) {
      std::poisson_distribution<int> arrivals(per_second * to_seconds(kStep));
      for (int remaining = arrivals(this->random); remaining > 0; --remaining) {
        this->replies.push_back(this->fleet.sites[node]->request("/safe/a"));
      }
    }
    while (!this->answers.empty() && this->answers.front().at <= this->now()) {
      const Answer next = this->answers.front();
      this->answers.pop_front();
      if (!this->killed[next.node]) this->answer(next);
    }
    for (std::size_t i = 0; i < this->fleet.sites.size(); ++i) {
      if (!this->killed[i]) this->deliver_requests(i);
    }
  }

  /// Delivers the requests of a node to their engines.
  void deliver_requests(std::size_t node) {
    ScriptedHttpClient& http = this->fleet.sites[node]->http;
    for (std::size_t& next = this->next_transfers[node]; next < http.count();) {
      const std::size_t transfer = next++;
      if (!http.at(transfer).request.still_wanted()) {
        http.fail(transfer, TransferFailure::kWithdrawn);
        continue;
      }
      const std::string engine(http.at(transfer).request.headers.get("for-engine"));
      ++this->received_counts[engine];
      const std::string violation =
          this->checker.on_request(this->now(), {std::to_string(node), engine});
      if (!violation.empty()) this->violations.push_back(violation);
      this->answers.push_back({this->now() + kAnswerDelay, node, transfer, engine});
    }
  }

  void answer(const Answer& answer) {
    HttpHeaders headers = RelayFixture::sealed_headers();
    const auto limit = this->limits.find(answer.engine);
    if (limit != this->limits.end() && limit->second >= 0) {
      headers.add("limit", std::to_string(limit->second));
      this->checker.on_limit_received(this->now(), {std::to_string(answer.node), answer.engine});
    }
    this->fleet.sites[answer.node]->http.answer(answer.transfer, 200, headers, "whole");
  }

  std::map<std::string, double> limits;
  std::map<std::size_t, double> caller_rates;
  std::mt19937_64 random{1};
  std::map<std::size_t, std::size_t> next_transfers;
  std::map<std::size_t, bool> killed;
  std::map<std::string, int> received_counts;
  std::deque<Answer> answers;
};

}  // namespace shuntbank::testing
