#include "core/relay/stream_table.hpp"

namespace shuntbank::relay {

void StreamTable::put(MonotonicTime now, StreamKey key, const StreamOrigin& origin) {
  const auto found = this->by_key.find(key);
  if (found != this->by_key.end()) {
    found->second->put_at = now;
    this->entries.splice(this->entries.end(), this->entries, found->second);
    return;
  }
  if (this->by_key.size() >= this->settings.max_streams) this->remove_oldest();
  this->entries.push_back({key, origin, now});
  this->by_key[key] = std::prev(this->entries.end());
}

std::optional<StreamOrigin> StreamTable::find(StreamKey key) const {
  const auto found = this->by_key.find(key);
  if (found == this->by_key.end()) return std::nullopt;
  return found->second->origin;
}

void StreamTable::expire(MonotonicTime now) {
  while (!this->entries.empty() && now - this->entries.front().put_at > this->settings.retention) {
    this->remove_oldest();
  }
}

void StreamTable::remove_oldest() {
  this->by_key.erase(this->entries.front().key);
  this->entries.pop_front();
}

}  // namespace shuntbank::relay
