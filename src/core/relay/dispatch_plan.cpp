#include "core/relay/dispatch_plan.hpp"

#include <algorithm>

namespace shuntbank::relay {
namespace {

std::optional<Placement> place_in_stage(MonotonicTime now, EngineDirectory& engines,
                                        const DispatchQuery& query, EngineStage stage,
                                        const PlacementSettings& settings) {
  PlacementQuery stage_query = query.placement;
  stage_query.stage = stage;
  return place(now, engines, stage_query, settings);
}

double streams_at(MonotonicTime now, const EngineDirectory& engines, const Placement& placement) {
  return engines.find(placement.engine)->total_requests(now);
}

/// Expected parts of the time from the end of a remote prefill to the first token.
struct HandoverParts {
  double handover_ms = 0;
  double transfer_ms = 0;
  double slot_wait_ms = 0;

  double total_ms() const { return handover_ms + transfer_ms + slot_wait_ms; }
};

HandoverParts handover_parts(const EngineDirectory& engines, const DispatchQuery& query,
                             const Placement& decode) {
  return {engines.model_of(query.placement.service->name).handover_ms(),
          query.placement.service->model->transfer_ms(query.placement.prompt->prompt_tokens),
          decode.slot_wait_ms};
}

/// A prefill at a decode engine stalls every stream that runs there.
double direct_cost_ms(MonotonicTime now, const EngineDirectory& engines, const DispatchQuery& query,
                      const Placement& decode, const PrefillSettings& settings) {
  const EngineModel& model = engines.model_of(query.placement.service->name);
  const double reading = model.decode_prefill_ms(static_cast<double>(decode.prefill_tokens));
  const double streams = streams_at(now, engines, decode);
  return decode.cost_ms + reading * streams * settings.stalled_stream_weight;
}

/// @return whether the streams at a decode engine stay within the gap target while it prefills.
bool streams_stay_in_time(MonotonicTime now, const EngineDirectory& engines,
                          const DispatchQuery& query, const Placement& decode,
                          const PrefillSettings& settings) {
  const double target = to_ms(query.gap_target);
  if (target <= 0) return true;
  const EngineModel& model = engines.model_of(query.placement.service->name);
  const EngineView& engine = *engines.find(decode.engine);
  const double pace = engine.recent_event_interval_ms(now, model.unloaded_event_interval_ms());
  const double reading = model.decode_prefill_ms(static_cast<double>(decode.prefill_tokens));
  return pace + reading <= target * settings.pause_share;
}

bool may_prefill_remotely(const DispatchQuery& query) {
  return query.placement.prompt != nullptr && !query.prefill_sent;
}

/// @return the engine for a remote prefill, or nothing if a charged dispatch is certain or likely
/// to follow and the retry budget does not allow it.
std::optional<Placement> place_prefill(MonotonicTime now, EngineDirectory& engines,
                                       const DispatchQuery& query,
                                       const PlacementSettings& placement,
                                       const PrefillSettings& prefill) {
  // The cache that a prefill leaves depends on the weights, not on the engine's software.
  DispatchQuery any_version = query;
  any_version.placement.stream_version = nullptr;
  auto candidate = place_in_stage(now, engines, any_version, EngineStage::kPrefill, placement);
  if (!candidate || query.retry_budget >= prefill.min_retry_budget) return candidate;
  const EngineView& engine = *engines.find(candidate->engine);
  const bool may_refuse = engine.backoff_until > now || engine.leaves_stage(now);
  return query.extra_dispatch || may_refuse ? std::nullopt : candidate;
}

DispatchPlan direct_dispatch(const Placement& decode) {
  DispatchPlan plan;
  plan.placement = decode;
  plan.expected_ms = decode.expected_ms;
  plan.slot_wait_ms = decode.slot_wait_ms;
  return plan;
}

/// The prefill overlaps with the wait for the decode engine's permit.
DispatchPlan remote_prefill_dispatch(const Placement& prefill_placement, const Placement& decode,
                                     double permit_ms, const HandoverParts& handover) {
  DispatchPlan plan;
  plan.remote_prefill = true;
  plan.placement = prefill_placement;
  plan.decode = decode;
  plan.expected_ms = std::max(prefill_placement.expected_ms, permit_ms) + handover.total_ms();
  plan.handover_ms = handover.handover_ms;
  plan.transfer_ms = handover.transfer_ms;
  plan.slot_wait_ms = handover.slot_wait_ms;
  return plan;
}

/// Plans regardless of the objective.
std::optional<DispatchPlan> plan_ignoring_objective(MonotonicTime now, EngineDirectory& engines,
                                                    const DispatchQuery& query,
                                                    const PlacementSettings& placement,
                                                    const PrefillSettings& prefill) {
  const bool model = query.placement.service->model.has_value();
  const EngineStage stage = model ? EngineStage::kDecode : EngineStage::kNone;
  const auto decode = place_in_stage(now, engines, query, stage, placement);
  if (!decode) return std::nullopt;
  if (!model || !may_prefill_remotely(query)) return direct_dispatch(*decode);
  const auto prefill_placement = place_prefill(now, engines, query, placement, prefill);
  if (!prefill_placement) return direct_dispatch(*decode);
  const HandoverParts handover = handover_parts(engines, query, *decode);
  const double permit_ms = to_ms(engines.find(decode->engine)->permit_wait(now));
  const DispatchPlan remote =
      remote_prefill_dispatch(*prefill_placement, *decode, permit_ms, handover);
  const bool too_late = remote.expected_ms > query.placement.max_expected_ms;
  if (permit_ms > 0 && too_late) return direct_dispatch(*decode);
  if (!streams_stay_in_time(now, engines, query, *decode, prefill)) return remote;
  const double direct_cost = direct_cost_ms(now, engines, query, *decode, prefill);
  // The direct cost includes the permit wait; a remote prefill overlaps with it.
  const double remaining_permit_ms = std::max(0.0, permit_ms - prefill_placement->expected_ms);
  const double remote_cost = prefill_placement->cost_ms + remaining_permit_ms + handover.total_ms();
  return remote_cost < direct_cost ? remote : direct_dispatch(*decode);
}

bool in_time(const DispatchQuery& query, const DispatchPlan& plan,
             const PrefillSettings& settings) {
  if (query.placement.prompt == nullptr || query.time_to_objective == Duration::max()) return true;
  const double remaining_ms = to_ms(query.time_to_objective);
  return plan.expected_ms <= remaining_ms * settings.in_time_share;
}

}  // namespace

std::optional<DispatchPlan> plan_dispatch(MonotonicTime now, EngineDirectory& engines,
                                          const DispatchQuery& query,
                                          const PlacementSettings& placement,
                                          const PrefillSettings& prefill) {
  auto plan = plan_ignoring_objective(now, engines, query, placement, prefill);
  if (!plan || in_time(query, *plan, prefill)) return plan;
  DispatchQuery deferred_query = query;
  deferred_query.placement.deferred = true;
  auto deferred = plan_ignoring_objective(now, engines, deferred_query, placement, prefill);
  // A rate-limited engine may be a candidate only if the request is not deferred.
  if (!deferred) return plan;
  deferred->deferred = true;
  return deferred;
}

std::optional<MonotonicTime> worth_waiting_until(MonotonicTime now, EngineDirectory& engines,
                                                 const DispatchQuery& query,
                                                 const PlacementSettings& placement,
                                                 const PrefillSettings& prefill) {
  const auto available_at =
      engines.next_available_at(now, query.placement.service->name,
                                query.placement.excluded_engines, query.placement.stream_version);
  if (!available_at) return std::nullopt;
  const auto plan = plan_ignoring_objective(*available_at, engines, query, placement, prefill);
  if (!plan) return std::nullopt;
  const double remaining_ms = to_ms(query.time_to_objective - (*available_at - now));
  if (plan->expected_ms > remaining_ms) return std::nullopt;
  return available_at;
}

}  // namespace shuntbank::relay
