#include "core/usage/true_time.hpp"

#include <algorithm>
#include <cstdlib>

namespace shuntbank::usage {
namespace {

UnixMs monotonic_ms(MonotonicTime now) {
  return whole_ms(now.time_since_epoch());
}

}  // namespace

TrueTime::TrueTime(const TrueTimeSettings& own_settings, MonotonicTime now, UnixMs time_of_day)
    : settings(own_settings), offset_ms(time_of_day - monotonic_ms(now)) {}

UnixMs TrueTime::update(MonotonicTime now, UnixMs time_of_day) {
  const UnixMs deviation = time_of_day - this->local_time(now);
  const UnixMs change = deviation - this->jump_ms;
  if (std::abs(change) < this->settings.max_slew_ms) {
    this->offset_ms += change;
    const bool accepted = this->jump_at && now - *this->jump_at >= this->settings.jump_accept_delay;
    if (!accepted) return 0;
    this->offset_ms += this->jump_ms;
    this->jump_ms = 0;
    this->jump_at.reset();
    return 0;
  }
  this->jump_ms = deviation;
  this->jump_at.reset();
  if (std::abs(deviation) < this->settings.max_slew_ms) {
    this->offset_ms += deviation;
    this->jump_ms = 0;
  } else {
    this->jump_at = now;
  }
  return change;
}

UnixMs TrueTime::local_time(MonotonicTime now) const {
  return monotonic_ms(now) + this->offset_ms;
}

void TrueTime::on_peer_clock(MonotonicTime now, const NodeId& node, UnixMs clock) {
  this->peer_clocks[node] = {clock - this->local_time(now), now};
}

std::optional<UnixMs> TrueTime::apply_median(MonotonicTime now) {
  std::erase_if(this->peer_clocks, [&](const auto& entry) {
    return now - entry.second.received_at > this->settings.clock_timeout;
  });
  std::vector<UnixMs> leads{0};  // This node's own.
  for (const auto& [node, peer] : this->peer_clocks) leads.push_back(peer.lead_ms);
  if (leads.size() < this->settings.min_clocks) return std::nullopt;
  const auto middle = leads.begin() + static_cast<std::ptrdiff_t>(leads.size() / 2);
  std::nth_element(leads.begin(), middle, leads.end());
  this->correction_ms = *middle;
  return this->corrected_time(now);
}

}  // namespace shuntbank::usage
