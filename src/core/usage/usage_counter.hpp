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
  /// @param kept how long a beginning is remembered.
  explicit UsageCounter(Duration kept) : kept_for(kept) {}

  /// A request of the tenant has begun to run.
  void on_began(MonotonicTime now, const TenantName& tenant);

  /// @param true_time turns a point of the monotonic clock into true time.
  /// @return what has begun in the window.
  TenantCounts counts(const WindowClock& windows, WindowNumber window,
                      const std::function<UnixMs(MonotonicTime)>& true_time) const;

  /// Forgets what is older than it need be.
  void expire(MonotonicTime now);

  /// @return beginnings that could not be remembered, since there were too many.
  std::uint64_t left_out() const { return this->dropped; }

 private:
  struct Beginning {
    MonotonicTime at;
    TenantName tenant;
  };

  Duration kept_for;
  std::deque<Beginning> begun;  ///< In order.
  std::uint64_t dropped = 0;
};

}  // namespace shuntbank::usage
