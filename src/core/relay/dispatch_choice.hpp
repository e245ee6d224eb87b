/// @file
/// Chooses how a request is sent: whole to one engine, or its prompt first to a prefill engine that
/// hands it over.
#pragma once

#include <cstdint>
#include <optional>

#include "core/relay/placement.hpp"

namespace shuntbank::relay {

/// When reading a prompt at an engine of its own pays.
struct PrefillSettings {
  /// Of the longest pause between events that still counts as in time: a decode engine whose
  /// streams are slower than this, or would be, reads no prompts beside them.
  double pause_share = 0.8;
  double stalled_stream_weight = 0.4;  ///< Of reading time, for each stream that it holds up.
  /// Of the time left to the objective: a request whose first token is expected later is deferred.
  double in_time_share = 0.9;
  /// Of the retry budget: with less, no prompt is read apart whose taking up is an extra dispatch,
  /// nor at an engine that has just refused others, as the request could not go on afterwards.
  double min_retry_budget = 1;
};

/// What is asked of the choice.
struct DispatchQuery {
  PlacementQuery placement;                ///< Its stage is left to the choice.
  bool prefill_sent = false;               ///< The prompt was sent to be read apart before.
  bool extra_dispatch = false;             ///< Each send is charged to the retry budget.
  double retry_budget = 0;                 ///< What the next send leaves of the retry budget.
  Duration gap_target = Duration::zero();  ///< Longest pause between events; zero: unset.
  /// Left of the time within which an answer has its full worth; may be negative.
  Duration time_to_objective = Duration::max();
};

/// The choice and what spoke for it.
struct DispatchPlan {
  bool remote_prefill = false;  ///< The engine only reads the prompt; another one answers.
  Placement placement;
  Placement decode;        ///< Where the prompt is read first: the engine that then answers.
  double expected_ms = 0;  ///< Until the first token.
  bool deferred = false;   ///< Cannot be in time, and so waits deferred_query what can.
};

/// @return how to send the request, or nothing when no engine can be chosen.
std::optional<DispatchPlan> plan_dispatch(MonotonicTime now, EngineDirectory& engines,
                                          const DispatchQuery& query,
                                          const PlacementSettings& placement,
                                          const PrefillSettings& prefill);

/// Where all engines that a request may go to rest: whether it is worth keeping until one of them
/// takes requests again.
/// @return when that is, if the request is then expected to be in time; nothing where it should be
/// refused now, so that its caller loses no time.
std::optional<MonotonicTime> worth_waiting_until(MonotonicTime now, EngineDirectory& engines,
                                                 const DispatchQuery& query,
                                                 const PlacementSettings& placement,
                                                 const PrefillSettings& prefill);

}  // namespace shuntbank::relay
