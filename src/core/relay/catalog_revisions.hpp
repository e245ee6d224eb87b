/// @file
/// How much of the store's state a node has read.
#pragma once

#include <cstdint>

#include "common/time.hpp"

namespace shuntbank::relay {

/// Revisions of the newest changes that a node has received; 0: none yet.
struct CatalogRevisions {
  std::uint64_t configuration = 0;
  std::uint64_t engines = 0;

  bool operator==(const CatalogRevisions&) const = default;
};

/// A node's progress in reading the store, as reported to other nodes.
struct StoreProgress {
  CatalogRevisions seen;
  MonotonicTime confirmed_at{};  ///< When the store last confirmed `seen` as the newest.
};

/// What one node knows of the store readers: the few nodes that read the newest store state. The
/// others accept stale reads.
struct StoreReaders {
  bool self = false;             ///< This node is a store reader.
  MonotonicTime confirmed_at{};  ///< When the store last confirmed the state to any reader.

  bool operator==(const StoreReaders&) const = default;
};

}  // namespace shuntbank::relay
