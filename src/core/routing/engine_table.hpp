/// @file
/// State of each engine as known to a node: role, availability, own work in flight and load
/// reports.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "config/objects.hpp"
#include "core/lease/order.hpp"
#include "core/routing/prefix_cache.hpp"

namespace shuntbank {

/// Whether an engine accepts new requests.
enum class Availability {
  kServing,
  kDraining,  ///< Finishes its requests; accepts no new ones.
  kChanging,  ///< Changing its role or models.
  kDown,      ///< Does not answer its controller.
};

/// @return the name of `availability` in logs, messages and status.
const char* to_text(Availability availability);

/// @return the availability named `text`, if any.
std::optional<Availability> parse_availability(const std::string& text);

/// Role and availability of an engine, published by its controller. Ordered by stamp and version.
struct EngineFact {
  EngineId engine;
  OrderStamp stamp;
  std::uint32_t version = 0;  ///< Of two facts with equal stamps, the higher version is newer.
  EngineRole role = EngineRole::kMixed;
  Availability availability = Availability::kServing;

  bool operator==(const EngineFact&) const = default;
};

/// @return whether `candidate` replaces `known`.
bool is_newer(const EngineFact& candidate, const EngineFact& known);

/// Load reported by an engine, with delay.
struct LoadReport {
  std::uint32_t running = 0;         ///< Requests in the batch.
  std::uint32_t waiting = 0;         ///< Queued requests.
  std::uint64_t waiting_tokens = 0;  ///< Prompt tokens not yet prefilled.
};

/// State of one engine.
struct EngineEntry {
  EngineRole role = EngineRole::kMixed;
  Availability availability = Availability::kServing;
  ZoneName zone;
  std::uint32_t in_flight = 0;                 ///< Requests of this node.
  std::uint64_t in_flight_prefill_tokens = 0;  ///< Of this node, until prefilled.
  std::uint32_t peer_requests = 0;             ///< Of other nodes, by the last report.
  std::uint64_t peer_prefill_tokens = 0;  ///< Of other nodes' waiting requests, by the last report.
  MonotonicTime reported_at{};
  std::optional<MonotonicTime> backoff_until;
  std::uint32_t consecutive_failures = 0;  ///< Determines the backoff.
  bool machine_draining = false;
  PrefixCache cached_prefixes;
};

/// All configured engines.
class EngineTable {
 public:
  /// Adds an engine, or updates the zone of a known one.
  void upsert(const EngineId& engine, const ZoneName& zone);

  /// Removes engines that are not in `engines`.
  void retain(const std::vector<EngineId>& engines);

  /// @return the entry, or null.
  EngineEntry* find(const EngineId& engine);
  const EngineEntry* find(const EngineId& engine) const;

  /// Applies the role and availability published by the controller.
  void apply(const EngineFact& fact);

  /// Records a load report received at `now`.
  void on_load_report(MonotonicTime now, const EngineId& engine, const LoadReport& report);

  /// A dispatch failed: starts a backoff that doubles with each consecutive failure.
  void on_failure(MonotonicTime now, const EngineId& engine);

  /// A dispatch was answered.
  void on_success(const EngineId& engine);

  /// The engine's machine is marked as leaving, or no longer is.
  void set_machine_draining(const EngineId& engine, bool draining);

  /// @return whether new requests may be sent to the engine now.
  bool is_eligible(MonotonicTime now, const EngineEntry& entry) const;

  const std::unordered_map<EngineId, EngineEntry>& entries() const { return entries_; }

 private:
  std::unordered_map<EngineId, EngineEntry> entries_;
};

}  // namespace shuntbank
