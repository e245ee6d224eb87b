#include "relay/stream_progress.hpp"

#include <algorithm>
#include <utility>

namespace shuntbank::relay {

bool StreamProgress::in_order(const RawEvent& event) const {
  return !event.id || !this->last_id || *event.id > *this->last_id;
}

std::optional<Duration> StreamProgress::on_forwarded(MonotonicTime now, const RawEvent& event) {
  if (event.id) {
    this->last_id = event.id;
    this->last_id_string = std::string(event.id_text);
  }
  const MonotonicTime previous_at = std::exchange(this->last_at, now);
  if (++this->count == 1) {
    this->first_at = now;
    return std::nullopt;
  }
  const Duration gap = now - previous_at;
  this->max_gap = std::max(this->max_gap, gap);
  return gap;
}

Duration StreamProgress::first_event_delay(MonotonicTime since) const {
  return this->count > 0 ? this->first_at - since : Duration::zero();
}

std::optional<Duration> StreamProgress::mean_gap() const {
  if (this->count < 2) return std::nullopt;
  return (this->last_at - this->first_at) / static_cast<int>(this->count - 1);
}

}  // namespace shuntbank::relay
