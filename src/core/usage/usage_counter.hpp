/// @file
/// What one node counts: which tenants' requests have begun to run, and when.
#pragma once

#include <deque>
#include <functional>

#include "core/usage/usage_window.hpp"

namespace shuntbank::usage {

/// Counts one node's requests. Beginnings are kept by the monotonic clock and put into windows only
/// when asked: a node that learns late what true time is corrects what it has counted.
class UsageCounter {
 public:
  /// @param retention_time how long a beginning is remembered.
  explicit UsageCounter(Duration retention_time) : retention(retention_time) {}

  /// A request of the tenant has begun to run.
  void on_request_started(MonotonicTime now, const TenantName& tenant);

  /// @param true_time turns a point of the monotonic clock into true time.
  /// @return what has begun in the window.
  TenantCounts counts(const WindowClock& window_clock, WindowNumber window,
                      const std::function<UnixMs(MonotonicTime)>& true_time) const;

  /// Forgets what is older than it need be.
  void expire(MonotonicTime now);

  /// @return beginnings that could not be remembered, since there were too many.
  std::uint64_t dropped_requests() const { return this->dropped; }

 private:
  struct StartedRequest {
    MonotonicTime at;
    TenantName tenant;
  };

  Duration retention;
  std::deque<StartedRequest> started;  ///< In order.
  std::uint64_t dropped = 0;
};

}  // namespace shuntbank::usage
