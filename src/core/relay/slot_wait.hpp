/// @file
/// Expected wait for a slot at a decode engine by its known requests relative to its slots.
#pragma once

#include <array>
#include <cstddef>

namespace shuntbank::relay {

/// Known requests at an engine, without the one that is sent.
struct Occupancy {
  double known_requests = 0;
  double slots = 1;

  double fill() const { return this->known_requests / (this->slots < 1 ? 1 : this->slots); }
};

/// Learned from handovers, in classes of occupancy. The wait begins before the known requests reach
/// the slots: the load view is some hundred milliseconds old, and other nodes send meanwhile.
class SlotWaitModel {
 public:
  /// @return milliseconds; does not decrease with the occupancy.
  double wait_ms(const Occupancy& at) const;

  /// @return whether a request is not expected to wait, so that its handover shows the time
  /// without waiting.
  static bool unoccupied(const Occupancy& at);

  /// Learns from a request that was sent at this occupancy.
  /// @param waited_ms beyond the handover without waiting; may be negative, as that is a mean.
  void observe(const Occupancy& at, double waited_ms);

  /// Learns for how long a request holds its slot.
  void on_slot_released(double held_ms);

 private:
  static constexpr std::size_t kClasses = 8;
  using Means = std::array<double, kClasses>;

  struct Observations {
    double weight = 0;
    double sum_ms = 0;
  };

  static std::size_t nearest_class(double fill);
  double beyond_classes_ms(double fill) const;
  void smooth();

  static const Means kFills;      ///< Requests over slots, ascending.
  static const Means kDefaultMs;  ///< Waits until there are observations.

  std::array<Observations, kClasses> observed{};
  Means means_ms = kDefaultMs;  ///< Do not decrease.
  double slot_held_ms = 0;      ///< Moving average; 0: unknown.
};

}  // namespace shuntbank::relay
