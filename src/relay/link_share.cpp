#include "relay/link_share.hpp"

#include <algorithm>

namespace shuntbank::relay {
namespace {

constexpr double kBytesPerMegabit = 125'000;

}  // namespace

bool LinkShare::admit(std::size_t bytes) {
  if (bytes <= this->settings.unlimited_bytes) return true;
  const MonotonicTime now = this->runtime.now();
  if (now < this->next_answer_at) return false;
  const double megabits = std::max(1.0, this->settings.megabits_per_second);
  const double bytes_per_second = this->settings.share * megabits * kBytesPerMegabit;
  this->next_answer_at = now + from_seconds(static_cast<double>(bytes) / bytes_per_second);
  return true;
}

}  // namespace shuntbank::relay
