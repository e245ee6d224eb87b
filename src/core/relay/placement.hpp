/// @file
/// Chooses the engine of a request. All nodes choose the same engine for prompts that share a part,
/// without asking each other, until that engine is so loaded that reading the part again elsewhere
/// is quicker.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <vector>

#include "core/relay/engine_directory.hpp"
#include "core/relay/routes.hpp"

namespace shuntbank::relay {

/// Tunables of placement, in one place. What work costs is learned (see engine_model.hpp).
struct PlacementSettings {
  std::uint64_t min_fetch_tokens = 1000;  ///< Fewer are read again rather than moved.
  /// Of the time that the shared parts of a prompt take to be read: how much sooner another engine
  /// must be than their home, so that requests which share parts meet there.
  double home_share = 2;
  double cross_zone_penalty_ms = 2;  ///< Added for an engine in another zone.
  double failure_penalty_ms = 400;   ///< Added times the share of attempts that failed.
  /// Added for each request that would be lost with an engine: more than waiting there costs.
  double collateral_penalty_ms = 200;
  double default_request_ms = 15;  ///< Of a plain engine whose latency is not known.
};

/// What is asked of placement.
struct PlacementQuery {
  const RelayedService* service = nullptr;
  const PromptShape* prompt = nullptr;     ///< Null for plain services.
  EngineStage stage = EngineStage::kNone;  ///< Which engines of a model service.
  ZoneName zone;                           ///< The node's own.
  /// The engines may have served before this node began to watch, so that the home of a part that
  /// no engine is known to keep most likely keeps it. Taken of prefill engines only.
  bool cache_view_incomplete = true;
  const std::vector<EngineId>* excluded_engines = nullptr;  ///< Engines that this request has met.
  /// Engines at which requests are under way that may end them; null: it may meet those.
  const std::set<EngineKey>* crash_risk_engines = nullptr;
  bool may_crash_engine = false;  ///< Where few others run, few are lost with the engine.
  bool deferred = false;          ///< Waits behind all prompts that can be answered in time.
  /// Until the first token, or the answer of a plain service: an engine that takes the request only
  /// after a wait for its permit, and then answers later than this, is no candidate.
  double max_expected_ms = std::numeric_limits<double>::infinity();
  std::uint32_t max_connections_per_node =
      0;  ///< This node's part of an engine's bound; 0: unbounded.
};

/// The choice and what spoke for it.
struct Placement {
  EngineId engine;
  double cost_ms = 0;      ///< What the choice goes by: the expected wait, and preferences.
  double expected_ms = 0;  ///< Until the prompt will have been read; of a plain service, answered.
  std::uint64_t prefill_tokens = 0;    ///< That the engine will have to read.
  std::optional<EngineId> fetch_from;  ///< Keeps parts of the prompt that the chosen one lacks.
  std::size_t candidates = 0;
};

/// @return the engine with the least expected wait, or nothing when there is no candidate.
std::optional<Placement> place(MonotonicTime now, EngineDirectory& engines,
                               const PlacementQuery& query, const PlacementSettings& settings);

}  // namespace shuntbank::relay
