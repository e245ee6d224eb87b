/// @file
/// What a node believes of each engine it may use: role, availability, its own work in flight there
/// and late load reports.
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

/// Whether an engine may be given new requests.
enum class Availability {
  kServing,
  kDraining,  ///< Finishes what it has; takes nothing new.
  kChanging,  ///< Changing its role or models.
  kDown,      ///< Does not answer its controller.
};

/// @return the name of `availability` in logs, messages and status.
const char* to_text(Availability availability);

/// @return the availability of that name, if there is one.
std::optional<Availability> parse_availability(const std::string& text);

/// What the controller of a service says of an engine. Spread to all nodes; the stamp orders it.
struct EngineFact {
  EngineId engine;
  OrderStamp stamp;
  std::uint32_t version = 0;  ///< Orders facts under one stamp.
  EngineRole role = EngineRole::kMixed;
  Availability availability = Availability::kServing;

  bool operator==(const EngineFact&) const = default;
};

/// @return whether `candidate` replaces `known`.
bool is_newer(const EngineFact& candidate, const EngineFact& known);

/// An engine's own report of its load. Arrives late.
struct LoadReport {
  std::uint32_t running = 0;         ///< Requests in the batch.
  std::uint32_t waiting = 0;         ///< Requests not yet in the batch.
  std::uint64_t waiting_tokens = 0;  ///< Prompt tokens still to prefill.
};

/// One engine as a node sees it.
struct EngineEntry {
  EngineRole role = EngineRole::kMixed;
  Availability availability = Availability::kServing;
  ZoneName zone;
  std::uint32_t in_flight = 0;  ///< Requests of this node there.
  std::uint64_t in_flight_prefill_tokens =
      0;                                  ///< Prompt tokens of this node there, not yet answered.
  std::uint32_t peer_requests = 0;        ///< Requests of other nodes, by the last report.
  std::uint64_t peer_prefill_tokens = 0;  ///< Prompt tokens of other nodes, by the last report.
  MonotonicTime reported_at{};
  std::optional<MonotonicTime> backoff_until;
  std::uint32_t consecutive_failures = 0;  ///< In a row, for the backoff.
  bool machine_draining = false;
  PrefixCache cached_prefixes;
};

/// All engines of the configuration.
class EngineTable {
 public:
  /// Adds an engine or updates its zone; keeps what is known of it.
  void upsert(const EngineId& engine, const ZoneName& zone);

  /// Forgets engines that are not in `kept`.
  void retain(const std::vector<EngineId>& engines);

  /// @return the entry, or null.
  EngineEntry* find(const EngineId& engine);
  const EngineEntry* find(const EngineId& engine) const;

  /// Takes over the controller's word on role and availability.
  void apply(const EngineFact& fact);

  /// A load report arrived, as of about now.
  void on_load_report(MonotonicTime now, const EngineId& engine, const LoadReport& report);

  /// A dispatch failed: the engine is avoided for a while that doubles with each failure in a row.
  void on_failure(MonotonicTime now, const EngineId& engine);

  /// A dispatch was answered.
  void on_success(const EngineId& engine);

  /// The engine's machine is on the list of leaving machines, or no longer is.
  void set_machine_draining(const EngineId& engine, bool draining);

  /// @return whether new requests may go there now.
  bool is_eligible(MonotonicTime now, const EngineEntry& entry) const;

  const std::unordered_map<EngineId, EngineEntry>& entries() const { return entries_; }

 private:
  std::unordered_map<EngineId, EngineEntry> entries_;
};

}  // namespace shuntbank
