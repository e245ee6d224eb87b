#include "core/relay/dispatch_choice.hpp"

#include <algorithm>

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
  return engines.find(placement.engine)->total_requests(now);
}

/// @return milliseconds from the reading of a prompt apart to its first token.
double handover_ms(const EngineDirectory& engines, const DispatchQuery& query) {
  return engines.model_of(query.placement.service->name).handover_ms() +
         query.placement.service->model->move_ms(query.placement.prompt->prompt_tokens);
}

/// Reading where tokens are made holds up every stream that runs there.
double direct_path_cost(MonotonicTime now, const EngineDirectory& engines,
                        const DispatchQuery& query, const Placement& decode,
                        const PrefillSettings& settings) {
  const EngineModel& model = engines.model_of(query.placement.service->name);
  const double reading = model.decode_prefill_ms(static_cast<double>(decode.unread_tokens));
  const double streams = streams_at(now, engines, decode);
  return decode.cost_ms + reading * streams * settings.held_up_stream_weight;
}

/// @return whether the streams at a decode engine stay in time while it reads the prompt.
bool streams_bear(MonotonicTime now, const EngineDirectory& engines, const DispatchQuery& query,
                  const Placement& decode, const PrefillSettings& settings) {
  const double target = to_ms(query.gap_target);
  if (target <= 0) return true;
  const EngineModel& model = engines.model_of(query.placement.service->name);
  const EngineView& engine = *engines.find(decode.engine);
  const double pace = engine.recent_event_interval_ms(now, model.unloaded_event_interval_ms());
  const double reading = model.decode_prefill_ms(static_cast<double>(decode.unread_tokens));
  return pace + reading <= target * settings.pause_share;
}

bool may_read_apart(const DispatchQuery& query) {
  return query.placement.prompt != nullptr && !query.prompt_sent;
}

/// @return the engine that would read the prompt apart, unless the budget bears no send after it
/// and one is sure or likely to be charged.
std::optional<Placement> place_reader(MonotonicTime now, EngineDirectory& engines,
                                      const DispatchQuery& query,
                                      const PlacementSettings& placement,
                                      const PrefillSettings& prefill) {
  auto reader = place_at(now, engines, query, EngineStage::kPrefill, placement);
  if (!reader || query.budget >= prefill.least_budget) return reader;
  const bool avoided = engines.find(reader->engine)->backoff_until > now;
  return query.extra || avoided ? std::nullopt : reader;
}

DispatchChoice whole(const Placement& decode) {
  return {false, decode, {}, decode.expected_ms, false};
}

/// The prompt is read while its taker's permit is waited for.
DispatchChoice apart(const Placement& reader, const Placement& taker, double permit_ms,
                     double handover) {
  return {true, reader, taker, std::max(reader.expected_ms, permit_ms) + handover, false};
}

/// Chooses without regard to the objective.
std::optional<DispatchChoice> choose_path(MonotonicTime now, EngineDirectory& engines,
                                          const DispatchQuery& query,
                                          const PlacementSettings& placement,
                                          const PrefillSettings& prefill) {
  const bool model = query.placement.service->model.has_value();
  const EngineStage answering = model ? EngineStage::kDecode : EngineStage::kNone;
  const auto decode = place_at(now, engines, query, answering, placement);
  if (!decode) return std::nullopt;
  if (!model || !may_read_apart(query)) return whole(*decode);
  const auto reader = place_reader(now, engines, query, placement, prefill);
  if (!reader) return whole(*decode);
  const double handover = handover_ms(engines, query);
  const double permit_ms = to_ms(engines.find(decode->engine)->permit_wait(now));
  const DispatchChoice read_apart = apart(*reader, *decode, permit_ms, handover);
  const bool too_late = read_apart.expected_ms > query.placement.most_expected_ms;
  if (permit_ms > 0 && too_late) return whole(*decode);
  if (!streams_bear(now, engines, query, *decode, prefill)) return read_apart;
  const double direct_cost = direct_path_cost(now, engines, query, *decode, prefill);
  // The wait for the permit is in the cost of the direct way, and passes while the prompt is read.
  const double waits_on_ms = std::max(0.0, permit_ms - reader->expected_ms);
  const double apart_cost = reader->cost_ms + waits_on_ms + handover;
  return apart_cost < direct_cost ? read_apart : whole(*decode);
}

bool in_time(const DispatchQuery& query, const DispatchChoice& choice,
             const PrefillSettings& settings) {
  if (query.placement.prompt == nullptr || query.time_to_objective == Duration::max()) return true;
  const double left_ms = to_ms(query.time_to_objective);
  return choice.expected_ms <= left_ms * settings.in_time_share;
}

}  // namespace

std::optional<DispatchChoice> choose_dispatch(MonotonicTime now, EngineDirectory& engines,
                                              const DispatchQuery& query,
                                              const PlacementSettings& placement,
                                              const PrefillSettings& prefill) {
  auto choice = choose_path(now, engines, query, placement, prefill);
  if (!choice || in_time(query, *choice, prefill)) return choice;
  DispatchQuery behind = query;
  behind.placement.deferred = true;
  auto deferred = choose_path(now, engines, behind, placement, prefill);
  // A limited engine may take it in time only ahead of what can wait.
  if (!deferred) return choice;
  deferred->deferred = true;
  return deferred;
}

std::optional<MonotonicTime> worth_waiting_until(MonotonicTime now, EngineDirectory& engines,
                                                 const DispatchQuery& query,
                                                 const PlacementSettings& placement,
                                                 const PrefillSettings& prefill) {
  const auto first =
      engines.next_available_at(now, query.placement.service->name, query.placement.avoid);
  if (!first) return std::nullopt;
  const auto choice = choose_path(*first, engines, query, placement, prefill);
  if (!choice) return std::nullopt;
  const double left_then_ms = to_ms(query.time_to_objective - (*first - now));
  if (choice->expected_ms > left_then_ms) return std::nullopt;
  return first;
}

}  // namespace shuntbank::relay
