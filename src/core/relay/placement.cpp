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
  if (listed(query.avoid, record.id)) return false;
  if (query.apart_from != nullptr && query.apart_from->count(engine.key) > 0) return false;
  return query.max_connections_here == 0 || engine.in_flight < query.max_connections_here;
}

/// The engines that may be chosen; those that are avoided for their failures only when no other is
/// left.
std::vector<EngineView*> candidates(MonotonicTime now, EngineDirectory& engines,
                                    const PlacementQuery& query) {
  std::vector<EngineView*> sound;
  std::vector<EngineView*> avoided;
  for (EngineView* engine : engines.find_by_service(query.service->name)) {
    if (!is_candidate(now, *engine, query)) continue;
    (engine->backoff_until > now ? avoided : sound).push_back(engine);
  }
  return sound.empty() ? avoided : sound;
}

double rendezvous_weight(std::uint64_t part, const EngineId& engine) {
  return static_cast<double>(hash64(engine.value(), part));
}

/// @return the engine that all nodes take for the home of the prompt's shared part, or null.
const EngineView* home_of(const std::vector<EngineView*>& engines, const PromptShape& prompt) {
  const auto part = prompt.shared_part();
  if (!part || engines.empty()) return nullptr;
  return *std::max_element(engines.begin(), engines.end(),
                           [&](const EngineView* left, const EngineView* right) {
                             return rendezvous_weight(*part, left->record.id) <
                                    rendezvous_weight(*part, right->record.id);
                           });
}

/// @return tokens of the prompt that this node knows to be kept at an engine.
std::uint64_t kept_at(const EngineView& engine, const PromptShape& prompt) {
  return std::min(prompt.prompt_tokens, engine.cache.cached_tokens(prompt));
}

/// @return tokens of the prompt that other requests may share.
std::uint64_t shared_tokens(const PromptShape& prompt) {
  if (prompt.parts.empty()) return 0;
  return prompt.prompt_tokens - std::min(prompt.prompt_tokens, prompt.parts.back().tokens);
}

/// The engine that keeps most of a prompt, whatever its stage and load.
struct FetchSource {
  const EngineView* engine = nullptr;
  std::uint64_t kept = 0;
};

FetchSource best_source(MonotonicTime now, EngineDirectory& engines, const PlacementQuery& query) {
  FetchSource best;
  for (const EngineView* engine : engines.find_by_service(query.service->name)) {
    if (engine->backoff_until > now || listed(query.avoid, engine->record.id)) continue;
    const std::uint64_t kept = kept_at(*engine, *query.prompt);
    if (kept > best.kept) best = {engine, kept};
  }
  return best;
}

/// What the costs of one choice rest on; the engines of a service share their model.
struct PromptCosts {
  MonotonicTime now;
  const EngineModel& model;
  double usual_unread_tokens;
  bool deferred;  ///< The prompt waits behind all that can be answered in time.
};

/// @return milliseconds until the engine has read all that comes before another prompt.
double waiting_ms(const PromptCosts& costs, const EngineView& engine) {
  const bool prefill = engine.record.stage == EngineStage::kPrefill;
  auto all = static_cast<double>(engine.prefill_tokens);
  auto behind = static_cast<double>(engine.deferred_tokens);
  if (engine.peer_load) {
    all += static_cast<double>(engine.peer_load->unread_tokens);
    behind += static_cast<double>(engine.peer_load->deferred_tokens);
  } else if (prefill) {
    all += engine.peer_requests(costs.now) * costs.usual_unread_tokens;
  }
  const double ahead = costs.deferred ? all : std::max(0.0, all - behind);
  const PrefillModel& reading = costs.model.prefill();
  if (!prefill) return costs.model.decode_prefill_ms(ahead) - reading.setup_ms();
  const double share = all > 0 ? ahead / all : 1;
  return engine.total_requests(costs.now) * share * reading.setup_ms() + ahead * reading.token_ms();
}

/// @return a number from 0 to 1 that differs from prompt to prompt and from engine to engine.
double lot(const PromptShape& prompt, const EngineView& engine) {
  if (prompt.parts.empty()) return 0;
  return hash_fraction(engine.record.id.value(), prompt.parts.back().id);
}

/// All nodes see the same engine idle until the next view. By so much, in milliseconds, the costs
/// are varied by lot: about the work that busy engines get within the age of a view, and nothing
/// where engines stand idle.
double herd_spread_ms(const PromptCosts& costs, const EngineDirectory& engines,
                      const std::vector<EngineView*>& candidates) {
  const double age_ms = to_ms(engines.shared_view_age());
  if (age_ms <= 0 || candidates.empty()) return 0;
  double waiting = 0;
  for (const EngineView* engine : candidates) waiting += waiting_ms(costs, *engine);
  return std::min(age_ms, std::max(0.0, waiting / static_cast<double>(candidates.size())));
}

/// A batch that is nearly full costs as much as reading a usual prompt, a full one many times that.
double crowding_ms(const PromptCosts& costs, const EngineView& engine) {
  constexpr double kFullBatch = 20;
  const double usual_ms = costs.model.prefill().prefill_ms(costs.usual_unread_tokens);
  const double fill = engine.total_requests(costs.now) / std::max(1U, engine.record.slots);
  return usual_ms * (fill < 1 ? fill : kFullBatch * fill);
}

