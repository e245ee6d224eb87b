/// @file
/// Judges the requests that reach engines against how many a second the engines have said that they
/// take from all nodes together.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/time.hpp"
#include "support/notice_judge.hpp"

namespace shuntbank::testing {

/// What engines have named, who was told, and what reached them.
class LimitChecker {
 public:
  /// Any span of this length counts.
  static constexpr Duration kWindow = std::chrono::seconds(4);
  /// From the first time that an engine names a limit.
  static constexpr Duration kConvergenceTime = std::chrono::seconds(3);
  /// From an answer that a node has passed on, for what is on its way; the same for a new figure.
  static constexpr Duration kInFlightTime = std::chrono::milliseconds(500);
  static constexpr double kFactor = 1.5;
  static constexpr double kSlack = 5;

  /// An engine takes so many a second from now on.
  void set_limit(MonotonicTime now, const std::string& incarnation, double per_second) {
    Engine& engine = this->engines[incarnation];
    if (!engine.first_limit_at) engine.first_limit_at = now;
    engine.limits.push_back({now, per_second});
  }

  /// An engine takes what it gets from now on. Whoever sends to it then does nothing wrong, also
  /// where the engine names a limit again: that is not known before an answer names it.
  void clear_limit(const std::string& incarnation) {
    Engine& engine = this->engines[incarnation];
    engine.limits.clear();
    engine.aware_since.clear();
    engine.arrivals.clear();
  }

  /// A node runs a program that does not know limits, or no longer does so.
  void set_unaware(const std::string& node, bool is_unaware) {
    this->reset_node(node);
    if (is_unaware) {
      this->unaware.insert(node);
    } else {
      this->unaware.erase(node);
    }
  }

  /// A node has passed an answer on that names a limit.
  void on_limit_received(MonotonicTime now, const NodeAndIncarnation& pair) {
    if (this->unaware.count(pair.node) > 0) return;
    this->engines[pair.incarnation].aware_since.try_emplace(pair.node, now);
  }

  /// A request reaches an engine. @return what it breaks, or empty.
  std::string on_request(MonotonicTime now, const NodeAndIncarnation& pair) {
    const auto found = this->engines.find(pair.incarnation);
    if (found == this->engines.end()) return "";
    Engine& engine = found->second;
    const auto received = engine.aware_since.find(pair.node);
    if (received == engine.aware_since.end() || now < received->second + kInFlightTime) return "";
    engine.arrivals.push_back({now, pair.node});
    while (engine.arrivals.front().at <= now - kWindow) engine.arrivals.pop_front();
    if (engine.limits.empty() || now < *engine.first_limit_at + kConvergenceTime) return "";
    const auto received_count = static_cast<double>(engine.arrivals.size());
    const double allowed = kFactor * allowance_in_window(engine, now) + kSlack;
    this->peak_utilization = std::max(this->peak_utilization, received_count / allowed);
    constexpr double kRounding = 1e-6;
    if (received_count <= allowed + kRounding) return "";
    return pair.incarnation + " got " + std::to_string(received_count) + " in 4 s, allowed " +
           std::to_string(allowed);
  }

  /// The node has been restarted, stood still or was cut off.
  void reset_node(const std::string& node) {
    for (auto& [incarnation, engine] : this->engines) {
      engine.aware_since.erase(node);
      std::erase_if(engine.arrivals, [&](const Arrival& arrival) { return arrival.node == node; });
    }
  }

  /// @return the highest share of what is allowed that any window held.
  double max_utilization() const { return this->peak_utilization; }

 private:
  struct LimitEntry {
    MonotonicTime from;
    double per_second = 0;
  };
  struct Arrival {
    MonotonicTime at;
    std::string node;
  };
  struct Engine {
    std::optional<MonotonicTime> first_limit_at;
    std::deque<LimitEntry> limits;
    std::map<std::string, MonotonicTime> aware_since;
    std::deque<Arrival> arrivals;
  };

  /// @return what the engine has said that it takes in the window that ends now, with each figure
  /// in force a moment longer than it was named where the next one is lower.
  static double allowance_in_window(const Engine& engine, MonotonicTime now) {
    constexpr Duration kStep = std::chrono::milliseconds(10);
    double sum = 0;
    for (MonotonicTime at = now - kWindow; at < now; at += kStep) {
      sum += limit_at(engine, at) * to_seconds(kStep);
    }
    return sum;
  }

  /// @return the highest figure in force at a moment or shortly before it.
  static double limit_at(const Engine& engine, MonotonicTime at) {
    double highest = 0;
    for (std::size_t i = 0; i < engine.limits.size(); ++i) {
      const LimitEntry& limit = engine.limits[i];
      const bool last = i + 1 == engine.limits.size();
      const bool over = !last && engine.limits[i + 1].from + kInFlightTime <= at;
      const bool begun = limit.from <= at || i == 0;
      if (!over && begun) highest = std::max(highest, limit.per_second);
    }
    return highest;
  }

  std::map<std::string, Engine> engines;
  std::set<std::string> unaware;
  double peak_utilization = 0;
};

}  // namespace shuntbank::testing
