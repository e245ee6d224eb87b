#include "core/capacity/needed_engines.hpp"

#include <algorithm>
#include <cmath>

namespace shuntbank::capacity {
namespace {

/// After a longer gap between updates demand was not known, and the release delay starts anew.
constexpr Duration kMaxGap = std::chrono::seconds(3);

}  // namespace

void NeededEngines::reset(MonotonicTime now, std::uint32_t first_sizing, std::uint32_t count) {
  this->sizing = first_sizing;
  this->needed = count;
  this->observed_since = now;
  this->released_at = now;
  this->last_update = now;
  this->highest.clear();
}

std::uint32_t NeededEngines::bounded(double engines) const {
  const double low = std::ceil(this->settings.min_share * this->sizing);
  const double high = std::max(low, std::floor(this->settings.max_share * this->sizing));
  return static_cast<std::uint32_t>(std::clamp(std::ceil(engines), low, high));
}

bool NeededEngines::update(MonotonicTime now, double work) {
  if (!this->settings.by_demand || this->sizing == 0) return false;
  if (now - this->last_update > kMaxGap) {
    this->highest.clear();
    this->observed_since = now;
  }
  this->last_update = now;
  const double engines = work / this->settings.target_load;
  while (!this->highest.empty() && this->highest.back().wanted <= engines) {
    this->highest.pop_back();
  }
  this->highest.push_back({now, engines});
  while (now - this->highest.front().at > this->settings.release_delay) this->highest.pop_front();
  if (this->bounded(engines) > this->needed) {
    this->needed = this->bounded(engines * (1 + this->settings.raise_margin));
    return true;
  }
  if (now - this->observed_since < this->settings.release_delay) return false;
  if (now - this->released_at < this->settings.release_interval) return false;
  const std::uint32_t enough =
      this->bounded(this->highest.front().wanted * (1 + this->settings.raise_margin));
  const auto lowest =
      static_cast<std::uint32_t>(std::ceil(this->needed * (1 - this->settings.max_release_share)));
  const std::uint32_t next = std::max(enough, lowest);
  if (next >= this->needed) return false;
  this->needed = next;
  this->released_at = now;
  return true;
}

}  // namespace shuntbank::capacity
