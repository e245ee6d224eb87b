/// @file
/// Choice of an engine for one request.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/routing/engine_table.hpp"

namespace shuntbank {

/// How an engine is chosen.
enum class RoutingStrategy {
  kRoundRobin,
  kLeastInFlight,
  kPowerOfTwoChoices,
  kPrefixAffinity,  ///< Lowest expected wait among a few candidates, given expected cache hits.
};

/// The strategy and the parameters of the expected wait, for which rough estimates suffice.
struct RoutingSettings {
  RoutingStrategy strategy = RoutingStrategy::kPrefixAffinity;
  double prefill_tokens_per_second = 8000;
  double wait_per_running_request = 0.004;              ///< Seconds per running request.
  double cross_zone_penalty = 0.002;                    ///< Seconds.
  Duration report_half_life = std::chrono::seconds(2);  ///< Half-life of the weight of a report.
  std::size_t affinity_candidates = 3;  ///< Engines preferred for a prefix, by hash.
  std::size_t random_candidates = 2;    ///< Additional engines, chosen at random.
};

/// Routing input for one request.
struct RouteQuery {
  const std::vector<EngineId>* engines = nullptr;           ///< Engines of the service.
  const std::vector<EngineId>* excluded_engines = nullptr;  ///< Already tried; a last resort.
  const std::vector<std::uint64_t>* prefix = nullptr;  ///< Block hashes of the prompt; may be null.
  EngineRole wanted_role = EngineRole::kMixed;
  bool any_role = true;  ///< For services without roles.
  std::uint64_t prompt_tokens = 0;
  ZoneName zone;  ///< Zone of this node.
};

/// Chooses engines. Not thread-safe.
class Router {
 public:
  Router(const RoutingSettings& settings, std::uint64_t seed);

  /// @return the chosen engine, or nothing when none is eligible.
  std::optional<EngineId> choose(MonotonicTime now, const EngineTable& table,
                                 const RouteQuery& query);

  /// @return the expected time to first token at an engine, in seconds.
  double expected_wait(MonotonicTime now, const EngineEntry& entry, const RouteQuery& query) const;

 private:
  struct Candidate {
    const EngineId* id;
    const EngineEntry* entry;
  };

  std::vector<Candidate> eligible(MonotonicTime now, const EngineTable& table,
                                  const RouteQuery& query, bool exclude) const;
  std::vector<Candidate> shortlist(std::vector<Candidate> candidates, const RouteQuery& query);
  Candidate least_in_flight(const std::vector<Candidate>& candidates) const;

  RoutingSettings settings_;
  std::mt19937_64 random_;
  std::uint64_t next_round_robin_ = 0;
};

}  // namespace shuntbank
