#include "relay/tenant_quotas.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

/// Timeout of a call to a quota's owner. Round trips between regions take up to 100 ms.
constexpr Duration kCallTimeout = std::chrono::milliseconds(150);

/// Delay before a node that is not the owner is asked again: it may be about to take over.
constexpr Duration kAskAgainDelay = std::chrono::milliseconds(100);

/// Calls for one request; covers the time until a silent owner is replaced.
constexpr int kMaxAsks = 5;

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

/// Added to the fraction of the nodes that an owner reaches; it grants that fraction of the quota,
/// as the other nodes may have another owner. Covers nodes that are being restarted.
constexpr double kReachTolerance = 0.02;

/// Time until a node has noticed all nodes that it no longer reaches.
constexpr Duration kReachDelay = std::chrono::milliseconds(2500);

/// Upper bound on the share of a new owner during that time. It replaces a silent node, which may
/// still be the owner for others.
constexpr double kNewOwnerShare = 0.5;

/// Maximum delay before a refused caller may return; callers wait for a part of their deadline
/// only.
constexpr Duration kMaxReturnDelay = std::chrono::seconds(10);

/// Retry delay while this node does not know the other nodes yet.
constexpr Duration kUnconnectedRetryDelay = std::chrono::milliseconds(250);

/// After a pause this long, a new outage of the owner is assumed.
constexpr Duration kFallbackPause = std::chrono::seconds(5);

/// Unused quotas are dropped after this time, well after their bursts have been replenished.
constexpr Duration kIdleTimeout = std::chrono::seconds(120);

/// The namespace keeps quotas apart from the limits of engines with the same name.
std::string limit_name(const TenantName& tenant) {
  return "tenant/" + tenant.value();
}

PermitRate whole_rate(const QuotaTerms& terms) {
  return {terms.per_second, terms.burst};
}

PermitRate scaled(const QuotaTerms& terms, double share) {
  return {terms.per_second * share, terms.burst * share};
}

}  // namespace

TenantQuotas::TenantQuotas(Runtime& own_runtime, RelayMetrics& own_metrics, std::uint64_t seed)
    : runtime(own_runtime),
      metrics(own_metrics),
      boot_id(seed),
      started_at(own_runtime.now()),
      ownership(own_runtime) {}

void TenantQuotas::connect(const NodeId& own_name, PermitPeers& others) {
  this->ownership.connect(own_name, others);
  this->ticker = std::make_unique<Periodic>(this->runtime, kTickInterval, [this] { this->tick(); });
}

void TenantQuotas::tick() {
  this->ownership.tick();
  this->expire_idle();
  for (auto& [tenant, quota] : this->quotas) {
    this->settle(tenant, quota);
    for (const NodeId& node : this->ownership.nodes_to_probe(limit_name(tenant))) {
      this->send_call(node, 0, {tenant, quota.terms, 0}, 0);
    }
  }
}

void TenantQuotas::expire_idle() {
  const MonotonicTime now = this->runtime.now();
  std::erase_if(this->quotas, [&](const auto& entry) {
    if (now - entry.second.last_used_at < kIdleTimeout) return false;
    this->ownership.forget(limit_name(entry.first));
    return true;
  });
}

/// Sends the owner a call without a request, which it answers at once.
void TenantQuotas::probe_owner(const TenantName& tenant, const Quota& quota) {
  const auto owner = this->ownership.remote_owner(limit_name(tenant));
  if (owner) this->send_call(*owner, 0, {tenant, quota.terms, 0}, 0);
}

/// Applies unsettled costs if this node owns the quota. Otherwise they are reported once the owner
/// has answered, as a report to a node that is gone would be lost.
void TenantQuotas::settle(const TenantName& tenant, Quota& quota) {
  if (quota.unsettled == 0) return;
  if (!this->is_owner(tenant, quota)) return this->probe_owner(tenant, quota);
  const double cost = std::exchange(quota.unsettled, 0);
  quota.grants.charge(this->runtime.now(), this->owner_rate(quota), cost);
}

void TenantQuotas::release(const QuotaRequest& request) {
  Quota& quota = this->quota(request.tenant, request.terms);
  quota.unsettled -= request.cost;
  this->settle(request.tenant, quota);
}

