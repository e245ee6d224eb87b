/// @file
/// How long a node of a large fleet waits for the nodes that read the store before it reads the
/// store itself. Derived from the time for which a draining engine accepts requests.
#pragma once

#include "common/time.hpp"
#include "relay/relay_node.hpp"
#include "relay/relay_settings.hpp"

namespace shuntbank::relay {

/// Delays the detection of a silent store reader by up to this much.
constexpr Duration kReadersCheckInterval = std::chrono::milliseconds(250);

/// Waits of one node.
struct FallbackTiming {
  /// Longest wait of a reader's watch. Readers that are alive confirm the store's state before
  /// `reader_timeout`.
  Duration reader_wait{};
  /// The node reads the store if no reader has confirmed its state for this long.
  Duration reader_timeout{};
  /// The node reads the store if it lacks a change for this long, counted from the hint.
  Duration change_timeout{};

  bool operator==(const FallbackTiming&) const = default;
};

/// @return the waits of a node, shorter for nodes of a lower rank: nodes that read the store at the
/// same time would load its link together.
FallbackTiming fallback_timing(const CatalogSettings& catalog, const Fleet& fleet);

/// @return an upper bound from a change in the store until the last node of the fleet has read it,
/// if all readers and their successors die at the time of the change.
Duration fallback_bound(const CatalogSettings& catalog, std::size_t nodes);

}  // namespace shuntbank::relay
