/// @file
/// Load reports between relay nodes: requests in flight at the engines, and prompts that engines
/// have prefilled. Datagrams in MessagePack; unknown fields are ignored.
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
#include "core/relay/engine_samples.hpp"
#include "core/relay/fair_share.hpp"
#include "core/relay/service_versions.hpp"
#include "core/relay/stage_notice.hpp"

namespace shuntbank {

/// A changed limit of an engine.
struct EngineLimitReport {
  EngineId engine;
  relay::LimitReport limit;

  bool operator==(const EngineLimitReport&) const = default;
};

/// One node's load. Each message holds all of it, so that a lost one does not matter.
struct LoadMessage {
  NodeId node;
  std::uint64_t boot = 0;      ///< Random number of the process.
  std::uint64_t sequence = 0;  ///< Increases with each message of a process.
  std::map<EngineId, relay::PeerLoad> load;
  std::vector<relay::PromptRead> reads;                 ///< Since the last message.
  std::vector<relay::EngineTrouble> troubles;           ///< The same.
  std::vector<EngineLimitReport> limits;                ///< The same.
  std::vector<relay::EngineStageNotice> stage_notices;  ///< The same.
  relay::SamplesById samples;                           ///< The same.
  relay::ServedByTenant served;                         ///< The same.
  std::vector<relay::CrashReport> crashes;              ///< Reports that are due.
  relay::CatalogRevisions revisions;  ///< Newest store revisions that the node has seen.
  /// Milliseconds since the store confirmed them; set by store readers only.
  std::optional<std::uint32_t> store_age_ms;
  bool to_collector = false;  ///< The receiver is to add this load to its load sum.
  bool wants_view = false;    ///< The receiver is to send the fleet's load sum back.
};

/// Prompts cached at the engines, requested by a node that has just started.
struct CacheSnapshot {
  std::vector<relay::PromptRead> cached_prompts;  ///< One per engine; least recently used first.
  relay::SamplesById samples = {};                ///< All that the answering node has.
  /// Versions of the services; unset if the answering node has not observed them for long enough.
  std::optional<std::vector<relay::VersionSighting>> versions = std::nullopt;
};

/// Largest message, in bytes; fits into one datagram on common links.
constexpr std::size_t kMaxLoadMessage = 1400;

/// Largest encoded CacheSnapshot, in bytes.
constexpr std::size_t kMaxCacheSnapshot = 4UL << 20U;

/// Name of the call that requests a CacheSnapshot.
constexpr std::string_view kSnapshotCall = "caches";

/// Call that requests a node's name.
constexpr std::string_view kNameCall = "name";

std::string encode(const LoadMessage& message);
std::string encode(const CacheSnapshot& snapshot);

/// @return the message, or what is wrong with the bytes.
tl::expected<LoadMessage, std::string> decode_load_message(std::string_view bytes);

/// @return the snapshot, or what is wrong with the bytes.
tl::expected<CacheSnapshot, std::string> decode_cache_snapshot(std::string_view bytes);

}  // namespace shuntbank
