#include "core/relay/incarnation_index.hpp"

#include <algorithm>
#include <utility>

namespace shuntbank::relay {
namespace {

/// Removals remembered in a small fleet.
constexpr std::size_t kMinRemovals = 1024;

}  // namespace

const EngineIncarnation* IncarnationIndex::find(const std::string& name) const {
  const auto found = this->entries.find(name);
  return found == this->entries.end() ? nullptr : &found->second.latest;
}

void IncarnationIndex::set(const std::string& name, const EngineIncarnation& incarnation) {
  const auto [entry, added] = this->entries.try_emplace(name);
  if (added || entry->second.removal != 0) ++this->present_count;
  this->max_present_count = std::max(this->max_present_count, this->present_count);
  entry->second = {incarnation, 0};
}

void IncarnationIndex::on_removed(const std::string& name) {
  const auto found = this->entries.find(name);
  if (found == this->entries.end() || found->second.removal != 0) return;
  --this->present_count;
  found->second.removal = ++this->last_removal;
  this->removals.push_back({name, this->last_removal});
  this->evict_oldest_removals();
}

/// Evicts one removal for each new one, so that the cost of a removal does not grow with the fleet.
void IncarnationIndex::evict_oldest_removals() {
  const std::size_t max_removals = std::max(kMinRemovals, this->max_present_count);
  while (this->removals.size() > max_removals) {
    const Removal oldest = std::move(this->removals.front());
    this->removals.pop_front();
    const auto entry = this->entries.find(oldest.name);
    if (entry != this->entries.end() && entry->second.removal == oldest.number) {
      this->entries.erase(entry);
    }
  }
}

}  // namespace shuntbank::relay
