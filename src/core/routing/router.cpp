#include "core/routing/router.hpp"

#include <algorithm>
#include <cmath>

#include "common/hash.hpp"

namespace shuntbank {
namespace {

/// Prompt tokens per cached block, at about four characters per token.
constexpr double kTokensPerBlock = kPrefixBlockCharacters / 4.0;

bool contains(const std::vector<EngineId>* list, const EngineId& engine) {
  return list != nullptr && std::find(list->begin(), list->end(), engine) != list->end();
}

bool matches_role(const EngineEntry& entry, const RouteQuery& query) {
  return query.any_role || entry.role == query.wanted_role;
}

}  // namespace

Router::Router(const RoutingSettings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed) {}

std::optional<EngineId> Router::choose(MonotonicTime now, const EngineTable& table,
                                       const RouteQuery& query) {
  std::vector<Candidate> candidates = eligible(now, table, query, true);
  if (candidates.empty()) candidates = eligible(now, table, query, false);
  if (candidates.empty()) return std::nullopt;
  switch (settings_.strategy) {
    case RoutingStrategy::kRoundRobin:
      return *candidates[next_round_robin_++ % candidates.size()].id;
    case RoutingStrategy::kLeastInFlight:
      return *least_in_flight(candidates).id;
    case RoutingStrategy::kPowerOfTwoChoices: {
      const Candidate& first = candidates[random_() % candidates.size()];
      const Candidate& second = candidates[random_() % candidates.size()];
      return *least_in_flight({first, second}).id;
    }
    case RoutingStrategy::kPrefixAffinity:
      break;
  }
  candidates = shortlist(std::move(candidates), query);
  const auto best = std::min_element(
      candidates.begin(), candidates.end(), [&](const Candidate& a, const Candidate& b) {
        return expected_wait(now, *a.entry, query) < expected_wait(now, *b.entry, query);
      });
  return *best->id;
}

std::vector<Router::Candidate> Router::eligible(MonotonicTime now, const EngineTable& table,
                                                const RouteQuery& query, bool exclude) const {
  std::vector<Candidate> candidates;
  candidates.reserve(query.engines->size());
  for (const EngineId& engine : *query.engines) {
    const EngineEntry* entry = table.find(engine);
    if (entry == nullptr || !table.is_eligible(now, *entry) || !matches_role(*entry, query))
      continue;
    if (exclude && contains(query.excluded_engines, engine)) continue;
    candidates.push_back({&engine, entry});
  }
  return candidates;
}

std::vector<Router::Candidate> Router::shortlist(std::vector<Candidate> candidates,
                                                 const RouteQuery& query) {
  const std::size_t limit = settings_.affinity_candidates + settings_.random_candidates;
  if (candidates.size() <= limit) return candidates;
  std::size_t selected = 0;
  if (query.prefix != nullptr && !query.prefix->empty()) {
    selected = settings_.affinity_candidates;
    const std::uint64_t seed = query.prefix->front();
    const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(selected);
    std::partial_sort(candidates.begin(), middle, candidates.end(),
                      [seed](const Candidate& a, const Candidate& b) {
                        return hash64(a.id->value(), seed) > hash64(b.id->value(), seed);
                      });
  }
  for (; selected < limit; ++selected) {
    const std::size_t pick = selected + random_() % (candidates.size() - selected);
    std::swap(candidates[selected], candidates[pick]);
  }
  candidates.resize(limit);
  return candidates;
}

Router::Candidate Router::least_in_flight(const std::vector<Candidate>& candidates) const {
  return *std::min_element(candidates.begin(), candidates.end(),
                           [](const Candidate& a, const Candidate& b) {
                             return a.entry->in_flight < b.entry->in_flight;
                           });
}

double Router::expected_wait(MonotonicTime now, const EngineEntry& entry,
                             const RouteQuery& query) const {
  const double age = to_seconds(now - entry.reported_at);
  const double decay = std::exp2(-age / to_seconds(settings_.report_half_life));
  const double running = entry.in_flight + decay * entry.peer_requests;
  const double queued_prefill = static_cast<double>(entry.in_flight_prefill_tokens) +
                                decay * static_cast<double>(entry.peer_prefill_tokens);
  const std::size_t matched_blocks =
      query.prefix == nullptr ? 0 : entry.cached_prefixes.longest_match(*query.prefix);
  const double cached_tokens = std::min(static_cast<double>(matched_blocks) * kTokensPerBlock,
                                        static_cast<double>(query.prompt_tokens));
  const double request_prefill = static_cast<double>(query.prompt_tokens) - cached_tokens;
  const double zone_penalty = entry.zone == query.zone ? 0.0 : settings_.cross_zone_penalty;
  return (queued_prefill + request_prefill) / settings_.prefill_tokens_per_second +
         running * settings_.wait_per_running_request + zone_penalty;
}

}  // namespace shuntbank
