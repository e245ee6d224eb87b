/// @file
/// What relay nodes tell each other: the work that each has under way at the engines, and the
/// prompts that engines have read for it. Sent as a datagram in MessagePack; unknown fields are
/// ignored.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "core/relay/catalog_revisions.hpp"
#include "core/relay/crash_report.hpp"
#include "core/relay/engine_directory.hpp"

namespace shuntbank {

/// A changed limit of an engine.
struct EngineLimitReport {
  EngineId engine;
  relay::ToldLimit limit;

  bool operator==(const EngineLimitReport&) const = default;
};

/// One node's work. Whole each time, so that a lost message does not matter.
struct LoadMessage {
  NodeId node;
  std::uint64_t boot = 0;      ///< Drawn at the start of the process.
  std::uint64_t sequence = 0;  ///< Rises with each message of one start.
  std::map<EngineId, relay::PeerLoad> load;
  std::vector<relay::PromptRead> reads;        ///< Since the last message.
  std::vector<relay::EngineTrouble> troubles;  ///< The same.
  std::vector<EngineLimitReport> limits;       ///< The same.
  std::vector<relay::CrashReport> crashes;     ///< What is to be told now.
  relay::CatalogRevisions revisions;  ///< How far the node has come in the store's changes.
  /// How long ago the store confirmed them, in milliseconds, where the node reads it for others.
  std::optional<std::uint32_t> store_age_ms;
  bool to_collector = false;  ///< The receiver is to sum it up with that of others.
  bool wants_view = false;    ///< The receiver is to send the sum back.
};

/// What a node that has just started asks of another: the prompts that engines keep.
struct CacheSnapshot {
  std::vector<relay::PromptRead>
      cached_prompts;  ///< One entry an engine; least recently used first.
};

/// Largest message, in bytes; stays below what one datagram of the usual links carries.
constexpr std::size_t kMaxLoadMessage = 1400;

/// Largest snapshot, in bytes.
constexpr std::size_t kMaxCacheSnapshot = 4UL << 20U;

/// The call that is answered by a snapshot.
constexpr std::string_view kSnapshotCall = "caches";

std::string encode(const LoadMessage& message);
std::string encode(const CacheSnapshot& snapshot);

/// @return the message, or what is wrong with the bytes.
tl::expected<LoadMessage, std::string> decode_load_message(std::string_view bytes);

/// @return the snapshot, or what is wrong with the bytes.
tl::expected<CacheSnapshot, std::string> decode_cache_snapshot(std::string_view bytes);

}  // namespace shuntbank
