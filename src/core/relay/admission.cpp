#include "core/relay/admission.hpp"

#include <algorithm>
#include <cmath>

namespace shuntbank::relay {
namespace {

/// Multiples of it, modulo one, are spread evenly however many there are.
constexpr double kGoldenRatio = 0.6180339887498949;

constexpr double kMillisecondsPerSecond = 1000;

/// Weight of the newest late request; a node serves a few a second.
constexpr double kNewestLateWeight = 0.2;

/// Without observations, the excess of the late wait factor falls to a third in this time.
constexpr Duration kLateFactorMemory = std::chrono::seconds(2);

/// Bound on one observation: the wait of a request that ran out of time behind little work.
constexpr double kMaxLateFactor = 8;

/// A request that ran out of time would have waited for longer than it did, by an unknown time.
/// Without this no wait longer than the time left is ever expected from observations.
constexpr double kOutOfTimeFactor = 2;

/// Shorter waits are within the noise of the estimate.
constexpr Duration kMinLateWait = std::chrono::milliseconds(50);

Duration scaled(Duration duration, double factor) {
  if (duration == Duration::max()) return duration;
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

ServiceOccupancy occupancy_of(MonotonicTime now, const EngineDirectory& engines,
                              const ServiceName& service) {
  ServiceOccupancy occupancy;
  for (const EngineView* engine : engines.find_by_service(service)) {
    if (!engine->accepts_requests(now)) continue;
    const double slots = engine->record.slots;
    const double requests = engine->total_requests(now);
    occupancy.slots += slots;
    occupancy.taken += std::min(requests, slots);
    occupancy.waiting += std::max(0.0, requests - slots);
  }
  return occupancy;
}

Duration late_work(const EngineView& engine, const EngineModel& model) {
  std::uint64_t tokens = engine.deferred_tokens;
  if (engine.peer_load) tokens += engine.peer_load->deferred_tokens;
  const auto all = static_cast<double>(tokens);
  const bool prefill = engine.record.stage == EngineStage::kPrefill;
  const double ms = prefill ? all * model.prefill().token_ms()
                            : model.decode_prefill_ms(all) - model.prefill().setup_ms();
  return from_seconds(std::max(0.0, ms) / kMillisecondsPerSecond);
}

Duration own_work(const DispatchPlan& plan, const EngineModel& model, const ModelServing& serving,
                  std::uint64_t prompt_tokens) {
  const auto tokens = static_cast<double>(plan.placement.prefill_tokens);
  const double ms = plan.remote_prefill ? model.prefill().prefill_ms(tokens) + model.handover_ms() +
                                              serving.transfer_ms(prompt_tokens)
                                        : model.decode_prefill_ms(tokens);
  return from_seconds(std::min(ms, plan.expected_ms) / kMillisecondsPerSecond);
}

const char* to_text(AdmissionAction action) {
  switch (action) {
    case AdmissionAction::kSendNow:
      return "send_now";
    case AdmissionAction::kSendAhead:
      return "send_ahead";
    case AdmissionAction::kWait:
      return "wait";
    case AdmissionAction::kServeLate:
      return "serve_late";
    case AdmissionAction::kYield:
      return "yield";
    case AdmissionAction::kRefuse:
      return "refuse";
  }
  return "send_now";
}

void EventRate::add(MonotonicTime now, Duration window) {
  this->weight = this->per_second(now, window) * to_seconds(window) + 1;
  this->updated_at = now;
}

double EventRate::per_second(MonotonicTime now, Duration window) const {
  const double age = to_seconds(now - this->updated_at) / to_seconds(window);
  return this->weight * std::exp(-age) / to_seconds(window);
}

void LateWaitFactor::observe(MonotonicTime now, Duration expected, Duration waited) {
  const double ratio = to_seconds(waited) / to_seconds(std::max(expected, kMinLateWait));
  const double observed = std::clamp(ratio, 1.0, kMaxLateFactor) - 1;
  const double known = this->at(now) - 1;
  this->excess = known + kNewestLateWeight * (observed - known);
  this->updated_at = now;
}

double LateWaitFactor::at(MonotonicTime now) const {
  return 1 + this->excess *
                 std::exp(-to_seconds(now - this->updated_at) / to_seconds(kLateFactorMemory));
}

Duration ReturnSchedule::assign(MonotonicTime now, const ReturnQuery& query, Duration interval,
                                Duration usable) {
  const auto rank =
      static_cast<std::size_t>(2 * std::clamp(query.priority, 0, 9) + (query.above_share ? 1 : 0));
  const Duration earliest = std::max(query.not_before, std::min(query.slot_expected, usable));
  const MonotonicTime at = std::max(now + earliest, this->next[rank]);
  if (at - now > std::max(usable, query.not_before)) {
    double whole = 0;
    const double fraction = std::modf(static_cast<double>(++this->beyond) * kGoldenRatio, &whole);
    return std::max(query.not_before, scaled(usable, (1 + fraction) / 2));
  }
  for (std::size_t behind = rank; behind < kRanks; ++behind) {
    this->next[behind] = std::max(this->next[behind], at) + interval;
  }
  return at - now;
}

void AdmissionControl::observe_shortage(MonotonicTime now, ServiceState& state,
                                        const AdmissionQuery& query) const {
  const Duration waiting = *query.expected - query.own_work + query.late_work;
  const bool beyond_objective =
      query.time_to_objective > Duration::zero() && waiting > query.time_to_objective;
  if (beyond_objective) state.shortage_until = now + this->settings.shortage_memory;
}

bool AdmissionControl::starving(MonotonicTime now, RouteState& route) const {
  if (!route.late_served_at) route.late_served_at = now;
  if (now - *route.late_served_at < this->settings.starving_after) return false;
  return ++route.unservable % this->settings.sent_ahead_every == 0;
}

AdmissionDecision AdmissionControl::decide(MonotonicTime now, const ServiceName& service,
                                           const std::string& route, const AdmissionQuery& query) {
  if (!query.expected) {
    if (query.slot_in) return {AdmissionAction::kWait, "an engine is back in time"};
    return {AdmissionAction::kRefuse, "no engine"};
  }
  ServiceState& state = this->services[service];
  this->observe_shortage(now, state, query);
  const Duration waiting = *query.expected - query.own_work;
  const Duration expected =
      query.late ? query.own_work + scaled(waiting, state.late_wait.at(now)) : *query.expected;
  const bool unservable = query.time_left != Duration::max() &&
                          expected > scaled(query.time_left, this->settings.refusal_margin);
  if (unservable && query.refusable && !query.occupancy.has_spare_slots()) {
    if (query.returning) return {AdmissionAction::kServeLate, "it was refused before"};
    if (query.share_ratio < this->settings.protected_share_ratio) {
      return {AdmissionAction::kSendAhead, "its tenant is far below its fair share"};
    }
    if (query.share_ratio < 1) {
      return {AdmissionAction::kServeLate, "its tenant is below its fair share"};
    }
    if (this->starving(now, state.routes[route])) {
      return {AdmissionAction::kSendAhead, "its kind would starve"};
    }
    return {AdmissionAction::kRefuse, "not expected before its deadline"};
  }
  if (query.late) return {AdmissionAction::kServeLate, "not expected within its objective"};
  const Duration slack = query.time_to_objective - query.own_work;
  const bool yields = query.wait_share < 1 && now < state.shortage_until &&
                      waiting > scaled(slack, query.wait_share);
  if (yields) return {AdmissionAction::kYield, "its tenant is above its fair share"};
  return {};
}

bool AdmissionControl::in_shortage(MonotonicTime now, const ServiceName& service) const {
  const auto found = this->services.find(service);
  return found != this->services.end() && now < found->second.shortage_until;
}

void AdmissionControl::on_slot_freed(MonotonicTime now, const ServiceName& service) {
  this->services[service].freed_slots.add(now, this->settings.rate_window);
}

void AdmissionControl::on_late_result(MonotonicTime now, const ServiceName& service,
                                      const std::string& route, const LateRequest& request) {
  Duration waited = now - request.sent_at - request.own_work;
  if (request.out_of_time) waited = scaled(waited, kOutOfTimeFactor);
  ServiceState& state = this->services[service];
  state.late_wait.observe(now, request.expected_wait, waited);
  if (!request.out_of_time) state.routes[route].late_served_at = now;
}

double AdmissionControl::late_wait_factor(MonotonicTime now, const ServiceName& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 1 : found->second.late_wait.at(now);
}

Duration AdmissionControl::return_delay(MonotonicTime now, const ServiceName& service,
                                        const ReturnQuery& query) {
  ServiceState& state = this->services[service];
  const double rate = state.freed_slots.per_second(now, this->settings.rate_window);
  const Duration max_interval = this->settings.max_return_interval;
  const Duration interval =
      rate * to_seconds(max_interval) > 1 ? from_seconds(1 / rate) : max_interval;
  const Duration usable =
      scaled(std::max(Duration::zero(), query.time_left), this->settings.usable_share);
  return state.returns.assign(now, query, interval, usable);
}

void AdmissionControl::on_refused(MonotonicTime now, const RequestIdentity& request) {
  std::erase_if(this->refusals, [&](const auto& entry) {
    return now - entry.second > this->settings.refusal_memory;
  });
  if (this->refusals.size() >= this->settings.max_remembered_refusals) return;
  this->refusals[request] = now;
}

bool AdmissionControl::was_refused(MonotonicTime now, const RequestIdentity& request) const {
  const auto found = this->refusals.find(request);
  return found != this->refusals.end() && now - found->second <= this->settings.refusal_memory;
}

}  // namespace shuntbank::relay
