/// @file
/// What collectors hand on: the load of a zone's nodes, to the collectors of the other zones, and
/// that of the whole fleet, to the nodes of their own zone. Datagrams in MessagePack; a sum that
/// does not fit into one is sent in parts that each make sense alone.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "core/relay/catalog_revisions.hpp"
#include "core/relay/engine_news.hpp"
#include "core/relay/load_collector.hpp"
#include "core/relay/peer_load.hpp"

namespace shuntbank {

constexpr std::uint32_t kNeverConfirmed = std::numeric_limits<std::uint32_t>::max();

/// @return the age of a confirmation as messages tell it.
std::uint32_t to_age_ms(MonotonicTime now, MonotonicTime confirmed_at);

/// @return when the store confirmed what a message says to be so old, or the epoch of the clock.
MonotonicTime from_age_ms(MonotonicTime now, std::uint32_t age_ms);

/// One part of a collector's sum.
struct LoadDigest {
  NodeId collector;
  relay::MessageNumber number;  ///< The parts of one sum share it.
  ZoneName zone;                ///< Whose nodes are summed; empty: those of all zones.
  std::size_t node_count = 0;   ///< That are in the sum.
  relay::LoadRange range;
  relay::EngineNews updates;  ///< Since the sum before.
  relay::CatalogRevisions
      revisions;  ///< The newest changes of the store that any of them has seen.
  /// How long ago the store has confirmed its state to a node that reads it for others, in
  /// milliseconds; kNeverConfirmed: to none that is known.
  std::uint32_t store_age_ms = kNeverConfirmed;

  bool operator==(const LoadDigest&) const = default;
};

/// A digest as it is sent to one node of the collector's own zone.
struct FleetView {
  /// Number of the receiver's newest message that is in the sum; 0: none is.
  std::uint64_t last_sequence = 0;
  LoadDigest digest;
};

/// @return `whole` in as many messages as it needs, none larger than kMaxLoadMessage. The news go
/// with the parts, each once. Collectors are sent them as they are, members through `encode_view`.
std::vector<std::string> encode_parts(const LoadDigest& whole);

/// @return an encoded digest as it is sent to one node.
std::string encode_view(std::uint64_t last_sequence, std::string_view digest);

/// @return whether the bytes were made by `encode_view`.
bool is_view(std::string_view bytes);

/// @return whether the bytes may be a digest, rather than another message between nodes.
bool is_digest(std::string_view bytes);

/// @return the digest, or what is wrong with the bytes.
tl::expected<LoadDigest, std::string> decode_digest(std::string_view bytes);

/// @return the view, or what is wrong with the bytes.
tl::expected<FleetView, std::string> decode_view(std::string_view bytes);

}  // namespace shuntbank