TenantQuotas::Quota& TenantQuotas::quota(const TenantName& tenant, const QuotaTerms& terms) {
  const MonotonicTime now = this->runtime.now();
  const auto [entry, added] = this->quotas.try_emplace(tenant);
  Quota& quota = entry->second;
  quota.last_used_at = now;
  if (added) {
    quota.terms = terms;
    quota.grants.reset(this->started_at, whole_rate(terms));
  } else {
    update_terms(now, quota, terms);
  }
  return quota;
}

void TenantQuotas::update_terms(MonotonicTime now, Quota& quota, const QuotaTerms& terms) {
  if (terms.configuration <= quota.terms.configuration) return;
  const QuotaTerms previous = std::exchange(quota.terms, terms);
  if (terms.per_second < previous.per_second) {
    quota.grants.reset(now, whole_rate(terms));
    quota.returns = {};
  } else {
    quota.grants.change_rate(now, whole_rate(previous), whole_rate(terms));
    quota.returns.change_rate(now, whole_rate(previous), whole_rate(terms));
  }
}

bool TenantQuotas::is_owner(const TenantName& tenant, Quota& quota) {
  const LimitTenure tenure = this->ownership.tenure(limit_name(tenant));
  if (!tenure.is_new) return tenure.held;
  // The burst has been replenished since this node became the owner, not before.
  quota.grants.reset(*tenure.since, whole_rate(quota.terms));
  quota.returns = {};
  quota.settled_at = tenure.is_preferred ? MonotonicTime{} : *tenure.since + kReachDelay;
  log_event(LogArea::kControl, LogLevel::kInfo, "owns_quota",
            {{"tenant", tenant.value()},
             {"per_second", quota.terms.per_second},
             {"config", quota.terms.configuration},
             {"first", tenure.is_preferred}});
  return true;
}

PermitRate TenantQuotas::owner_rate(const Quota& quota) const {
  const bool is_settled = this->runtime.now() >= quota.settled_at;
  const double share =
      std::min(is_settled ? 1 : kNewOwnerShare, this->ownership.live_fraction() + kReachTolerance);
  return scaled(quota.terms, share);
}

/// Decides on a request if this node owns the quota.
TenantQuotas::Decision TenantQuotas::decide(const QuotaRequest& request) {
  Quota& quota = this->quota(request.tenant, request.terms);
  if (!this->is_owner(request.tenant, quota)) return {};
  const MonotonicTime now = this->runtime.now();
  const PermitRate rate = this->owner_rate(quota);
  if (quota.grants.take(now, rate, now, request.cost)) return {QuotaVerdict::kGranted, {}};
  const MonotonicTime latest = now + kMaxReturnDelay;
  const MonotonicTime next = std::min(quota.grants.next(now, rate), latest);
  const PermitRate without_burst{rate.per_second, 0};
  const auto return_at = quota.returns.take(next, without_burst, latest, request.cost);
  return {QuotaVerdict::kExceeded, return_at.value_or(latest) - now};
}

void TenantQuotas::acquire(const QuotaRequest& request, Handler handler) {
  const std::uint64_t number = ++this->last_number;
  PendingCall& pending = this->pending_calls[number];
  pending.request = request;
  pending.handler = std::move(handler);
  this->ask(number);
}

/// Asks the owner, or decides if this node is the owner or cannot reach one.
void TenantQuotas::ask(std::uint64_t number) {
  PendingCall& pending = this->pending_calls.at(number);
  const QuotaRequest& request = pending.request;
  const auto owner = this->ownership.remote_owner(limit_name(request.tenant));
  if (owner && pending.asks < kMaxAsks) {
    ++pending.asks;
    pending.timer = this->runtime.after(kCallTimeout, [this, number] { this->ask_again(number); });
    return this->send_call(*owner, number, request, 0);
  }
  const Decision decision = owner ? Decision{} : this->decide(request);
  if (decision.verdict == QuotaVerdict::kNotOwner) {
    const QuotaDecision by_share = this->decide_by_share(request);
    return this->finish(number, by_share, by_share.granted ? "granted_by_share" : "no_owner");
  }
  const bool granted = decision.verdict == QuotaVerdict::kGranted;
  this->finish(number, {granted, decision.retry_in}, granted ? "granted" : "exceeded");
}