/// @return milliseconds until the engine will have read a prompt that is sent there now.
double reading_wait_ms(const PromptCosts& costs, const EngineView& engine, std::uint64_t unread) {
  const auto tokens = static_cast<double>(unread);
  const bool prefill = engine.record.stage == EngineStage::kPrefill;
  const double reading =
      prefill ? costs.model.prefill().prefill_ms(tokens) : costs.model.decode_prefill_ms(tokens);
  return waiting_ms(costs, engine) + reading;
}

/// @return what speaks against an engine whose streams are many or slow, in milliseconds.
double busy_streams_ms(const PromptCosts& costs, const EngineView& engine) {
  if (engine.record.stage == EngineStage::kPrefill) return 0;
  const double free_pace = costs.model.unloaded_event_interval_ms();
  return crowding_ms(costs, engine) + engine.recent_event_interval_ms(costs.now, free_pace) -
         free_pace;
}

double plain_cost(MonotonicTime now, const EngineView& engine, const PlacementSettings& settings) {
  const double each = engine.latency_ms > 0 ? engine.latency_ms : settings.plain_request_ms;
  const double slots = std::max(1U, engine.record.slots);
  const double there = engine.total_requests(now);
  return each * (1 + there / slots + std::max(0.0, there + 1 - slots));
}

/// Fills in what a model engine would have to read, fetching parts where that is quicker.
void place_prompt(const PromptCosts& costs, const EngineView& engine, const PlacementQuery& query,
                  const PlacementSettings& settings, bool home, const FetchSource& source,
                  Placement& placement) {
  const PromptShape& prompt = *query.prompt;
  const EngineModel& model = costs.model;
  const std::uint64_t kept = kept_at(engine, prompt);
  std::uint64_t assumed = kept;
  // After a restart, the prefill engine that is the home of a part which no engine is known to keep
  // most likely keeps it.
  const bool first_reading = home && source.kept == 0;
  const bool may_keep_more = query.engines_may_keep_more && query.stage == EngineStage::kPrefill;
  if (first_reading && may_keep_more) assumed = std::max(kept, shared_tokens(prompt));
  placement.unread_tokens = prompt.prompt_tokens - assumed;
  placement.expected_ms = reading_wait_ms(costs, engine, placement.unread_tokens);
  placement.cost_ms = placement.expected_ms + busy_streams_ms(costs, engine);
  if (home) {
    placement.cost_ms -= settings.home_share * static_cast<double>(shared_tokens(prompt)) *
                         model.prefill().token_ms();
  }
  const bool useful = source.engine != nullptr && source.engine != &engine &&
                      source.kept >= kept + settings.least_fetched_tokens;
  if (!useful || !query.service->model) return;
  const std::uint64_t saved = source.kept - kept;
  const std::uint64_t unread = prompt.prompt_tokens - source.kept;
  const double moving = model.fetch_setup_ms() + query.service->model->move_ms(saved);
  const double reading = static_cast<double>(saved) * model.prefill().token_ms();
  if (moving >= reading) return;
  placement.unread_tokens = unread;
  placement.expected_ms += moving - reading;
  placement.cost_ms += moving - reading;
  placement.fetch_from = source.engine->record.id;
}

}  // namespace

std::optional<Placement> place(MonotonicTime now, EngineDirectory& engines,
                               const PlacementQuery& query, const PlacementSettings& settings) {
  const auto sound = candidates(now, engines, query);
  const EngineView* home = query.prompt != nullptr ? home_of(sound, *query.prompt) : nullptr;
  const FetchSource source =
      query.prompt != nullptr ? best_source(now, engines, query) : FetchSource{};
  const PromptCosts costs{now, std::as_const(engines).model_of(query.service->name),
                          engines.average_prefill_tokens(), query.deferred};
  const double spread_ms = query.prompt != nullptr ? herd_spread_ms(costs, engines, sound) : 0;
  std::optional<Placement> best;
  for (const EngineView* engine : sound) {
    Placement placement;
    placement.engine = engine->record.id;
    placement.candidates = sound.size();
    if (query.prompt != nullptr) {
      place_prompt(costs, *engine, query, settings, engine == home, source, placement);
      placement.cost_ms += spread_ms * lot(*query.prompt, *engine);
    } else {
      placement.expected_ms = plain_cost(now, *engine, settings);
      placement.cost_ms = placement.expected_ms;
    }
    const double permit_ms = to_ms(engine->permit_wait(now));
    placement.expected_ms += permit_ms;
    placement.cost_ms += permit_ms;
    if (permit_ms > 0 && placement.expected_ms > query.most_expected_ms) continue;
    placement.cost_ms += engine->failure_rate * settings.failure_cost_ms;
    if (engine->record.zone != query.zone) placement.cost_ms += settings.other_zone_ms;
    if (query.may_end_engine) {
      placement.cost_ms += settings.bystander_ms * engine->total_requests(now);
    }
    if (!best || placement.cost_ms < best->cost_ms) best = placement;
  }
  return best;
}

}  // namespace shuntbank::relay
