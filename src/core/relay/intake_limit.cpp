#include "core/relay/intake_limit.hpp"

#include <algorithm>

namespace shuntbank::relay {
namespace {

/// A limit that is used by less does not bind.
constexpr double kUsedShare = 0.5;

/// A limit this many times the requests under way is dropped.
constexpr double kUnneededFactor = 16;

}  // namespace

void IntakeLimit::update(std::size_t pending, std::optional<Duration> delay, double floor) {
  if (!delay) return;
  const auto used = static_cast<double>(pending);
  if (*delay > this->settings.max_delay) {
    const double base = this->limit ? std::min(*this->limit, std::max(used, 1.0)) : used;
    this->limit = std::max({floor, this->settings.min_limit, base * this->settings.decrease});
    return;
  }
  if (!this->limit) return;
  if (used >= *this->limit * kUsedShare) *this->limit += *this->limit * this->settings.increase;
  if (*this->limit > kUnneededFactor * std::max(used, this->settings.min_limit)) {
    this->limit.reset();
  }
}

}  // namespace shuntbank::relay
