/// @file
/// Paces the requests of all nodes to one engine at the rate limit that it announced.
#pragma once

#include <optional>

#include "common/time.hpp"

namespace shuntbank::relay {

/// An engine raises its limit in an answer, so that an engine with a limit of zero still gets one
/// request in ten seconds.
constexpr double kMinPermitRate = 0.1;  // permits per second

/// Sends allowed at once after a pause. The rest of the allowed excess of five per window covers a
/// change of owner.
constexpr double kPermitBurst = 2;

/// Permit schedule of one engine: a leaky bucket that stores when the next permit is due (GCRA).
/// Grants at most `T * rate + kPermitBurst` permits in any interval T.
class PermitSchedule {
 public:
  /// Reserves the next permit. @return when the request may be sent, or nothing if that is after
  /// `latest`.
  std::optional<MonotonicTime> take(MonotonicTime earliest, double per_second,
                                    MonotonicTime latest);

  /// @return when the next request may be sent.
  MonotonicTime next(MonotonicTime now, double per_second) const;

  /// Raises the rate: permits already reserved ahead of `now` take up proportionally less time.
  void raise_rate(MonotonicTime now, double from_per_second, double to_per_second);

  /// Restarts without a burst, so that earlier permits, of another owner or at a higher rate, do
  /// not add to new ones.
  void reset(MonotonicTime now, double per_second);

 private:
  MonotonicTime next_due{};  ///< When the next permit is due without a burst.
};

}  // namespace shuntbank::relay
