#include "relay/intake_gate.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

/// Of the limit, also while only kept connections bring requests.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

/// What the link sends in this time is always under way.
constexpr Duration kFloorTime = std::chrono::milliseconds(150);

constexpr double kBytesPerMegabit = 125000;

/// Assumed to be sent for a request until the first one has come.
constexpr double kInitialRequestBytes = 16384;

}  // namespace

IntakeGate::IntakeGate(Runtime& own_runtime, Http1Server& own_callers,
                       const PooledHttpClient& own_http, RelayMetrics& own_metrics,
                       const IntakeGateSettings& own_settings)
    : runtime(own_runtime),
      callers(own_callers),
      http(own_http),
      metrics(own_metrics),
      settings(own_settings),
      load(own_settings.link_megabits_per_second * kBytesPerMegabit),
      limit(own_settings.limit),
      ticker(own_runtime, kTickInterval, [this] { this->tick(); }) {}

/// @return requests under way, those of connections that have just come included.
std::size_t IntakeGate::pending_requests() const {
  const Http1ServerStats& stats = this->callers.stats();
  return stats.pending_requests + stats.unread_connections;
}

std::uint64_t IntakeGate::bytes_sent() const {
  return this->callers.stats().bytes_sent + this->http.stats().bytes_sent;
}

/// @return the mean of what is sent for a request, to engines and to its caller.
double IntakeGate::bytes_per_request() const {
  const std::uint64_t requests = this->callers.stats().requests;
  if (requests == 0) return kInitialRequestBytes;
  return static_cast<double>(this->bytes_sent()) / static_cast<double>(requests);
}

/// @return requests that the link carries within a short time. Connections are delayed by what
/// comes in as well, which taking in fewer requests does not end.
double IntakeGate::floor() const {
  const double bytes = this->settings.link_megabits_per_second * kBytesPerMegabit;
  return bytes * to_seconds(kFloorTime) / std::max(1.0, this->bytes_per_request());
}

/// @return how long a packet waits for the link, by the bytes that were sent and are about to be,
/// and by the connections that were made.
std::optional<Duration> IntakeGate::delay() {
  const Http1ServerStats& stats = this->callers.stats();
  this->load.update(this->runtime.now(), this->bytes_sent());
  const Duration queued =
      this->load.delay(static_cast<double>(stats.unread_connections) * this->bytes_per_request());
  const auto connecting = this->http.connect_delay();
  if (queued > this->settings.limit.max_delay) return std::max(queued, connecting.value_or(queued));
  return connecting;
}

void IntakeGate::tick() {
  const std::size_t pending = this->pending_requests();
  this->limit.update(pending, this->delay(), this->floor());
  this->set_open(this->limit.has_room(pending));
}

void IntakeGate::set_open(bool now_open) {
  if (now_open == this->open) return;
  this->open = now_open;
  this->callers.set_shedding(!now_open);
  log_event(LogArea::kCallers, LogLevel::kInfo, now_open ? "intake_open" : "intake_closed",
            {{"delay_ms", whole_ms(this->delay().value_or(Duration::zero()))},
             {"limit", this->limit.value().value_or(0)},
             {"pending", this->pending_requests()},
             {"connections", this->callers.stats().open_connections},
             {"closed_unread", std::exchange(this->closed_connections, 0)}});
}

bool IntakeGate::admit() {
  const MonotonicTime now = this->runtime.now();
  const std::size_t pending = this->pending_requests();
  const auto delay = this->delay();
  if (delay && *delay > this->settings.limit.max_delay && !this->limit.value()) {
    this->limit.update(pending, delay, this->floor());
  }
  this->set_open(this->limit.has_room(pending));
  const bool overdue = now - this->admitted_at >= this->settings.max_closed_time;
  if (!this->open && !overdue) {
    ++this->closed_connections;
    this->metrics.count_connection_closed_unread();
    return false;
  }
  this->admitted_at = now;
  return true;
}

}  // namespace shuntbank::relay
