/// @file
/// The bound on extra dispatches of a service, shared by all nodes without talking.
#pragma once

#include <cstdint>
#include <deque>

#include "common/time.hpp"

namespace shuntbank::relay {

/// The bound that holds for all nodes together.
struct RetryBudgetSettings {
  double ratio = 0.2;  ///< Extra dispatches a request.
  Duration window = std::chrono::seconds(10);
  double slack = 0;          ///< Extra dispatches a window, of all nodes together.
  double assumed_nodes = 8;  ///< How many nodes may share the slack.
};

/// One node's share of the budget of one service: the ratio times its own requests of the sliding
/// window, and its part of the slack. Whatever the other nodes do, the sum over `assumed_nodes`
/// nodes that keep to their shares keeps the bound.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings) : settings_(settings) {}

  /// @param nodes how many nodes may share the slack.
  void set_nodes(double nodes) { settings_.assumed_nodes = nodes; }

  /// A request of a caller came for the service.
  void on_request(MonotonicTime now);

  /// Asks for one extra dispatch. @return whether it may happen; then it is counted.
  bool try_spend(MonotonicTime now);

  /// Counts an extra dispatch that has happened, whether or not the budget had room for it.
  void charge(MonotonicTime now);

  /// A prompt was sent to be read apart: should it be refused, it will be charged. Until that is
  /// known it is set aside, so that many at once do not spend the same budget.
  void set_aside() { ++set_aside_; }
  void give_back() { --set_aside_; }

  /// @return extra dispatches that could be spent now.
  double available(MonotonicTime now);

 private:
  void forget(MonotonicTime now);

  RetryBudgetSettings settings_;
  std::deque<MonotonicTime> requests_;
  std::deque<MonotonicTime> spent_;
  std::uint32_t set_aside_ = 0;
};

}  // namespace shuntbank::relay
