/// @file
/// Selects the nodes that hold a stream's origin.
#pragma once

#include <cstddef>
#include <vector>

#include "core/relay/collector_selector.hpp"
#include "core/relay/stream_origin.hpp"

namespace shuntbank::relay {

/// @return up to `count` nodes in an order that all nodes with the same list agree on. Nodes of
/// different zones come first, so that the loss of a zone leaves one.
std::vector<NodeId> stream_replicas(const PeerRecords& nodes, StreamKey key, std::size_t count);

}  // namespace shuntbank::relay
