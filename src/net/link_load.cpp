#include "net/link_load.hpp"

#include <algorithm>

namespace shuntbank {

void LinkLoad::update(MonotonicTime now, std::uint64_t total) {
  const double sent = static_cast<double>(total - this->last_total);
  const double drained = this->bytes_per_second * to_seconds(now - this->updated_at);
  this->queued = std::max(0.0, this->queued + sent - drained);
  this->last_total = total;
  this->updated_at = now;
}

Duration LinkLoad::delay(double more) const {
  if (this->bytes_per_second <= 0) return Duration::zero();
  return from_seconds((this->queued + more) / this->bytes_per_second);
}

}  // namespace shuntbank
