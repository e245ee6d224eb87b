/// @file
/// Paces requests that are subject to a rate limit which applies to all nodes together.
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

/// A rate limit, in requests or tokens.
struct PermitRate {
  double per_second = 0;
  double burst = kPermitBurst;  ///< Granted at once after a pause, in the same unit.

  bool operator==(const PermitRate&) const = default;
};

/// Permit schedule of one rate limit: a leaky bucket that stores when the next permit is due
/// (GCRA). Grants at most `T * per_second + burst` in any interval T, plus the cost of one request
/// less 1.
class PermitSchedule {
 public:
  /// Reserves the next permit. @return when the request may be sent, or nothing if that is after
  /// `latest`.
  /// @param cost in units of the rate. It delays the permits that follow, so that expensive
  /// requests are granted as readily as cheap ones.
  std::optional<MonotonicTime> take(MonotonicTime earliest, const PermitRate& rate,
                                    MonotonicTime latest, double cost = 1);

  /// @return when the next request may be sent.
  MonotonicTime next(MonotonicTime now, const PermitRate& rate) const;

  /// Changes the rate: permits already reserved ahead of `now` take up proportionally more or less
  /// time.
  void change_rate(MonotonicTime now, const PermitRate& from, const PermitRate& to);

  /// Adjusts the schedule for a cost that was incurred without a permit, or, if negative, for a
  /// permit that was not used.
  void charge(MonotonicTime now, const PermitRate& rate, double cost);

  /// Restarts without a burst, so that earlier permits, of another owner or at a higher rate, do
  /// not add to new ones.
  void reset(MonotonicTime now, const PermitRate& rate);

 private:
  MonotonicTime next_due{};  ///< When the next permit is due without a burst.
};

}  // namespace shuntbank::relay
