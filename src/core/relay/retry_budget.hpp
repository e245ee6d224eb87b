/// @file
/// Retry budget of a service: bounds the extra dispatches of all nodes without coordination.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// The fleet-wide bound: in any window, `ratio` times the requests of that window or of the one
/// before it, whichever is more, plus `slack`.
struct RetryBudgetSettings {
  double ratio = 0.2;  ///< Extra dispatches per request.
  Duration window = std::chrono::seconds(10);
  double slack = 0;  ///< Extra dispatches per window, of all nodes together.
};

/// A dispatch is charged for a window plus one part in this many, as it reaches the engine later
/// than the node counts it: up to 1 s of a window of 10 s if the node's link is saturated.
constexpr std::int64_t kArrivalMarginDivisor = 10;

/// @return how long an extra dispatch is charged.
inline Duration charge_duration(const RetryBudgetSettings& settings) {
  return settings.window + settings.window / kArrivalMarginDivisor;
}

/// One node's share of `RetryBudgetSettings::slack`, the fixed allowance of extra dispatches per
/// window on top of the ratio.
struct SlackShare {
  double dispatches = 0;       ///< Extra dispatches in any window.
  MonotonicTime valid_from{};  ///< Zero before this time.

  bool operator==(const SlackShare&) const = default;
};

/// One node's share of the budget of one service. In each window it spends at most the ratio times
/// half of its own requests in that window and the one before it, plus its share of the slack.
///
/// The mean of two windows adds up over nodes: together they stay within the mean of the fleet,
/// which is at most its larger window. The larger window of each node does not add up, as nodes
/// peak at different times, and would let the fleet exceed the bound: with 66 nodes by 12% while
/// their load varied by a factor of three. The mean halves what a node can spend at the start of a
/// burst, which had no measurable cost for callers.
class RetryBudget {
 public:
  RetryBudget(const RetryBudgetSettings& settings, const SlackShare& share)
      : settings_(settings), share_(share) {}

  void set_slack_share(const SlackShare& share) { share_ = share; }

  /// Counts a caller's request for the service.
  void on_request(MonotonicTime now) { ++slot_at(now).requests; }

  /// Charges one extra dispatch if the budget allows it. @return whether it does.
  bool try_spend(MonotonicTime now);

  /// Charges an extra dispatch that the caller has checked against `available`.
  void charge(MonotonicTime now) { ++slot_at(now).spent; }

  /// Takes back the charge of a dispatch that reached no engine.
  void refund(MonotonicTime now, MonotonicTime charged_at);

  /// @return extra dispatches available now; may be negative.
  double available(MonotonicTime now);

 private:
  /// Counts are kept per time slot; the slot length bounds the rounding, which is conservative. 50
  /// slots round a window by 2% and take about 1 KB.
  static constexpr std::int64_t kSlotsPerWindow = 50;
  static constexpr std::int64_t kChargeSlots =
      kSlotsPerWindow + kSlotsPerWindow / kArrivalMarginDivisor;

  struct Slot {
    std::uint32_t requests = 0;
    std::uint32_t spent = 0;
  };

  std::int64_t slot_number(MonotonicTime at) const;
  Slot& slot_at(MonotonicTime now);
  const Slot& slot_before(std::int64_t slots) const;

  RetryBudgetSettings settings_;
  SlackShare share_;
  std::array<Slot, kChargeSlots + kSlotsPerWindow> slots_{};  ///< Ring buffer by slot number.
  std::int64_t newest_slot_ = 0;                              ///< Number of the newest slot.
};

/// The retry budgets of one node, one per service. All use the same slack share, as the bound holds
/// for each service separately.
class RetryBudgets {
 public:
  explicit RetryBudgets(const RetryBudgetSettings& settings) : settings_(settings) {}

  void set_slack_share(const SlackShare& share);

  /// @return the budget of a service, owned by this object.
  RetryBudget& of(const ServiceName& service);

 private:
  RetryBudgetSettings settings_;
  SlackShare share_;
  std::unordered_map<ServiceName, RetryBudget> budgets_;
};

}  // namespace shuntbank::relay
