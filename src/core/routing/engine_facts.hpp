/// @file
/// What controllers say of engines, spread between nodes like a rumour: each fact is sent a bounded
/// number of times by each node that learns it.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/routing/engine_table.hpp"

namespace shuntbank {

/// The newest fact of each engine.
class EngineFacts {
 public:
  /// Takes over facts that are newer.
  /// @param members size of the cluster, which decides how often each fact is sent on.
  /// @return the facts that were new.
  std::vector<EngineFact> merge(const std::vector<EngineFact>& facts, std::size_t members);

  /// @return facts to carry on the next message, those sent least first; counts them as sent.
  std::vector<EngineFact> facts_to_send(std::size_t max_count);

  /// @return all facts.
  std::vector<EngineFact> all() const;

  /// @return a digest that is equal where the same facts are known.
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
