/// @file
/// The bound on extra dispatches of a service, shared by all nodes without talking.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// The bound that holds for all nodes together: in any window, `ratio` times the requests of that
/// window or of the one before it, whichever has more, and `slack`.
struct RetryBudgetSettings {
  double ratio = 0.2;  ///< Extra dispatches a request.
  Duration window = std::chrono::seconds(10);
  double slack = 0;  ///< Extra dispatches a window, of all nodes together.
};

/// An extra dispatch counts for a window and one part in so many more: it arrives later than the
/// node counts it, by up to a second of ten where the node's link is full.
constexpr std::int64_t kArrivalMarginDivisor = 10;

/// @return how long an extra dispatch counts.
inline Duration charge_duration(const RetryBudgetSettings& settings) {
  return settings.window + settings.window / kArrivalMarginDivisor;
}

/// What one node may spend of the slack.
struct SlackShare {
  double dispatches = 0;       ///< In any window.
  MonotonicTime valid_from{};  ///< Not before.

  bool operator==(const SlackShare&) const = default;
};

/// One node's share of the budget of one service. In each window it spends at most the ratio times
/// half of its own requests in that window and the one before it, and its share of the slack.
///
/// The mean of the two windows is never more than the larger one, and it adds up: what all nodes
/// spend in a window is within the mean of all, whenever each of them spends, joins or ends. The
/// larger of the two does not add up, as each node may reach it at a moment of its own: with shares
/// like that 66 nodes sent 12 in 100 more than the bound allows while their load rose and fell by a
/// factor of three. In a burst a node has half as much at hand as it had then, which costs callers
/// nothing that could be measured.
class RetryBudget {
 public:
  RetryBudget(const RetryBudgetSettings& settings, const SlackShare& share)
      : settings_(settings), share_(share) {}

  void set_slack_share(const SlackShare& share) { share_ = share; }

  /// A request of a caller came for the service.
  void on_request(MonotonicTime now) { ++slot_at(now).requests; }

  /// Asks for one extra dispatch. @return whether it may happen; then it is counted.
  bool try_spend(MonotonicTime now);

  /// Counts an extra dispatch for which the budget was seen to have room.
  void charge(MonotonicTime now) { ++slot_at(now).spent; }

  /// @return extra dispatches that could be spent now.
  double available(MonotonicTime now);

 private:
  /// Counts are kept by slots of time: 50 a window round it by 2 in 100 to the safe side, in 1 KB.
  static constexpr std::int64_t kSlotsPerWindow = 50;
  static constexpr std::int64_t kChargeSlots =
      kSlotsPerWindow + kSlotsPerWindow / kArrivalMarginDivisor;

  struct Slot {
    std::uint32_t requests = 0;
    std::uint32_t spent = 0;
  };

  Slot& slot_at(MonotonicTime now);
  const Slot& slot_before(std::int64_t slots) const;

  RetryBudgetSettings settings_;
  SlackShare share_;
  std::array<Slot, kChargeSlots + kSlotsPerWindow> slots_{};  ///< A ring by number of the slot.
  std::int64_t newest_slot_ = 0;                              ///< Number of the newest slot.
};

/// The budgets of one node, a service each. They share the slack's share, as the bound holds for
/// each service by itself.
class RetryBudgets {
 public:
  explicit RetryBudgets(const RetryBudgetSettings& settings) : settings_(settings) {}

  void set_slack_share(const SlackShare& share);

  /// @return the budget of a service; it lives as long as this.
  RetryBudget& of(const ServiceName& service);

 private:
  RetryBudgetSettings settings_;
  SlackShare share_;
  std::unordered_map<ServiceName, RetryBudget> budgets_;
};

}  // namespace shuntbank::relay
