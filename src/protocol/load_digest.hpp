/// @file
/// Load sums sent by collectors: a zone's load to the collectors of the other zones, and the
/// fleet's load to the nodes of their own zone. Datagrams in MessagePack; a sum that does not fit
/// into one is sent in parts that can be applied independently.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "core/relay/catalog_revisions.hpp"
#include "core/relay/engine_updates.hpp"
#include "core/relay/load_collector.hpp"
#include "core/relay/peer_load.hpp"

namespace shuntbank {

constexpr std::uint32_t kNeverConfirmed = std::numeric_limits<std::uint32_t>::max();

/// @return the age of a confirmation by the store, as encoded in messages.
std::uint32_t to_age_ms(MonotonicTime now, MonotonicTime confirmed_at);

/// @return the time of a confirmation of this age; the epoch of the clock for kNeverConfirmed.
MonotonicTime from_age_ms(MonotonicTime now, std::uint32_t age_ms);

/// A collector's load sum, or the part of it in one datagram.
struct LoadDigest {
  NodeId collector;
  relay::MessageNumber number;  ///< The same in all parts of one load sum.
  ZoneName zone;                ///< Zone that is summed; empty: all zones.
  std::size_t node_count = 0;   ///< Nodes in the sum.
  relay::LoadRange range;
  relay::EngineUpdates updates;       ///< Since the previous sum.
  relay::CatalogRevisions revisions;  ///< Newest store revisions that any of the nodes has seen.
  /// Milliseconds since the store last confirmed its state to a store reader; kNeverConfirmed: no
  /// confirmation is known.
  std::uint32_t store_age_ms = kNeverConfirmed;

  bool operator==(const LoadDigest&) const = default;
};

/// A digest addressed to one node of the collector's own zone.
struct FleetView {
  /// Sequence number of the receiver's newest message in the sum; 0: none.
  std::uint64_t last_sequence = 0;
  LoadDigest digest;
};

/// @return `whole` in as many messages as it needs, none larger than kMaxLoadMessage. Each update
/// is in one of them. Collectors receive them as they are, zone members through `encode_view`.
std::vector<std::string> encode_parts(const LoadDigest& whole);

/// @return an encoded digest addressed to one node.
std::string encode_view(std::uint64_t last_sequence, std::string_view digest);

/// @return whether the bytes are marked as a FleetView.
bool is_view(std::string_view bytes);

/// @return whether the bytes may be a LoadDigest, rather than another message between nodes.
bool is_digest(std::string_view bytes);

/// @return the digest, or what is wrong with the bytes.
tl::expected<LoadDigest, std::string> decode_digest(std::string_view bytes);

/// @return the view, or what is wrong with the bytes.
tl::expected<FleetView, std::string> decode_view(std::string_view bytes);

}  // namespace shuntbank
