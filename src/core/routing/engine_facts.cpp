#include "core/routing/engine_facts.hpp"

#include <algorithm>
#include <cmath>

#include "common/hash.hpp"

namespace shuntbank {
namespace {

/// Sends of a fact for each doubling of the cluster size.
constexpr int kSendsPerDoubling = 3;

std::uint64_t digest_of(const EngineFact& fact) {
  const std::uint64_t order_hash = hash64(std::to_string(fact.stamp.fence), fact.version);
  return hash64(fact.engine.value(), order_hash);
}

}  // namespace

std::vector<EngineFact> EngineFacts::merge(const std::vector<EngineFact>& facts,
                                           std::size_t members) {
  const int sends =
      kSendsPerDoubling * static_cast<int>(std::ceil(std::log2(static_cast<double>(members + 1))));
  std::vector<EngineFact> changed;
  for (const EngineFact& fact : facts) {
    const auto [entry, added] = facts_.try_emplace(fact.engine, Entry{fact, sends});
    if (!added && !is_newer(fact, entry->second.fact)) continue;
    if (!added) digest_ ^= digest_of(entry->second.fact);
    digest_ ^= digest_of(fact);
    entry->second = {fact, sends};
    changed.push_back(fact);
  }
  return changed;
}

std::vector<EngineFact> EngineFacts::facts_to_send(std::size_t max_count) {
  std::vector<Entry*> pending;
  for (auto& [engine, entry] : facts_) {
    if (entry.sends_left > 0) pending.push_back(&entry);
  }
  std::sort(pending.begin(), pending.end(),
            [](const Entry* a, const Entry* b) { return a->sends_left > b->sends_left; });
  std::vector<EngineFact> facts;
  for (Entry* entry : pending) {
    if (facts.size() >= max_count) break;
    --entry->sends_left;
    facts.push_back(entry->fact);
  }
  return facts;
}

std::vector<EngineFact> EngineFacts::all() const {
  std::vector<EngineFact> facts;
  for (const auto& [engine, entry] : facts_) facts.push_back(entry.fact);
  return facts;
}

}  // namespace shuntbank