void TenantQuotas::ask_again(std::uint64_t number) {
  if (this->pending_calls.count(number) > 0) this->ask(number);
}

void TenantQuotas::finish(std::uint64_t number, const QuotaDecision& decision,
                          const char* outcome) {
  const auto found = this->pending_calls.find(number);
  const PendingCall pending = std::move(found->second);
  this->pending_calls.erase(found);
  this->metrics.count_quota(outcome);
  pending.handler(decision);
}

/// Grants this node's share of the quota while no owner answers. The first grant of an outage is
/// due at a random time, so that the sum over all nodes is right even where a share is smaller than
/// one request.
QuotaDecision TenantQuotas::decide_by_share(const QuotaRequest& request) {
  if (!this->ownership.connected()) return {false, kUnconnectedRetryDelay};
  const MonotonicTime now = this->runtime.now();
  Quota& quota = this->quota(request.tenant, request.terms);
  const PermitRate rate = scaled(quota.terms, 1.0 / static_cast<double>(this->ownership.nodes()));
  if (now - quota.last_fallback_at > kFallbackPause) {
    quota.fallback = {};
    quota.fallback.charge(now, rate, random_fraction(this->runtime) * request.cost);
  }
  quota.last_fallback_at = now;
  if (quota.fallback.take(now, rate, now, request.cost)) {
    quota.unsettled += request.cost;
    return {true, {}};
  }
  return {false, std::min(quota.fallback.next(now, rate) - now, kMaxReturnDelay)};
}

void TenantQuotas::send_call(const NodeId& node, std::uint64_t number, const QuotaRequest& request,
                             double unsettled) {
  QuotaCall call;
  call.node = this->ownership.own_name();
  call.boot = this->boot_id;
  call.number = number;
  call.tenant = request.tenant;
  call.terms = request.terms;
  call.cost = request.cost;
  call.unsettled = unsettled;
  this->ownership.send_call(node, encode(call));
}

void TenantQuotas::on_call(const QuotaCall& call) {
  this->ownership.on_message_received(call.node);
  Quota& quota = this->quota(call.tenant, call.terms);
  QuotaAnswer answer;
  answer.node = this->ownership.own_name();
  answer.boot = call.boot;
  answer.number = call.number;
  answer.tenant = call.tenant;
  answer.cost = call.cost;
  if (this->is_owner(call.tenant, quota)) {
    if (call.unsettled != 0) {
      quota.grants.charge(this->runtime.now(), this->owner_rate(quota), call.unsettled);
    }
    const Decision decision = this->decide({call.tenant, call.terms, call.cost});
    answer.verdict = decision.verdict;
    answer.retry_in_ms = static_cast<std::uint32_t>(whole_ms(decision.retry_in));
  } else if (call.cost > 0) {
    this->probe_owner(call.tenant, quota);
  }
  this->ownership.send_answer(call.node, encode(answer));
}

void TenantQuotas::on_answer(const QuotaAnswer& answer) {
  if (answer.boot != this->boot_id) return;
  this->ownership.on_message_received(answer.node);
  const bool from_owner = answer.verdict != QuotaVerdict::kNotOwner;
  const bool granted = answer.verdict == QuotaVerdict::kGranted;
  const auto known = this->quotas.find(answer.tenant);
  const auto pending = this->pending_calls.find(answer.number);
  if (pending == this->pending_calls.end()) {
    // A second grant for a request that was asked for twice.
    if (granted && known != this->quotas.end()) known->second.unsettled -= answer.cost;
  } else if (from_owner) {
    const std::chrono::milliseconds retry_in(answer.retry_in_ms);
    this->finish(answer.number, {granted, retry_in}, granted ? "granted" : "exceeded");
  } else {
    pending->second.timer = this->runtime.after(
        kAskAgainDelay, [this, number = answer.number] { this->ask_again(number); });
  }
  const auto quota = this->quotas.find(answer.tenant);
  if (!from_owner || quota == this->quotas.end() || quota->second.unsettled == 0) return;
  const double unsettled = std::exchange(quota->second.unsettled, 0);
  this->send_call(answer.node, 0, {answer.tenant, quota->second.terms, 0}, unsettled);
}

}  // namespace shuntbank::relay
