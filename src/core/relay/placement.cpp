#include "core/relay/placement.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "common/hash.hpp"

namespace shuntbank::relay {
namespace {

bool is_candidate(MonotonicTime now, const EngineView& engine, const PlacementQuery& query) {
  const EngineRecord& record = engine.record;
  if (!engine.accepts_requests(now) || record.stage != query.stage) return false;
  if (listed(query.excluded_engines, record.id)) return false;
  if (query.stream_version != nullptr && !record.has_stream_version(*query.stream_version))
    return false;
  if (query.crash_risk_engines != nullptr && query.crash_risk_engines->count(engine.key) > 0)
    return false;
  return query.max_connections_per_node == 0 || engine.in_flight < query.max_connections_per_node;
}

/// @return the engines to choose from; those in backoff only if no other is left, and those about
/// to leave the stage only after these, as they are likely to refuse.
std::vector<EngineView*> candidates(MonotonicTime now, EngineDirectory& engines,
                                    const PlacementQuery& query) {
  std::vector<EngineView*> healthy;
  std::vector<EngineView*> backed_off;
  std::vector<EngineView*> leaving;
  healthy.reserve(engines.find_by_service(query.service->name).size());
  for (EngineView* engine : engines.find_by_service(query.service->name)) {
    if (!is_candidate(now, *engine, query)) continue;
    if (engine->leaves_stage(now)) {
      leaving.push_back(engine);
    } else {
      (engine->backoff_until > now ? backed_off : healthy).push_back(engine);
    }
  }
  if (!healthy.empty()) return healthy;
  return backed_off.empty() ? leaving : backed_off;
}

double rendezvous_weight(std::uint64_t part, const EngineId& engine) {
  return static_cast<double>(hash64(engine.value(), part));
}

/// @return the home of the prompt's shared part by rendezvous hashing, or null.
const EngineView* home_engine(const std::vector<EngineView*>& engines, const PromptShape& prompt) {
  const auto part = prompt.shared_part();
  if (!part) return nullptr;
  const EngineView* home = nullptr;
  double highest_weight = -1;
  for (const EngineView* engine : engines) {
    const double weight = rendezvous_weight(*part, engine->record.id);
    if (weight <= highest_weight) continue;
    home = engine;
    highest_weight = weight;
  }
  return home;
}

/// @return tokens of the prompt that this node knows to be cached at an engine.
std::uint64_t cached_tokens_at(const EngineView& engine, const PromptShape& prompt) {
  return std::min(prompt.prompt_tokens, engine.cache.cached_tokens(prompt));
}

/// @return tokens of the prompt that other requests may share.
std::uint64_t shared_tokens(const PromptShape& prompt) {
  if (prompt.parts.empty()) return 0;
  return prompt.prompt_tokens - std::min(prompt.prompt_tokens, prompt.parts.back().tokens);
}

/// The engine that caches most of a prompt, regardless of stage and load.
struct FetchSource {
  const EngineView* engine = nullptr;
  std::uint64_t cached = 0;
};

FetchSource best_fetch_source(MonotonicTime now, EngineDirectory& engines,
                              const PlacementQuery& query) {
  FetchSource best;
  for (const EngineView* engine : engines.find_by_service(query.service->name)) {
    if (engine->backoff_until > now || listed(query.excluded_engines, engine->record.id)) continue;
    const std::uint64_t cached = cached_tokens_at(*engine, *query.prompt);
    if (cached > best.cached) best = {engine, cached};
  }
  return best;
}

/// Inputs shared by all cost estimates of one placement.
struct PromptCosts {
  MonotonicTime now;
  const EngineModel& model;
  double usual_prefill_tokens;
  bool deferred;  ///< The prompt waits behind all that can meet their objective.
};

/// @return milliseconds of known prefill work at the engine ahead of a new prompt.
double work_ahead_ms(const PromptCosts& costs, const EngineView& engine) {
  const bool prefill = engine.record.stage == EngineStage::kPrefill;
  auto all = static_cast<double>(engine.prefill_tokens);
  auto deferred_work = static_cast<double>(engine.deferred_tokens);
  if (engine.peer_load) {
    all += static_cast<double>(engine.peer_load->prefill_tokens);
    deferred_work += static_cast<double>(engine.peer_load->deferred_tokens);
  } else if (prefill) {
    all += engine.peer_requests(costs.now) * costs.usual_prefill_tokens;
  }
  const double ahead = costs.deferred ? all : std::max(0.0, all - deferred_work);
  const PrefillModel& reading = costs.model.prefill();
  if (!prefill) return costs.model.decode_prefill_ms(ahead) - reading.setup_ms();
  const double share = all > 0 ? ahead / all : 1;
  return engine.total_requests(costs.now) * share * reading.setup_ms() + ahead * reading.token_ms();
}

/// @return expected wait for a slot, in milliseconds.
double slot_wait_ms(const PromptCosts& costs, const EngineView& engine) {
  if (engine.record.stage != EngineStage::kDecode) return 0;
  return costs.model.slot_wait_ms(engine.occupancy(costs.now));
}

/// @return milliseconds by which the work ahead is expected to delay a new prompt. At a decode
/// engine, requests that wait for a slot also have the prompts to prefill, so the longer wait
/// counts.
double waiting_ms(const PromptCosts& costs, const EngineView& engine) {
  const double ahead = work_ahead_ms(costs, engine) * engine.present_prefill_factor(costs.now);
  if (engine.record.stage == EngineStage::kPrefill) return ahead * costs.model.work_ahead().share();
  return std::max(ahead, slot_wait_ms(costs, engine));
}

/// @return a pseudorandom number from 0 to 1 for the prompt and the engine.
double jitter_fraction(const PromptShape& prompt, const EngineView& engine) {
  if (prompt.parts.empty()) return 0;
  return hash_fraction(engine.record.id.value(), prompt.parts.back().id);
}

/// Range of the cost jitter, which keeps nodes from all choosing the same engine until the next
/// load view: the mean wait, at most the age of the view. Zero while engines are idle.
double jitter_range_ms(const PromptCosts& costs, const EngineDirectory& engines,
                       const std::vector<EngineView*>& candidates) {
  const double age_ms = to_ms(engines.shared_view_age());
  if (age_ms <= 0 || candidates.empty()) return 0;
  double waiting = 0;
  for (const EngineView* engine : candidates) waiting += waiting_ms(costs, *engine);
  return std::min(age_ms, std::max(0.0, waiting / static_cast<double>(candidates.size())));
}

/// A full batch costs as much as prefilling a usual prompt, besides the wait for a slot, so that
/// streams spread over engines.
double batch_fill_penalty_ms(const PromptCosts& costs, const EngineView& engine) {
  const double usual_ms = costs.model.prefill().prefill_ms(costs.usual_prefill_tokens);
  return usual_ms * engine.profile.pace_factor() * engine.occupancy(costs.now).fill();
}

/// @return milliseconds until the engine has prefilled a prompt that is sent now.
double reading_wait_ms(const PromptCosts& costs, const EngineView& engine,
                       std::uint64_t prefill_tokens) {
  const auto tokens = static_cast<double>(prefill_tokens);
  const bool prefill = engine.record.stage == EngineStage::kPrefill;
  const double reading_ms =
      prefill ? costs.model.prefill().prefill_ms(tokens) : costs.model.decode_prefill_ms(tokens);
  return waiting_ms(costs, engine) + reading_ms * engine.present_prefill_factor(costs.now);
}

/// @return the penalty, in milliseconds, of an engine whose streams are many or slow.
double stream_slowdown_ms(const PromptCosts& costs, const EngineView& engine) {
  if (engine.record.stage == EngineStage::kPrefill) return 0;
  const double free_pace = costs.model.unloaded_event_interval_ms();
  return batch_fill_penalty_ms(costs, engine) +
         engine.expected_event_interval_ms(costs.now, free_pace) - free_pace;
}

double plain_cost_ms(MonotonicTime now, const EngineView& engine,
                     const PlacementSettings& settings) {
  const double request_ms = engine.latency_ms > 0 ? engine.latency_ms : settings.default_request_ms;
  const double slots = std::max(1U, engine.record.slots);
  const double running = engine.total_requests(now);
  return request_ms * (1 + running / slots + std::max(0.0, running + 1 - slots));
}

/// A placement under evaluation. Refers to engines, as copies of their ids would dominate the cost
/// of evaluating thousands.
struct Estimate {
  const EngineView* engine = nullptr;
  const EngineView* fetch_from = nullptr;
  double cost_ms = 0;
  double expected_ms = 0;
  std::uint64_t prefill_tokens = 0;
};

/// Estimates a placement at a model engine, fetching cached parts if that is quicker.
void place_prompt(const PromptCosts& costs, const EngineView& engine, const PlacementQuery& query,
                  const PlacementSettings& settings, bool home, const FetchSource& source,
                  Estimate& placement) {
  const PromptShape& prompt = *query.prompt;
  const EngineModel& model = costs.model;
  const std::uint64_t cached = cached_tokens_at(engine, prompt);
  std::uint64_t assumed = cached;
  // After a restart of this node, a part not known to be cached anywhere is assumed at its home.
  const bool uncached_at_home = home && source.cached == 0;
  const bool may_be_cached = query.cache_view_incomplete && query.stage == EngineStage::kPrefill;
  if (uncached_at_home && may_be_cached) assumed = std::max(cached, shared_tokens(prompt));
  placement.prefill_tokens = prompt.prompt_tokens - assumed;
  placement.expected_ms = reading_wait_ms(costs, engine, placement.prefill_tokens);
  placement.cost_ms = placement.expected_ms + stream_slowdown_ms(costs, engine);
  if (home) {
    placement.cost_ms -= settings.home_share * static_cast<double>(shared_tokens(prompt)) *
                         model.prefill().token_ms();
  }
  const bool useful = source.engine != nullptr && source.engine != &engine &&
                      source.cached >= cached + settings.min_fetch_tokens;
  if (!useful || !query.service->model) return;
  const std::uint64_t saved = source.cached - cached;
  const std::uint64_t prefill_tokens = prompt.prompt_tokens - source.cached;
  const double fetch_ms = model.fetch_setup_ms() + query.service->model->transfer_ms(saved);
  const double usual_ms =
      model.prefill().prefill_ms(static_cast<double>(prompt.prompt_tokens - cached)) -
      model.prefill().prefill_ms(static_cast<double>(prefill_tokens));
  const double reading_ms = usual_ms * engine.present_prefill_factor(costs.now);
  if (fetch_ms >= reading_ms) return;
  placement.prefill_tokens = prefill_tokens;
  placement.expected_ms += fetch_ms - reading_ms;
  placement.cost_ms += fetch_ms - reading_ms;
  placement.fetch_from = source.engine;
}

Placement to_placement(const PromptCosts& costs, const Estimate& best, std::size_t candidates) {
  Placement placement;
  placement.engine = best.engine->record.id;
  placement.cost_ms = best.cost_ms;
  placement.expected_ms = best.expected_ms;
  placement.ahead_ms = work_ahead_ms(costs, *best.engine);
  placement.slot_wait_ms = slot_wait_ms(costs, *best.engine);
  placement.prefill_tokens = best.prefill_tokens;
  if (best.fetch_from != nullptr) placement.fetch_from = best.fetch_from->record.id;
  placement.candidates = candidates;
  return placement;
}

}  // namespace

std::optional<Placement> place(MonotonicTime now, EngineDirectory& engines,
                               const PlacementQuery& query, const PlacementSettings& settings) {
  const auto usable = candidates(now, engines, query);
  const EngineView* home = query.prompt != nullptr ? home_engine(usable, *query.prompt) : nullptr;
  const FetchSource source =
      query.prompt != nullptr ? best_fetch_source(now, engines, query) : FetchSource{};
  const PromptCosts costs{now, std::as_const(engines).model_of(query.service->name),
                          engines.average_prefill_tokens(), query.deferred};
  const bool watches_gaps = query.prompt != nullptr && query.stage == EngineStage::kDecode &&
                            query.gap_target > Duration::zero();
  const double max_jitter_ms =
      query.prompt != nullptr ? jitter_range_ms(costs, engines, usable) : 0;
  std::optional<Estimate> best;
  std::optional<Estimate> best_in_time;  ///< Of the engines that keep the gap target.
  bool in_time_has_room = false;         ///< One of these has a free slot.
  for (const EngineView* engine : usable) {
    Estimate placement;
    placement.engine = engine;
    if (query.prompt != nullptr) {
      place_prompt(costs, *engine, query, settings, engine == home, source, placement);
      placement.cost_ms += max_jitter_ms * jitter_fraction(*query.prompt, *engine);
    } else {
      placement.expected_ms = plain_cost_ms(now, *engine, settings);
      placement.cost_ms = placement.expected_ms;
    }
    const double permit_ms = to_ms(engine->permit_wait(now));
    placement.expected_ms += permit_ms;
    placement.cost_ms += permit_ms;
    if (permit_ms > 0 && placement.expected_ms > query.max_expected_ms) continue;
    placement.cost_ms += engine->failure_rate * settings.failure_penalty_ms;
    if (engine->record.zone != query.zone) placement.cost_ms += settings.cross_zone_penalty_ms;
    if (query.may_crash_engine) {
      placement.cost_ms += settings.collateral_penalty_ms * engine->total_requests(now);
    }
    if (!best || placement.cost_ms < best->cost_ms) best = placement;
    if (!watches_gaps || engine->profile.exceeds_gap(query.gap_target)) continue;
    in_time_has_room =
        in_time_has_room || (permit_ms <= 0 && engine->total_requests(now) < engine->record.slots);
    if (!best_in_time || placement.cost_ms < best_in_time->cost_ms) best_in_time = placement;
  }
  if (in_time_has_room) best = best_in_time;
  if (!best) return std::nullopt;
  return to_placement(costs, *best, usable.size());
}

PrefillReference prefill_reference(MonotonicTime now, const EngineDirectory& engines,
                                   const EngineView& engine, std::uint64_t prefill_tokens) {
  const EngineModel& model = engines.model_of(engine.record.service);
  const PromptCosts costs{now, model, engines.average_prefill_tokens(), false};
  return {model.prefill().prefill_ms(static_cast<double>(prefill_tokens)),
          work_ahead_ms(costs, engine) * model.work_ahead().share()};
}

}  // namespace shuntbank::relay
