/// @file
/// Engine facts published by controllers and spread between nodes by gossip: each node sends each
/// fact a bounded number of times.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/routing/engine_table.hpp"

namespace shuntbank {

/// The newest fact of each engine.
class EngineFacts {
 public:
  /// Replaces known facts by newer ones.
  /// @param members size of the cluster, which determines how often each fact is forwarded.
  /// @return the facts that were new or newer.
  std::vector<EngineFact> merge(const std::vector<EngineFact>& facts, std::size_t members);

  /// @return facts for the next message, those sent least often first; counts them as sent.
  std::vector<EngineFact> facts_to_send(std::size_t max_count);

  std::vector<EngineFact> all() const;

  /// @return a digest that is equal on nodes with the same facts.
  std::uint64_t digest() const { return digest_; }

 private:
  struct Entry {
    EngineFact fact;
    int sends_left = 0;
  };

  std::map<EngineId, Entry> facts_;
  std::uint64_t digest_ = 0;
};

}  // namespace shuntbank
