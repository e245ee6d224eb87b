/// @file
/// Fair shares of the tenants by tokens served, after the virtual token counters of VTC (Sheng et
/// al., "Fairness in Serving Large Language Models", OSDI 2024).
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// Weighted tokens served by tenant. Reports of several nodes add up.
using ServedByTenant = std::map<TenantName, std::uint64_t>;

/// Adds `more` to `sum`, saturating at a bound, as a forged report may hold any value.
void add_served(ServedByTenant& sum, const ServedByTenant& more);

/// @return the weighted tokens of a request: an output token counts as ten prompt tokens.
std::uint64_t weighted_tokens(std::uint64_t prompt_tokens, std::uint64_t output_tokens);

/// Collects served tokens for the next message to other nodes. Tenants that do not fit into a
/// message stay for the next one.
class ServedReport {
 public:
  /// @param own_interval between two messages with served tokens.
  /// @param own_max_tenants in one message; those with the most tokens come first.
  ServedReport(Duration own_interval, std::size_t own_max_tenants)
      : interval(own_interval), max_tenants(own_max_tenants) {}

  void add(const ServedByTenant& served) { add_served(this->pending, served); }

  /// @return the tokens to report now; empty if the last report is too recent.
  ServedByTenant take(MonotonicTime now);

 private:
  Duration interval;
  std::size_t max_tenants;
  ServedByTenant pending;
  MonotonicTime last_taken_at{};
};

/// Interval between two reports of served tokens, of nodes and collectors. Short in relation to the
/// half-life of the counters.
constexpr Duration kServedReportInterval = std::chrono::seconds(2);

/// Tenants in one report of a node, which serves some ten requests in the interval, and in one of a
/// collector.
constexpr std::size_t kMaxServedByNode = 16;
constexpr std::size_t kMaxServedByZone = 32;

/// The service that the tenants have got from all nodes, as far as this one knows. All tenants have
/// equal shares. Without at least two declared tenants there is one share for all.
class FairShares {
 public:
  /// Sets the tenants of the configuration. Counters of the others are dropped.
  void declare(const std::vector<TenantName>& tenants);

  bool enabled() const { return this->counters.size() > 1; }

  /// A request of the tenant has arrived. A tenant that becomes active is lifted to the lowest
  /// counter of the active ones, so that it cannot claim the service that it did not use.
  void on_request(MonotonicTime now, const TenantName& tenant);

  /// This node has served a request of the tenant.
  void on_served(MonotonicTime now, const TenantName& tenant, std::uint64_t tokens);

  /// Other nodes have served requests. Undeclared tenants are ignored.
  void on_peer_served(MonotonicTime now, const ServedByTenant& served);

  /// @return the tenant's recent service over its equal share among the active tenants; 1 if there
  /// are no shares.
  double share_ratio(MonotonicTime now, const TenantName& tenant);

  bool above_share(MonotonicTime now, const TenantName& tenant) {
    return this->share_ratio(now, tenant) > 1;
  }

  /// @return the share of the usable wait that the tenant's requests may take in a shortage, from
  /// a tenth to 1. Those that would wait longer are put behind, so that the rest of the wait is
  /// left to tenants below their share while engines never run out of work.
  double wait_share(MonotonicTime now, const TenantName& tenant);

  /// @return the tokens that this node has served and other nodes do not know of yet, if a report
  /// is due.
  ServedByTenant take_served(MonotonicTime now) { return this->report.take(now); }

 private:
  struct Counter {
    double tokens = 0;  ///< As of `decayed_at`.
    MonotonicTime active_until{};
  };

  void refresh(MonotonicTime now);
  void activate(MonotonicTime now, Counter& counter);
  void count(MonotonicTime now, const TenantName& tenant, std::uint64_t tokens);

  std::map<TenantName, Counter> counters;
  MonotonicTime decayed_at{};
  MonotonicTime refreshed_at{};
  double equal_share = 0;
  ServedReport report{kServedReportInterval, kMaxServedByNode};
};

}  // namespace shuntbank::relay
