#include "core/relay/dispatch_choice.hpp"

namespace shuntbank::relay {
namespace {

std::optional<Placement> place_at(MonotonicTime now, EngineDirectory& engines,
                                  const DispatchQuery& query, EngineStage stage,
                                  const PlacementSettings& settings) {
  PlacementQuery at_stage = query.placement;
  at_stage.stage = stage;
  return place(now, engines, at_stage, settings);
}

double streams_at(MonotonicTime now, const EngineDirectory& engines, const Placement& placement) {
  return engines.find(placement.engine)->requests_there(now);
}

double prefill_path_cost(const EngineDirectory& engines, const DispatchQuery& query,
                         const Placement& prefill) {
  const EngineModel& model = engines.model_of(query.placement.service->name);
  return prefill.cost_ms + model.handover_ms() +
         query.placement.service->model->move_ms(query.placement.prompt->prompt_tokens);
}

/// Reading where tokens are made holds up every stream that runs there.
double direct_path_cost(MonotonicTime now, const EngineDirectory& engines,
                        const DispatchQuery& query, const Placement& decode,
                        const PrefillSettings& settings) {
  const EngineModel& model = engines.model_of(query.placement.service->name);
  const double reading = model.decode_read_ms(static_cast<double>(decode.unread_tokens));
  const double streams = streams_at(now, engines, decode);
  return decode.cost_ms + reading * streams * settings.held_up_stream_weight;
}

/// @return whether the streams at a decode engine stay in time while it reads the prompt.
bool streams_bear(MonotonicTime now, const EngineDirectory& engines, const DispatchQuery& query,
                  const Placement& decode, const PrefillSettings& settings) {
  const double target = to_seconds(query.gap_target) * 1000;
  if (target <= 0) return true;
  const EngineModel& model = engines.model_of(query.placement.service->name);
  const EngineView& engine = *engines.find(decode.engine);
  const double pace = engine.recent_pace_ms(now, model.free_pace_ms());
  const double reading = model.decode_read_ms(static_cast<double>(decode.unread_tokens));
  return pace + reading <= target * settings.pause_share;
}

bool may_read_apart(const DispatchQuery& query, const PrefillSettings& settings) {
  return query.placement.prompt != nullptr && !query.prompt_sent &&
         query.budget >= settings.least_budget;
}

}  // namespace

std::optional<DispatchChoice> choose_dispatch(MonotonicTime now, EngineDirectory& engines,
                                              const DispatchQuery& query,
                                              const PlacementSettings& placement,
                                              const PrefillSettings& prefill) {
  const bool model = query.placement.service->model.has_value();
  const EngineStage answering = model ? EngineStage::kDecode : EngineStage::kNone;
  const auto decode = place_at(now, engines, query, answering, placement);
  if (!decode) return std::nullopt;
  const DispatchChoice whole{false, *decode};
  if (!model || !may_read_apart(query, prefill)) return whole;
  const auto reader = place_at(now, engines, query, EngineStage::kPrefill, placement);
  if (!reader) return whole;
  if (!streams_bear(now, engines, query, *decode, prefill)) return DispatchChoice{true, *reader};
  const double apart = prefill_path_cost(engines, query, *reader);
  const double direct = direct_path_cost(now, engines, query, *decode, prefill);
  return apart < direct ? DispatchChoice{true, *reader} : whole;
}

}  // namespace shuntbank::relay
