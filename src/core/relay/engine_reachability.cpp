#include "core/relay/engine_reachability.hpp"

#include <algorithm>

namespace shuntbank::relay {

void EngineReachability::on_connect_failed(MonotonicTime now, const EngineId& engine,
                                           bool refused) {
  this->broken[engine] = {refused, now};
  this->connect_failed = true;
}

void EngineReachability::on_answer(MonotonicTime now, const EngineId& engine) {
  this->answered_at = now;
  this->silent = false;
  this->broken.erase(engine);
}

void EngineReachability::on_probed(MonotonicTime now, const EngineId& engine, bool connected) {
  if (connected) {
    this->broken.erase(engine);
    return;
  }
  BrokenPath& path = this->broken[engine];
  path.tried_at = now;
}

bool EngineReachability::check_due(MonotonicTime now) const {
  if (this->checking) return false;
  const bool urgent = this->path_broken() || this->connect_failed;
  if (!urgent && !this->silent) return false;
  const Duration interval =
      urgent ? this->settings.check_interval : this->settings.silence_check_interval;
  return !this->checked_at || now - *this->checked_at >= interval;
}

void EngineReachability::on_check_started(MonotonicTime now) {
  this->checking = true;
  this->checked_at = now;
  this->connect_failed = false;
  this->silent = false;
}

bool EngineReachability::on_check_ended(MonotonicTime now, bool connected) {
  this->checking = false;
  const bool was_broken = this->path_broken();
  if (connected) {
    this->broken_since.reset();
  } else if (!was_broken) {
    this->broken_since = now;
  }
  return was_broken != this->path_broken();
}

std::vector<EngineId> EngineReachability::take_due_probes(MonotonicTime now,
                                                          std::size_t max_count) {
  std::vector<std::pair<MonotonicTime, EngineId>> due;
  for (const auto& [engine, path] : this->broken) {
    if (now - path.tried_at >= this->settings.probe_interval)
      due.emplace_back(path.tried_at, engine);
  }
  std::sort(due.begin(), due.end());
  due.resize(std::min(due.size(), max_count));
  std::vector<EngineId> engines;
  for (const auto& [tried_at, engine] : due) {
    this->broken[engine].tried_at = now;
    engines.push_back(engine);
  }
  return engines;
}

const BrokenPath* EngineReachability::find_broken(const EngineId& engine) const {
  const auto found = this->broken.find(engine);
  return found == this->broken.end() ? nullptr : &found->second;
}

}  // namespace shuntbank::relay
