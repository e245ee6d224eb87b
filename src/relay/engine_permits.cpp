#include "relay/engine_permits.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

/// Timeout of a call to a limit owner. Round trips between regions take up to 100 ms.
constexpr Duration kCallTimeout = std::chrono::milliseconds(250);

/// A new owner grants nothing for this long: other nodes may still use the previous owner, which
/// they probe once a second.
constexpr Duration kTakeoverDelay = std::chrono::milliseconds(1500);

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

/// An owner that reaches at most this share of the nodes grants only that share of the limit, since
/// the unreachable nodes may have another owner. Two partitions together grant at most 1.5 times
/// the limit.
constexpr double kMaxMinorityShare = 0.5;

/// Bounds memory after a burst of failed connections.
constexpr std::size_t kMaxReturnedPermits = 64;

std::uint32_t to_message_ms(Duration duration) {
  constexpr std::int64_t kMax = kMaxLimitAgeMs;
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(whole_ms(duration), 0, kMax));
}

/// @return milliseconds, rounded up.
std::uint32_t to_message_ms_ceil(Duration duration) {
  return to_message_ms(duration + std::chrono::microseconds(999));
}

}  // namespace

void EnginePermits::connect(const NodeId& own_name, PermitPeers& others) {
  this->ownership.connect(own_name, others);
  this->ticker =
      std::make_unique<Periodic>(this->io.runtime, kTickInterval, [this] { this->tick(); });
}

void EnginePermits::tick() {
  this->ownership.tick();
  if (this->io.engines.limits().any_limited()) this->update_ownership();
}

/// Updates the ownership of limits and probes nodes that rank before this one as owners.
void EnginePermits::update_ownership() {
  std::erase_if(this->limit_states, [this](const auto& entry) {
    if (this->limited(entry.first)) return false;
    this->ownership.forget(entry.first.value());
    return true;
  });
  for (const auto& [engine, view] : this->io.engines.all()) {
    if (!this->limited(engine)) continue;
    this->tenure(engine, this->limit_state(engine));
    for (const NodeId& node : this->ownership.nodes_to_probe(engine.value())) {
      this->send_call(node, engine, 0, std::nullopt);
    }
  }
}

EnginePermits::LimitState& EnginePermits::limit_state(const EngineId& engine) {
  LimitState& state = this->limit_states[engine];
  const double limit = this->io.engines.limits().limit(engine).value_or(0);
  const MonotonicTime now = this->io.runtime.now();
  // A lower limit voids earlier permits.
  if (!state.per_second || limit < *state.per_second) {
    state.schedule.reset(now, {limit});
  } else if (limit > *state.per_second) {
    state.schedule.change_rate(now, {*state.per_second}, {limit});
  }
  state.per_second = limit;
  return state;
}

LimitTenure EnginePermits::tenure(const EngineId& engine, LimitState& state) {
  const LimitTenure tenure = this->ownership.tenure(engine.value());
  if (!tenure.is_new) return tenure;
  state.schedule.reset(this->io.runtime.now(), {*state.per_second});
  log_event(LogArea::kControl, LogLevel::kInfo, "keeps_limit",
            {{"engine", engine.value()},
             {"a_second", *state.per_second},
             {"first", tenure.is_preferred}});
  return tenure;
}

/// Decides on a request if this node owns the limit.
EnginePermits::Decision EnginePermits::decide(const EngineId& engine,
                                              const std::optional<SendWindow>& window) {
  const MonotonicTime now = this->io.runtime.now();
  LimitState& state = this->limit_state(engine);
  const LimitTenure tenure = this->tenure(engine, state);
  if (!tenure.held) return {PermitVerdict::kNotOwner, now, now};
  const MonotonicTime granting_from =
      tenure.since ? *tenure.since + kTakeoverDelay : MonotonicTime{};
  if (now < granting_from) return {PermitVerdict::kWaitExceeded, granting_from, granting_from};
  const double live_fraction = this->ownership.live_fraction();
  const double share = live_fraction > kMaxMinorityShare ? 1 : live_fraction;
  const PermitRate rate{*state.per_second * share};
  if (!window) return {PermitVerdict::kWaitExceeded, now, state.schedule.next(now, rate)};
  const MonotonicTime earliest = now + window->earliest;
  const auto send_at = state.schedule.take(earliest, rate, earliest + window->max_wait);
  const MonotonicTime next = state.schedule.next(now, rate);
  if (!send_at) return {PermitVerdict::kWaitExceeded, next, next};
  return {PermitVerdict::kGranted, *send_at, next};
}

void EnginePermits::acquire(const EngineId& engine, const SendWindow& window, Handler handler) {
  const MonotonicTime now = this->io.runtime.now();
  if (auto permit = this->take_returned(engine, now + window.earliest)) {
    return handler(std::move(permit));
  }
  if (const auto owner = this->ownership.remote_owner(engine.value())) {
    return this->acquire_from_owner(*owner, engine, window, std::move(handler));
  }
  const Decision decision = this->decide(engine, window);
  const bool granted = decision.verdict == PermitVerdict::kGranted;
  this->io.metrics.count_permit(granted ? "granted" : "later");
  this->io.engines.on_next_permit(
      engine, decision.verdict == PermitVerdict::kNotOwner ? now + kCallTimeout : decision.next_at);
  if (!granted) return handler(std::nullopt);
  handler(SendPermit{engine, decision.send_at, decision.send_at + kPermitLifetime,
                     this->io.engines.limits().limit(engine).value_or(0)});
}

