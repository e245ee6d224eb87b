#include "core/relay/engine_list.hpp"

#include <algorithm>
#include <utility>

namespace shuntbank::relay {
namespace {

/// Changes kept beyond one for each engine. A longer log is of no use, as the whole list is
/// shorter.
constexpr std::size_t kMinLoggedChanges = 1024;

}  // namespace

void EngineList::replace(const std::vector<ListedEngine>& all, std::uint64_t revision) {
  const bool first = this->complete_revision == 0;
  auto previous = std::exchange(this->engines, {});
  for (const ListedEngine& engine : all) {
    this->engines[engine.name] = engine.record;
    const auto known = previous.find(engine.name);
    if (known == previous.end() || known->second != engine.record)
      this->pending.insert(engine.name);
    if (known != previous.end()) previous.erase(known);
  }
  for (const auto& [name, record] : previous) this->pending.insert(name);
  if (first) {
    this->pending.clear();
    this->log_start = revision;
  }
  this->advance(revision);
}

void EngineList::set(ListedEngine engine) {
  this->pending.insert(engine.name);
  this->engines[engine.name] = std::move(engine.record);
}

void EngineList::remove(const std::string& name) {
  this->pending.insert(name);
  this->engines.erase(name);
}

bool EngineList::advance(std::uint64_t revision) {
  if (revision < this->complete_revision) return false;
  this->complete_revision = revision;
  bool removed = false;
  for (const std::string& name : this->pending) {
    removed = removed || this->engines.count(name) == 0;
    this->log.push_back({revision, name});
  }
  this->pending.clear();
  this->trim_log();
  return removed;
}

void EngineList::trim_log() {
  const std::size_t max_changes = this->engines.size() + kMinLoggedChanges;
  while (this->log.size() > max_changes) {
    this->log_start = this->log.front().revision;
    this->log.pop_front();
  }
}

bool EngineList::apply(const EngineListUpdate& update) {
  if (update.revision <= this->complete_revision) return false;
  if (update.complete) {
    this->replace(update.changed, update.revision);
    return true;
  }
  for (const ListedEngine& engine : update.changed) this->set(engine);
  for (const std::string& name : update.removed) this->remove(name);
  this->advance(update.revision);
  return true;
}

std::optional<EngineListUpdate> EngineList::update_since(std::uint64_t revision) const {
  if (revision >= this->complete_revision) return std::nullopt;
  EngineListUpdate update;
  update.revision = this->complete_revision;
  update.complete = revision < this->log_start;
  if (update.complete) {
    for (const auto& [name, record] : this->engines) update.changed.push_back({name, record});
    return update;
  }
  // The changes of a batch that is being applied have no revision yet.
  if (!this->pending.empty()) return std::nullopt;
  const auto first = std::upper_bound(
      this->log.begin(), this->log.end(), revision,
      [](std::uint64_t known, const Change& change) { return known < change.revision; });
  std::set<std::string> names;
  for (auto it = first; it != this->log.end(); ++it) names.insert(it->name);
  for (const std::string& name : names) {
    const auto found = this->engines.find(name);
    if (found == this->engines.end()) {
      update.removed.push_back(name);
    } else {
      update.changed.push_back({name, found->second});
    }
  }
  return update;
}

}  // namespace shuntbank::relay
