/// @file
/// The choice of an engine for one request.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/routing/engine_table.hpp"

namespace shuntbank {

/// Ways of choosing that were weighed; docs/design holds the figures.
enum class RoutingStrategy {
  kRoundRobin,
  kLeastInFlight,
  kPowerOfTwoChoices,
  kPrefixAffinity,  ///< Expected wait less expected cache hit over a few candidates. The default.
};

/// Speeds that the expected wait is worked out from. They need only be roughly right.
struct RoutingSettings {
  RoutingStrategy strategy = RoutingStrategy::kPrefixAffinity;
  double prefill_tokens_per_second = 8000;
  double wait_per_running_request = 0.004;  ///< Seconds that one more running request adds.
  double cross_zone_penalty = 0.002;        ///< Seconds.
  Duration report_half_life = std::chrono::seconds(2);  ///< An old report fades at this rate.
  std::size_t affinity_candidates = 3;                  ///< Engines that a prefix is steered to.
  std::size_t random_candidates = 2;                    ///< Engines that are looked at besides.
};

/// A request as the router sees it.
struct RouteQuery {
  const std::vector<EngineId>* engines = nullptr;  ///< Engines of the service.
  const std::vector<EngineId>* excluded_engines =
      nullptr;  ///< Tried already; used only if none else is left.
  const std::vector<std::uint64_t>* prefix = nullptr;  ///< Block hashes of the prompt; may be null.
  EngineRole wanted_role = EngineRole::kMixed;
  bool any_role = true;  ///< Plain services: roles mean nothing.
  std::uint64_t prompt_tokens = 0;
  ZoneName zone;  ///< Where the node is.
};

/// Chooses engines. Not thread safe.
class Router {
 public:
  Router(const RoutingSettings& settings, std::uint64_t seed);

  /// @return the engine to use, or nothing when none is eligible.
  std::optional<EngineId> choose(MonotonicTime now, const EngineTable& table,
                                 const RouteQuery& query);

  /// @return the expected seconds until the first token, for one engine.
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
