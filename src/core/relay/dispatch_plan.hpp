/// @file
/// Plans how a request is dispatched: directly to one engine, or with a remote prefill whose result
/// is handed over to a decode engine.
#pragma once

#include <cstdint>
#include <optional>

#include "core/relay/placement.hpp"

namespace shuntbank::relay {

/// When a remote prefill pays off.
struct PrefillSettings {
  /// Share of the gap target; a decode engine whose gaps are larger, or would be during the
  /// prefill, is not chosen to prefill.
  double pause_share = 0.8;
  double stalled_stream_weight = 0.4;  ///< Cost per stalled stream, as a share of the prefill time.
  /// Share of the time left to the objective; a request whose first token is expected later is
  /// deferred.
  double in_time_share = 0.9;
  /// With a smaller budget there is no remote prefill if the decode dispatch is an extra one or the
  /// prefill engine is in backoff or about to leave its stage, as a retry could not be paid for.
  double min_retry_budget = 1;
};

/// Input of `plan_dispatch`.
struct DispatchQuery {
  PlacementQuery placement;     ///< Its stage is ignored.
  bool prefill_sent = false;    ///< A remote prefill was already attempted or is ruled out.
  bool extra_dispatch = false;  ///< The next dispatch is charged to the retry budget.
  double retry_budget = 0;      ///< Retry budget left after the next dispatch.
  Duration gap_target = Duration::zero();  ///< Maximum gap between events; zero: unset.
  /// Time left to the route's objective; may be negative.
  Duration time_to_objective = Duration::max();
};

/// The chosen dispatch and its estimates.
struct DispatchPlan {
  bool remote_prefill = false;  ///< `placement` only prefills; `decode` answers.
  Placement placement;
  Placement decode;  ///< Decode engine of a remote prefill.
  /// Expected time to first token. Of a remote prefill: the longer of `placement.expected_ms` and
  /// the wait for the decode engine's permit, plus the parts below. Of a direct dispatch:
  /// `placement.expected_ms`, which contains the wait for a slot.
  double expected_ms = 0;
  double handover_ms = 0;   ///< Of a remote prefill, without waiting.
  double transfer_ms = 0;   ///< Of a remote prefill.
  double slot_wait_ms = 0;  ///< At the decode engine.
  bool deferred = false;    ///< Cannot meet the objective, so waits behind requests that can.
};

/// @return how to dispatch the request, or nothing if no engine is available.
std::optional<DispatchPlan> plan_dispatch(MonotonicTime now, EngineDirectory& engines,
                                          const DispatchQuery& query,
                                          const PlacementSettings& placement,
                                          const PrefillSettings& prefill);

/// For when all engines are in cooldown or wait for permits. @return when the first one accepts
/// requests again, if the request is then expected to meet its objective; otherwise nothing, and
/// the request should be refused at once.
std::optional<MonotonicTime> worth_waiting_until(MonotonicTime now, EngineDirectory& engines,
                                                 const DispatchQuery& query,
                                                 const PlacementSettings& placement,
                                                 const PrefillSettings& prefill);

}  // namespace shuntbank::relay
