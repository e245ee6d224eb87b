/// @file
/// The list of engines at a revision of the store, and its differences from earlier ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/relay/engine_directory.hpp"

namespace shuntbank::relay {

/// An engine's entry in the store.
struct ListedEngine {
  std::string name;
  std::optional<EngineRecord> record;  ///< Unset: the entry is unreadable.

  bool operator==(const ListedEngine&) const = default;
};

/// Leads from an earlier state of the list to the one at `revision`.
struct EngineListUpdate {
  std::uint64_t revision = 0;         ///< All changes up to here are included.
  std::uint64_t newest_change = 0;    ///< Revision of the last change of any engine.
  bool complete = false;              ///< Contains all engines; any other is removed.
  std::vector<ListedEngine> changed;  ///< New or changed.
  std::vector<std::string> removed;

  bool operator==(const EngineListUpdate&) const = default;
};

/// The engines in the store as far as one node has read them. Keeps the names of the engines that
/// changed last, so that nodes that are behind get the difference.
class EngineList {
 public:
  /// Replaces the list by the state at `revision`. What differs counts as changed.
  void replace(const std::vector<ListedEngine>& all, std::uint64_t revision);

  /// Adds or updates an entry. In effect for others after the next `advance`.
  void set(ListedEngine engine);

  /// Removes an entry. In effect for others after the next `advance`.
  void remove(const std::string& name);

  /// All changes up to `revision` have been made.
  /// @return whether engines were removed by them.
  bool advance(std::uint64_t revision);

  /// Applies an update made for this list's revision or an earlier one.
  /// @return whether it was newer than the list.
  bool apply(const EngineListUpdate& update);

  /// @return what a node that has the list at `revision` (0: none) lacks; unset if nothing.
  /// `newest_change` is left to the caller.
  std::optional<EngineListUpdate> update_since(std::uint64_t revision) const;

  /// @return the revision up to which the list is complete; 0: no list yet.
  std::uint64_t revision() const { return this->complete_revision; }

  std::size_t size() const { return this->engines.size(); }

 private:
  struct Change {
    std::uint64_t revision;
    std::string name;
  };
  void trim_log();

  std::map<std::string, std::optional<EngineRecord>> engines;
  std::uint64_t complete_revision = 0;
  std::set<std::string> pending;  ///< Names changed since `complete_revision`.
  std::deque<Change> log;         ///< By revision; all changes after `log_start`.
  std::uint64_t log_start = 0;
};

}  // namespace shuntbank::relay
