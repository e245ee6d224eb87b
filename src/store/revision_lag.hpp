/// @file
/// How far a node is behind the newest change that it has heard of.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "common/time.hpp"

namespace shuntbank::store {

/// Compares the state that a node has with the revisions that other nodes report.
class RevisionLag {
 public:
  /// Another node has seen a change at `revision`.
  void on_hint(MonotonicTime now, std::uint64_t revision);

  /// This node has all changes up to `revision`.
  void on_reached(std::uint64_t revision);

  /// @return the newest revision that this node has completely; 0: none.
  std::uint64_t reached() const { return this->reached_revision; }

  /// @return the newest revision reported.
  std::uint64_t newest() const { return this->newest_hint; }

  /// @return whether a newer change was reported than this node has.
  bool behind() const { return this->newest_hint > this->reached_revision; }

  /// @return for how long the oldest change that this node lacks has been reported; zero if none.
  Duration behind_for(MonotonicTime now) const;

 private:
  std::uint64_t reached_revision = 0;
  std::uint64_t newest_hint = 0;
  std::map<std::uint64_t, MonotonicTime> hints;  ///< Not reached yet, with the time of the report.
};

}  // namespace shuntbank::store
