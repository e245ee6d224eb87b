/// @file
/// Selects the engine of a request. Without coordination, all nodes select the same engine for
/// prompts with a shared part, unless its load makes another prefill elsewhere quicker.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <vector>

#include "core/relay/engine_directory.hpp"
#include "core/relay/routes.hpp"

namespace shuntbank::relay {

/// Tunables of placement. Costs of work are learned (see engine_model.hpp).
struct PlacementSettings {
  std::uint64_t min_fetch_tokens = 1000;  ///< Fewer tokens are prefilled again rather than fetched.
  /// Bonus of the home of a prompt's shared parts, as a multiple of their prefill time, so that
  /// requests which share parts are placed together.
  double home_share = 2;
  double cross_zone_penalty_ms = 2;  ///< Penalty of an engine in another zone.
  double failure_penalty_ms = 400;   ///< Penalty, times the share of failed attempts.
  /// Penalty per request that would be lost if the engine crashed; outweighs waiting.
  double collateral_penalty_ms = 200;
  double default_request_ms = 15;  ///< Assumed latency of a plain engine without measurements.
};

/// Input of `place`.
struct PlacementQuery {
  const RelayedService* service = nullptr;
  const PromptShape* prompt = nullptr;     ///< Null for plain services.
  EngineStage stage = EngineStage::kNone;  ///< Stage of the engines to consider.
  ZoneName zone;                           ///< Zone of this node.
  /// Engines may have served before this node started, so that a part not known to be cached
  /// anywhere is assumed at its home. Applies to prefill engines only.
  bool cache_view_incomplete = true;
  /// Engines already tried for this request.
  const std::vector<EngineId>* excluded_engines = nullptr;
  /// Version of the engines that may continue the request's stream; null: it has not begun.
  const std::string* stream_version = nullptr;
  /// Engines that run requests suspected of crashing engines, to be excluded; null: none.
  const std::set<EngineKey>* crash_risk_engines = nullptr;
  /// The request may crash its engine: prefer engines with few other requests.
  bool may_crash_engine = false;
  bool deferred = false;  ///< Waits behind all prompts that can meet their objective.
  /// Excludes engines that require a wait for a permit and are then expected to deliver the first
  /// token, or a plain answer, later than this.
  double max_expected_ms = std::numeric_limits<double>::infinity();
  /// Longest gap between the events of the request's stream; zero: unset or not a stream. Engines
  /// that are expected to exceed it are chosen only if no other has a free slot.
  Duration gap_target = Duration::zero();
  /// This node's share of an engine's connection limit; 0: unlimited.
  std::uint32_t max_connections_per_node = 0;
};

/// The selected engine and its estimates.
struct Placement {
  EngineId engine;
  double cost_ms = 0;       ///< Expected time plus penalties, less bonuses.
  double expected_ms = 0;   ///< Until the prompt is prefilled or, for a plain service, answered.
  double ahead_ms = 0;      ///< Known prefill work ahead, in full; see `WorkAheadModel`.
  double slot_wait_ms = 0;  ///< Expected wait for a slot at a decode engine; in `expected_ms`.
  std::uint64_t prefill_tokens = 0;    ///< Tokens left for the engine to prefill.
  std::optional<EngineId> fetch_from;  ///< Engine to fetch cached prompt parts from.
  std::size_t candidates = 0;
};

/// Expected time of a remote prefill at a usual engine of the service, in milliseconds.
struct PrefillReference {
  double own_ms = 0;
  double ahead_ms = 0;  ///< Of the work known to be ahead of it.
};

/// Call before the prefill is counted as sent.
PrefillReference prefill_reference(MonotonicTime now, const EngineDirectory& engines,
                                   const EngineView& engine, std::uint64_t prefill_tokens);

/// @return the candidate with the lowest cost, or nothing if there is none.
std::optional<Placement> place(MonotonicTime now, EngineDirectory& engines,
                               const PlacementQuery& query, const PlacementSettings& settings);

}  // namespace shuntbank::relay
