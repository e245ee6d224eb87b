/// @file
/// Checks the requests that reach engines against the rate limits that the engines have announced
/// for all nodes together.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/time.hpp"
#include "support/notice_checker.hpp"

namespace shuntbank::testing {

/// Tracks announced limits, the nodes that know them, and requests.
class LimitChecker {
 public:
  /// Length of the sliding window.
  static constexpr Duration kWindow = std::chrono::seconds(4);
  /// Time allowed for enforcement to start after the first limit of an engine.
  static constexpr Duration kConvergenceTime = std::chrono::seconds(3);
  /// Allowance for requests in flight when a node receives a limit, or a new one.
  static constexpr Duration kInFlightTime = std::chrono::milliseconds(500);
  static constexpr double kFactor = 1.5;
  static constexpr double kSlack = 5;

  /// Sets the limit of an engine.
  void set_limit(MonotonicTime now, const std::string& incarnation, double per_second) {
    Engine& engine = this->engines[incarnation];
    if (!engine.first_limit_at) engine.first_limit_at = now;
    engine.limits.push_back({now, per_second});
  }

  /// Removes the limit of an engine. A later limit applies to a node only once a response announces
  /// it.
  void clear_limit(const std::string& incarnation) {
    Engine& engine = this->engines[incarnation];
    engine.limits.clear();
    engine.aware_since.clear();
    engine.arrivals.clear();
  }

  /// Marks a node as running a version without support for limits.
  void set_unaware(const std::string& node, bool is_unaware) {
    this->reset_node(node);
    if (is_unaware) {
      this->unaware.insert(node);
    } else {
      this->unaware.erase(node);
    }
  }

  /// A node has forwarded a response that announces a limit.
  void on_limit_received(MonotonicTime now, const NodeAndIncarnation& pair) {
    if (this->unaware.count(pair.node) > 0) return;
    this->engines[pair.incarnation].aware_since.try_emplace(pair.node, now);
  }

  /// A request reaches an engine. @return the violation, or empty text.
  std::string on_request(MonotonicTime now, const NodeAndIncarnation& pair) {
    const auto found = this->engines.find(pair.incarnation);
    if (found == this->engines.end()) return "";
    Engine& engine = found->second;
    if (engine.limits.empty()) return "";
    const auto received = engine.aware_since.find(pair.node);
    if (received == engine.aware_since.end() || now < received->second + kInFlightTime) return "";
    engine.arrivals.push_back({now, pair.node});
    while (engine.arrivals.front().at <= now - kWindow) engine.arrivals.pop_front();
    if (now < *engine.first_limit_at + kConvergenceTime) return "";
    const auto received_count = static_cast<double>(engine.arrivals.size());
    const double allowed = kFactor * allowance_in_window(engine, now) + kSlack;
    this->peak_utilization = std::max(this->peak_utilization, received_count / allowed);
    constexpr double kRounding = 1e-6;
    if (received_count <= allowed + kRounding) return "";
    return pair.incarnation + " got " + std::to_string(received_count) + " in 4 s, allowed " +
           std::to_string(allowed);
  }

  /// The node was restarted, stalled or partitioned, and may not know limits any more.
  void reset_node(const std::string& node) {
    for (auto& [incarnation, engine] : this->engines) {
      engine.aware_since.erase(node);
      std::erase_if(engine.arrivals, [&](const Arrival& arrival) { return arrival.node == node; });
    }
  }

  /// @return the highest ratio of received to allowed requests in any window.
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

  /// @return the number of requests allowed by the limits in the window that ends now.
  static double allowance_in_window(const Engine& engine, MonotonicTime now) {
    constexpr Duration kStep = std::chrono::milliseconds(10);
    double sum = 0;
    for (MonotonicTime at = now - kWindow; at < now; at += kStep) {
      sum += limit_at(engine, at) * to_seconds(kStep);
    }
    return sum;
  }

  /// @return the limit at a time; after a decrease the higher one applies for `kInFlightTime`
  /// longer.
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
