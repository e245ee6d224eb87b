/// @file
/// Admission under the quotas of tenants. A quota applies to all nodes together, so one node owns
/// each tenant's quota and admits requests one by one; the other nodes ask it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "core/relay/permit_schedule.hpp"
#include "protocol/quota_message.hpp"
#include "relay/limit_ownership.hpp"
#include "relay/relay_metrics.hpp"

namespace shuntbank::relay {

/// A request under a quota.
struct QuotaRequest {
  TenantName tenant;
  QuotaTerms terms;
  double cost = 0;

  bool operator==(const QuotaRequest&) const = default;
};

/// Whether a request is admitted.
struct QuotaDecision {
  bool granted = false;
  Duration retry_after{};  ///< If not granted: time until the quota admits the request.

  bool operator==(const QuotaDecision&) const = default;
};

/// Admits the requests of this node, and decides for the quotas that it owns.
class TenantQuotas {
 public:
  /// Called once.
  using Handler = std::function<void(const QuotaDecision&)>;

  /// @param seed distinguishes this process from earlier ones of the same node.
  TenantQuotas(Runtime& own_runtime, RelayMetrics& own_metrics, std::uint64_t seed);

  /// Connects to the other nodes. A node that is never connected owns all quotas.
  void connect(const NodeId& own_name, PermitPeers& others);
  void disconnect() { this->ownership.disconnect(); }
  void set_nodes(std::vector<NodeId> nodes) { this->ownership.set_nodes(std::move(nodes)); }

  /// Asks for admission of a request that may run once. The handler may run before this returns.
  void acquire(const QuotaRequest& request, Handler handler);

  /// Returns a grant whose request has not run and never will.
  void release(const QuotaRequest& request);

  /// Handle messages of other nodes.
  void on_call(const QuotaCall& call);
  void on_answer(const QuotaAnswer& answer);

 private:
  /// A tenant's quota as known to this node.
  struct Quota {
    QuotaTerms terms;
    PermitSchedule grants;       ///< Used if this node owns the quota.
    MonotonicTime settled_at{};  ///< When a new owner knows which nodes it reaches.
    PermitSchedule returns;      ///< Spreads the return of refused callers; likewise.
    PermitSchedule fallback;     ///< Grants of this node's share while no owner answers.
    MonotonicTime last_fallback_at{};
    MonotonicTime last_used_at{};
    double unsettled = 0;  ///< To report to the owner; see `QuotaCall::unsettled`.
  };
  struct PendingCall {
    QuotaRequest request;
    Handler handler;
    int asks = 0;  ///< Calls sent.
    std::unique_ptr<Timer> timer;
  };
  struct Decision {
    QuotaVerdict verdict = QuotaVerdict::kNotOwner;
    Duration retry_in{};
  };

  void tick();
  void expire_idle();
  void settle(const TenantName& tenant, Quota& quota);
  void probe_owner(const TenantName& tenant, const Quota& quota);
  Quota& quota(const TenantName& tenant, const QuotaTerms& terms);
  static void update_terms(MonotonicTime now, Quota& quota, const QuotaTerms& terms);
  /// @return whether this node owns the quota. Prepares the schedules of a new owner.
  bool is_owner(const TenantName& tenant, Quota& quota);
  PermitRate owner_rate(const Quota& quota) const;
  Decision decide(const QuotaRequest& request);
  void ask(std::uint64_t number);
  void ask_again(std::uint64_t number);
  void finish(std::uint64_t number, const QuotaDecision& decision, const char* outcome);
  QuotaDecision decide_by_share(const QuotaRequest& request);
  void send_call(const NodeId& node, std::uint64_t number, const QuotaRequest& request,
                 double unsettled);

  Runtime& runtime;
  RelayMetrics& metrics;
  std::uint64_t boot_id;
  MonotonicTime started_at;
  LimitOwnership ownership;
  std::unordered_map<TenantName, Quota> quotas;
  std::map<std::uint64_t, PendingCall> pending_calls;
  std::uint64_t last_number = 0;
  std::unique_ptr<Periodic> ticker;
};

}  // namespace shuntbank::relay
