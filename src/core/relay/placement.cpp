#include "core/relay/placement.hpp"

#include <algorithm>
#include <string>

#include "common/hash.hpp"

namespace shuntbank::relay {
namespace {

bool listed(const std::vector<EngineId>* engines, const EngineId& id) {
  return engines != nullptr && std::find(engines->begin(), engines->end(), id) != engines->end();
}

bool is_candidate(const EngineView& engine, const PlacementQuery& query) {
  const EngineRecord& record = engine.record;
  if (record.draining || record.stage != query.stage) return false;
  if (listed(query.avoid, record.id)) return false;
  return query.max_connections_here == 0 || engine.in_flight < query.max_connections_here;
}

/// The engines that may be chosen; those that are avoided for their failures only when no other is
/// left.
std::vector<EngineView*> candidates(MonotonicTime now, EngineDirectory& engines,
                                    const PlacementQuery& query) {
  std::vector<EngineView*> sound;
  std::vector<EngineView*> avoided;
  for (EngineView* engine : engines.of_service(query.service->name)) {
    if (!is_candidate(*engine, query)) continue;
    (engine->avoided_until > now ? avoided : sound).push_back(engine);
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

std::uint64_t unread_tokens(const EngineView& engine, const PromptShape& prompt, bool home) {
  std::uint64_t cached = engine.cache.cached_tokens(prompt);
  // Other nodes send such prompts to the home as well, so that it most likely keeps them.
  if (home && !prompt.parts.empty()) {
    cached = std::max(cached, prompt.prompt_tokens - std::min(prompt.prompt_tokens,
                                                              prompt.parts.back().tokens));
  }
  return prompt.prompt_tokens - std::min(prompt.prompt_tokens, cached);
}

double model_cost(MonotonicTime now, const EngineDirectory& engines, const EngineView& engine,
                  std::uint64_t unread, const PlacementSettings& settings) {
  auto waiting = static_cast<double>(unread + engine.unread_tokens);
  if (engine.peers) waiting += static_cast<double>(engine.peers->unread_tokens);
  if (engine.record.stage == EngineStage::kPrefill) {
    if (!engine.peers) waiting += engine.others_there(now) * engines.usual_unread_tokens();
    return waiting / engines.reading_speed();
  }
  return waiting / (engines.reading_speed() * settings.decode_reading_share) +
         engine.requests_there(now) * settings.request_cost_ms;
}

double plain_cost(MonotonicTime now, const EngineView& engine, const PlacementSettings& settings) {
  const double each = engine.latency_ms > 0 ? engine.latency_ms : settings.plain_request_ms;
  const double slots = std::max(1U, engine.record.slots);
  const double there = engine.requests_there(now);
  return each * (1 + there / slots + std::max(0.0, there + 1 - slots));
}

}  // namespace

std::optional<Placement> place(MonotonicTime now, EngineDirectory& engines,
                               const PlacementQuery& query, const PlacementSettings& settings) {
  const auto sound = candidates(now, engines, query);
  const EngineView* home = query.prompt != nullptr ? home_of(sound, *query.prompt) : nullptr;
  std::optional<Placement> best;
  for (const EngineView* engine : sound) {
    Placement placement;
    placement.engine = engine->record.id;
    placement.candidates = sound.size();
    if (query.prompt != nullptr) {
      placement.unread_tokens = unread_tokens(*engine, *query.prompt, engine == home);
      placement.cost_ms = model_cost(now, engines, *engine, placement.unread_tokens, settings);
    } else {
      placement.cost_ms = plain_cost(now, *engine, settings);
    }
    placement.cost_ms += engine->failure_share * settings.failure_cost_ms;
    if (engine->record.zone != query.zone) placement.cost_ms += settings.other_zone_ms;
    if (!best || placement.cost_ms < best->cost_ms) best = placement;
  }
  return best;
}

}  // namespace shuntbank::relay
