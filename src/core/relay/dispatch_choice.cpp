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

double prefill_path_cost(const DispatchQuery& query, const Placement& prefill, double streams,
                         const PlacementSettings& placement, const PrefillSettings& settings) {
  return prefill.cost_ms + settings.setup_ms +
         query.placement.service->model->move_ms(query.placement.prompt->prompt_tokens) +
         streams * placement.request_cost_ms;
}

/// Reading where tokens are made holds up every stream that runs there.
double direct_path_cost(const EngineDirectory& engines, const Placement& decode, double streams,
                        const PlacementSettings& placement, const PrefillSettings& settings) {
  const double speed = engines.reading_speed() * placement.decode_reading_share;
  const double reading = static_cast<double>(decode.unread_tokens) / speed;
  return decode.cost_ms * settings.direct_penalty +
         reading * streams * settings.held_up_stream_weight;
}

bool may_read_apart(const DispatchQuery& query, const Placement& decode,
                    const PrefillSettings& settings) {
  return query.placement.prompt != nullptr && !query.prompt_sent &&
         decode.unread_tokens >= settings.least_unread_tokens &&
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
  if (!model || !may_read_apart(query, *decode, prefill)) return whole;
  const auto reader = place_at(now, engines, query, EngineStage::kPrefill, placement);
  if (!reader) return whole;
  const double streams = streams_at(now, engines, *decode);
  const double apart = prefill_path_cost(query, *reader, streams, placement, prefill);
  const double direct = direct_path_cost(engines, *decode, streams, placement, prefill);
  return apart < direct ? DispatchChoice{true, *reader} : whole;
}

}  // namespace shuntbank::relay
