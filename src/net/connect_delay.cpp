#include "net/connect_delay.hpp"

#include <algorithm>

namespace shuntbank {
namespace {

/// Delays are those of this interval and the one before it.
constexpr Duration kInterval = std::chrono::milliseconds(200);

/// Peers whose shortest times are kept; all are forgotten when there are more.
constexpr std::size_t kMaxPeers = 20000;

}  // namespace

void ConnectDelay::on_connected(MonotonicTime now, const std::string& peer, Duration took) {
  if (this->shortest.size() >= kMaxPeers) this->shortest.clear();
  const auto [known, added] = this->shortest.try_emplace(peer, took);
  if (added) return;
  known->second = std::min(known->second, took);
  if (now - this->interval_began_at >= kInterval) {
    const bool adjacent = now - this->interval_began_at < 2 * kInterval;
    this->previous = adjacent ? this->current : std::nullopt;
    this->current.reset();
    this->interval_began_at = now;
  }
  const Duration delay = took - known->second;
  this->current = std::min(delay, this->current.value_or(delay));
}

std::optional<Duration> ConnectDelay::recent(MonotonicTime now) const {
  if (now - this->interval_began_at >= 2 * kInterval) return std::nullopt;
  if (!this->current || !this->previous) return this->current ? this->current : this->previous;
  return std::min(*this->current, *this->previous);
}

}  // namespace shuntbank
