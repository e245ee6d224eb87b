#include "core/relay/link_model.hpp"

#include <algorithm>

namespace shuntbank::relay {
namespace {

constexpr double kBitsAByte = 8;
constexpr double kBitsAMillisecondOfAMegabit = 1000;
constexpr double kMillisecondsASecond = 1000;

}  // namespace

double LinkModel::send_ms(std::size_t bytes) const {
  if (this->width <= 0) return 0;
  return static_cast<double>(bytes) * kBitsAByte / (this->width * kBitsAMillisecondOfAMegabit);
}

double LinkModel::wait_ms(MonotonicTime now) const {
  const double passed = to_seconds(now - this->counted_at) * kMillisecondsASecond;
  return std::max(0.0, this->waiting_ms - passed);
}

void LinkModel::on_sent(MonotonicTime now, std::size_t bytes) {
  this->waiting_ms = this->wait_ms(now) + this->send_ms(bytes);
  this->counted_at = now;
}

}  // namespace shuntbank::relay
