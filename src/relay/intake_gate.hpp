/// @file
/// Decides whether this node takes in a new connection. One that it closes unread is repeated by
/// its caller at another node; a request that it reads and cannot send in time is lost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "core/relay/intake_limit.hpp"
#include "net/http1_client.hpp"
#include "net/http1_server.hpp"
#include "net/link_load.hpp"
#include "relay/relay_metrics.hpp"

namespace shuntbank::relay {

/// Tunables of the gate.
struct IntakeGateSettings {
  double link_megabits_per_second = 0;  ///< 0: unknown; only the delay of connections counts.
  IntakeLimitSettings limit;
  /// One connection is taken in after this time whatever the load, as a node that takes in none
  /// counts as failed.
  Duration max_closed_time = std::chrono::seconds(1);
};

/// Watches the bytes that the node sends to engines and callers, and how long its connections to
/// engines take. While it is closed, open connections are closed after their next answer.
class IntakeGate {
 public:
  /// All references outlive this.
  IntakeGate(Runtime& own_runtime, Http1Server& own_callers, const PooledHttpClient& own_http,
             RelayMetrics& own_metrics, const IntakeGateSettings& own_settings);

  /// @return whether to take in a connection that has just come.
  bool admit();

 private:
  std::size_t pending_requests() const;
  std::uint64_t bytes_sent() const;
  double bytes_per_request() const;
  double floor() const;
  std::optional<Duration> delay();
  void tick();
  void set_open(bool now_open);

  Runtime& runtime;
  Http1Server& callers;
  const PooledHttpClient& http;
  RelayMetrics& metrics;
  IntakeGateSettings settings;
  LinkLoad load;
  IntakeLimit limit;
  MonotonicTime admitted_at{};
  bool open = true;
  std::uint64_t closed_connections = 0;  ///< Since the gate last opened.
  Periodic ticker;
};

}  // namespace shuntbank::relay
