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

UnixMs TrueTime::look(MonotonicTime now, UnixMs time_of_day) {
  const UnixMs away = time_of_day - this->own(now);
  const UnixMs moved = away - this->step_ms;
  if (std::abs(moved) < this->settings.most_slewed_ms) {
    this->offset_ms += moved;
    const bool trusted =
        this->stepped_at && now - *this->stepped_at >= this->settings.step_trusted_after;
    if (!trusted) return 0;
    this->offset_ms += this->step_ms;
    this->step_ms = 0;
    this->stepped_at.reset();
    return 0;
  }
  this->step_ms = away;
  this->stepped_at.reset();
  if (std::abs(away) < this->settings.most_slewed_ms) {
    this->offset_ms += away;
    this->step_ms = 0;
  } else {
    this->stepped_at = now;
  }
  return moved;
}

UnixMs TrueTime::own(MonotonicTime now) const {
  return monotonic_ms(now) + this->offset_ms;
}

void TrueTime::on_clock(MonotonicTime now, const NodeId& node, UnixMs clock) {
  this->clocks[node] = {clock - this->own(now), now};
}

std::optional<UnixMs> TrueTime::take_median(MonotonicTime now) {
  std::erase_if(this->clocks, [&](const auto& entry) {
    return now - entry.second.at > this->settings.clock_life;
  });
  std::vector<UnixMs> ahead{0};  // This node's own.
  for (const auto& [node, heard] : this->clocks) ahead.push_back(heard.ahead_ms);
  if (ahead.size() < this->settings.least_clocks) return std::nullopt;
  const auto middle = ahead.begin() + static_cast<std::ptrdiff_t>(ahead.size() / 2);
  std::nth_element(ahead.begin(), middle, ahead.end());
  this->correction_ms = *middle;
  return this->agreed(now);
}

}  // namespace shuntbank::usage
