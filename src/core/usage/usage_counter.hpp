/// @file
/// Per-node record of when requests of each tenant started to run.
#pragma once

#include <deque>
#include <functional>

#include "core/usage/usage_window.hpp"

namespace shuntbank::usage {

/// Counts one node's requests. Starts are recorded by the monotonic clock and assigned to windows
/// only when read, so that a correction of the node's clock also applies to requests that started
/// before it.
class UsageCounter {
 public:
  /// @param retention_time how long a start is retained.
  explicit UsageCounter(Duration retention_time) : retention(retention_time) {}

  /// A request of the tenant started to run.
  void on_request_started(MonotonicTime now, const TenantName& tenant);

  /// @param true_time converts monotonic time to true time.
  /// @return the requests that started in the window.
  TenantCounts counts(const WindowClock& window_clock, WindowNumber window,
                      const std::function<UnixMs(MonotonicTime)>& true_time) const;

  /// Drops starts older than the retention time.
  void expire(MonotonicTime now);

  /// @return the number of starts dropped because there were too many.
  std::uint64_t dropped_requests() const { return this->dropped; }

 private:
  struct StartedRequest {
    MonotonicTime at;
    TenantName tenant;
  };

  Duration retention;
  std::deque<StartedRequest> started;  ///< In order of time.
  std::uint64_t dropped = 0;
};

}  // namespace shuntbank::usage
