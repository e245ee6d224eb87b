#include "core/relay/part_history.hpp"

namespace shuntbank::relay {

void PartHistory::on_completed(MonotonicTime now, const RequestIdentity& part) {
  const auto found = this->completed_at.find(part);
  if (found != this->completed_at.end()) {
    found->second = now;
  } else if (this->completed_at.size() < this->settings.max_parts) {
    this->completed_at.emplace(part, now);
  }
}

bool PartHistory::completed_lately(MonotonicTime now, const RequestIdentity& part) const {
  const auto found = this->completed_at.find(part);
  return found != this->completed_at.end() && now - found->second <= this->settings.retention;
}

void PartHistory::expire(MonotonicTime now) {
  std::erase_if(this->completed_at,
                [&](const auto& entry) { return now - entry.second > this->settings.retention; });
}

}  // namespace shuntbank::relay