void EnginePermits::acquire_from_owner(const NodeId& owner, const EngineId& engine,
                                       const SendWindow& window, Handler handler) {
  const std::uint64_t number = ++this->last_call_number;
  PendingCall& pending = this->pending_calls[number];
  pending.engine = engine;
  pending.sent_at = this->io.runtime.now();
  pending.handler = std::move(handler);
  pending.timer =
      this->io.runtime.after(kCallTimeout, [this, number] { this->on_call_timeout(number); });
  this->send_call(owner, engine, number, window);
}

void EnginePermits::send_call(const NodeId& node, const EngineId& engine, std::uint64_t number,
                              const std::optional<SendWindow>& window) {
  PermitCall call;
  call.node = this->ownership.own_name();
  call.boot = this->boot_id;
  call.number = number;
  call.engine = engine;
  call.wants_permit = window.has_value();
  if (window) {
    call.earliest_send_ms = to_message_ms(window->earliest);
    call.max_wait_ms = to_message_ms(window->max_wait);
  }
  call.limit = this->limit_report(engine);
  this->ownership.send_call(node, encode(call));
}

/// The owner may be gone; the request tries other engines.
void EnginePermits::on_call_timeout(std::uint64_t number) {
  const auto found = this->pending_calls.find(number);
  if (found == this->pending_calls.end()) return;
  const PendingCall pending = std::move(found->second);
  this->pending_calls.erase(found);
  this->io.metrics.count_permit("unanswered");
  log_event(LogArea::kControl, LogLevel::kInfo, "permit_unanswered",
            {{"engine", pending.engine.value()}});
  this->io.engines.on_next_permit(pending.engine, this->io.runtime.now() + kCallTimeout);
  pending.handler(std::nullopt);
}

void EnginePermits::on_call(const PermitCall& call) {
  this->ownership.on_message_received(call.node);
  this->on_limit_report(call.engine, call.limit);
  const MonotonicTime now = this->io.runtime.now();
  PermitAnswer answer;
  answer.node = this->ownership.own_name();
  answer.boot = call.boot;
  answer.number = call.number;
  answer.engine = call.engine;
  if (this->limited(call.engine)) {
    const SendWindow window{std::chrono::milliseconds(call.earliest_send_ms),
                            std::chrono::milliseconds(call.max_wait_ms)};
    const Decision decision =
        this->decide(call.engine, call.wants_permit ? std::optional(window) : std::nullopt);
    answer.verdict = decision.verdict;
    answer.send_in_ms = to_message_ms_ceil(decision.send_at - now);
    answer.next_permit_in_ms = to_message_ms_ceil(decision.next_at - now);
  }
  answer.limit = this->limit_report(call.engine);
  this->ownership.send_answer(call.node, encode(answer));
}

void EnginePermits::on_answer(const PermitAnswer& answer) {
  if (answer.boot != this->boot_id) return;
  this->ownership.on_message_received(answer.node);
  this->on_limit_report(answer.engine, answer.limit);
  const auto found = this->pending_calls.find(answer.number);
  if (found == this->pending_calls.end()) return;
  PendingCall pending = std::move(found->second);
  this->pending_calls.erase(found);
  pending.timer.reset();
  const MonotonicTime now = this->io.runtime.now();
  const bool granted = answer.verdict == PermitVerdict::kGranted;
  const bool from_owner = answer.verdict != PermitVerdict::kNotOwner;
  this->io.metrics.count_permit(granted ? "granted" : from_owner ? "later" : "not_the_keeper");
  const Duration next = from_owner ? std::chrono::milliseconds(answer.next_permit_in_ms)
                                   : Duration(kOwnerProbeInterval);
  this->io.engines.on_next_permit(answer.engine, now + next);
  if (!granted) return pending.handler(std::nullopt);
  // The owner's delay starts at some time between the call and its answer.
  const std::chrono::milliseconds delay(answer.send_in_ms);
  pending.handler(SendPermit{answer.engine, now + delay, pending.sent_at + delay + kPermitLifetime,
                             answer.limit.per_second.value_or(0)});
}

bool EnginePermits::usable(const SendPermit& permit) const {
  const auto limit = this->io.engines.limits().limit(permit.engine);
  return this->io.runtime.now() <= permit.valid_until &&
         (!limit || *limit >= permit.limit_per_second);
}

bool EnginePermits::may_send(const EngineId& engine,
                             const std::optional<SendPermit>& permit) const {
  if (!this->limited(engine)) return true;
  return permit && permit->engine == engine && this->usable(*permit);
}

void EnginePermits::release(const SendPermit& permit) {
  if (!this->usable(permit) || this->returned_permits.size() >= kMaxReturnedPermits) return;
  this->returned_permits.push_back(permit);
}

std::optional<SendPermit> EnginePermits::take_returned(const EngineId& engine,
                                                       MonotonicTime needed_at) {
  std::erase_if(this->returned_permits,
                [this](const SendPermit& permit) { return !this->usable(permit); });
  const auto found =
      std::find_if(this->returned_permits.begin(), this->returned_permits.end(),
                   [&](const SendPermit& candidate) {
                     return candidate.engine == engine && candidate.valid_until >= needed_at;
                   });
  if (found == this->returned_permits.end()) return std::nullopt;
  SendPermit permit = std::move(*found);
  this->returned_permits.erase(found);
  return permit;
}

void EnginePermits::on_limit_report(const EngineId& engine, const LimitReport& report) {
  this->io.listener.on_peer_limit({engine, to_observed(report, this->io.runtime.now())});
}

LimitReport EnginePermits::limit_report(const EngineId& engine) const {
  const ObservedLimit* known = this->io.engines.limits().find(engine);
  if (known == nullptr) return {std::nullopt, kMaxLimitAgeMs};
  return to_report(*known, this->io.runtime.now());
}

}  // namespace shuntbank::relay
