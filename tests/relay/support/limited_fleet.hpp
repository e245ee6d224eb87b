/// @file
/// Relay nodes that exchange what they know, callers at some of them, and engines that answer by
/// themselves and name how many requests a second they take.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "relay/support/exchanging_fleet.hpp"
#include "support/limit_judge.hpp"

namespace shuntbank::testing {

/// A fleet before plain engines, one of which or all are limited.
class LimitedFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kAnswersAfter = std::chrono::milliseconds(50);

  LimitedFleet(std::size_t nodes, std::size_t zones) : fleet(nodes, zones) {}

  void add_engine(const std::string& id) {
    for (const auto& site : this->fleet.sites) site->add_engine(id, "plain");
  }

  /// An engine names a limit from now on; below zero: none any more.
  void name_limit(const std::string& engine, double a_second) {
    this->limits[engine] = a_second;
    if (a_second < 0) return this->judge.names_none(engine);
    this->judge.names(this->now(), engine, a_second);
  }

  /// Callers come to a node, so many a second, at moments that are drawn.
  void set_callers(std::size_t node, double a_second) { this->callers[node] = a_second; }

  /// The node's process is lost; its callers with it.
  void kill(std::size_t node) {
    this->callers.erase(node);
    this->judge.excuse_node(std::to_string(node));
    this->dead[node] = true;
    this->fleet.disconnect(node);
  }

  void run(Duration duration) {
    for (Duration passed{}; passed < duration; passed += kStep) this->step();
  }

  MonotonicTime now() const { return this->fleet.runtime.now(); }

  /// @return requests that have reached an engine.
  int reached(const std::string& engine) const {
    const auto found = this->arrived.find(engine);
    return found == this->arrived.end() ? 0 : found->second;
  }

  ExchangingFleet fleet;
  LimitJudge judge;
  std::vector<std::string> broken;
  std::vector<std::shared_ptr<SeenReply>> replies;

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
      if (!this->dead[i]) this->fleet.sites[i]->runtime.advance(kStep);
    }
    for (const auto& [node, a_second] : this->callers) {
      std::poisson_distribution<int> come(a_second * to_seconds(kStep));
      for (int left = come(this->random); left > 0; --left) {
        this->replies.push_back(this->fleet.sites[node]->request("/safe/a"));
      }
    }
    while (!this->answers.empty() && this->answers.front().at <= this->now()) {
      const Answer next = this->answers.front();
      this->answers.pop_front();
      if (!this->dead[next.node]) this->answer(next);
    }
    for (std::size_t i = 0; i < this->fleet.sites.size(); ++i) {
      if (!this->dead[i]) this->take_sent(i);
    }
  }

  /// What a node has sent reaches its engine.
  void take_sent(std::size_t node) {
    ScriptedHttpClient& http = this->fleet.sites[node]->http;
    for (std::size_t& next = this->taken[node]; next < http.count();) {
      const std::size_t transfer = next++;
      if (!http.at(transfer).request.still_wanted()) {
        http.fail(transfer, TransferFailure::kWithdrawn);
        continue;
      }
      const std::string engine(http.at(transfer).request.headers.get("for-engine"));
      ++this->arrived[engine];
      const std::string broke = this->judge.reaches(this->now(), {std::to_string(node), engine});
      if (!broke.empty()) this->broken.push_back(broke);
      this->answers.push_back({this->now() + kAnswersAfter, node, transfer, engine});
    }
  }

  void answer(const Answer& due) {
    HttpHeaders headers = RelayFixture::sealed();
    const auto limit = this->limits.find(due.engine);
    if (limit != this->limits.end() && limit->second >= 0) {
      headers.add("limit", std::to_string(limit->second));
      this->judge.told(this->now(), {std::to_string(due.node), due.engine});
    }
    this->fleet.sites[due.node]->http.answer(due.transfer, 200, headers, "whole");
  }

  std::map<std::string, double> limits;
  std::map<std::size_t, double> callers;
  std::mt19937_64 random{1};
  std::map<std::size_t, std::size_t> taken;
  std::map<std::size_t, bool> dead;
  std::map<std::string, int> arrived;
  std::deque<Answer> answers;
};

}  // namespace shuntbank::testing
