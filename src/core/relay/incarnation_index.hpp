/// @file
/// The latest incarnation of each engine by name, so that late updates do not restore an earlier
/// one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "common/identifiers.hpp"

namespace shuntbank::relay {

/// One start of an engine.
struct EngineIncarnation {
  EngineId id;
  std::uint64_t started_unix_ms = 0;

  bool operator==(const EngineIncarnation&) const = default;
};

/// Remembers the present engines, and of the absent ones at least as many as were ever present.
class IncarnationIndex {
 public:
  /// @return the latest incarnation of the name, or null.
  const EngineIncarnation* find(const std::string& name) const;

  /// Sets the latest incarnation of an engine that is present.
  void set(const std::string& name, const EngineIncarnation& incarnation);

  /// The engine's latest incarnation is no longer present.
  void on_removed(const std::string& name);

  /// @return the number of removals that wait for eviction.
  std::size_t removal_count() const { return this->removals.size(); }

 private:
  struct Entry {
    EngineIncarnation latest;
    std::uint64_t removal = 0;  ///< 0: present.
  };
  struct Removal {
    std::string name;
    std::uint64_t number = 0;
  };
  void evict_oldest_removals();

  std::unordered_map<std::string, Entry> entries;
  std::deque<Removal> removals;  ///< Oldest first. Those of engines that came back are stale.
  std::uint64_t last_removal = 0;
  std::size_t present_count = 0;
  std::size_t max_present_count = 0;
};

}  // namespace shuntbank::relay
