/// @file
/// How far a node has come in the changes of the store.
#pragma once

#include <cstdint>

namespace shuntbank::relay {

/// Revisions of the newest changes that a node has seen; 0: none yet.
struct CatalogRevisions {
  std::uint64_t configuration = 0;
  std::uint64_t engines = 0;

  bool operator==(const CatalogRevisions&) const = default;
};

}  // namespace shuntbank::relay
