/// @file
/// How far a node has come in the changes of the store.
#pragma once

#include <cstdint>

#include "common/time.hpp"

namespace shuntbank::relay {

/// Revisions of the newest changes that a node has seen; 0: none yet.
struct CatalogRevisions {
  std::uint64_t configuration = 0;
  std::uint64_t engines = 0;

  bool operator==(const CatalogRevisions&) const = default;
};

/// What a node says of its reading of the store.
struct StoreProgress {
  CatalogRevisions seen;
  MonotonicTime latest_at{};  ///< When the store last said that nothing newer is known.
};

/// Who reads the store, as one node knows.
struct StoreReaders {
  bool self = false;         ///< This node reads the latest for others.
  MonotonicTime heard_at{};  ///< When the store last confirmed the state to any reader.

  bool operator==(const StoreReaders&) const = default;
};

}  // namespace shuntbank::relay
