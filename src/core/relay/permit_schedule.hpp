/// @file
/// Spaces the sends of all nodes to one engine at the rate that it takes.
#pragma once

#include <optional>

#include "common/time.hpp"

namespace shuntbank::relay {

/// An engine that is sent nothing cannot say that it takes more again: where it names nothing, or
/// next to nothing, it is sent one request in ten seconds.
constexpr double kMinPermitRate = 0.1;  // a second

/// Sends that may leave at once after a pause. Of the slack of five a window, what is left covers a
/// change of the keeper.
constexpr double kPermitBurst = 2;

/// The schedule of one engine's permits, a leaky bucket by the time at which the next one is due.
/// In a span T it gives at most `T * rate + kPermitBurst`.
class PermitSchedule {
 public:
  /// Asks for one send, which may wait for its time. @return when it may leave, unless that is
  /// after `latest`.
  std::optional<MonotonicTime> take(MonotonicTime earliest, double per_second,
                                    MonotonicTime latest);

  /// @return when the next send may leave.
  MonotonicTime next(MonotonicTime now, double per_second) const;

  /// The engine takes more than before: what was given ahead of time takes that much less long.
  void raise_rate(MonotonicTime now, double from_per_second, double to_per_second);

  /// Begins anew without a burst: what was given before, by another keeper or at a higher rate,
  /// does not add up with what comes.
  void reset(MonotonicTime now, double per_second);

 private:
  MonotonicTime next_due{};  ///< Of the next permit, at a rate without bursts.
};

}  // namespace shuntbank::relay
