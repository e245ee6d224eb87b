// Permits of a relayed request at rate-limited engines.
#include <algorithm>
#include <utility>

#include "relay/relay_session.hpp"

namespace shuntbank::relay {
namespace {

/// Added to the known permit wait, as that may be out of date. About the time between two permits
/// of an engine that is worth waiting for.
constexpr Duration kExtraPermitWait = std::chrono::milliseconds(50);

/// After this many refused permits an engine is excluded for the request: its schedule fills faster
/// than this node learns of it.
constexpr int kMaxPermitRefusals = 3;

constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

/// Acquires the permit of a rate-limited decode engine before the prefill, which would be wasted
/// without one. The permit's lifetime is centred on the expected end of the prefill.
void RelaySession::start_remote_prefill(const DispatchPlan& plan) {
  const EngineId& prefill_engine = plan.placement.engine;
  if (!context_.permits.limited(plan.decode.engine))
    return send_with_permit(prefill_engine, Step::kPrefill);
  decode_placement_ = plan.decode;
  const EngineView* view = context_.engines.find(decode_placement_.engine);
  const Duration prefill_duration =
      from_seconds(plan.placement.expected_ms / kMillisecondsPerSecond);
  const Duration earliest = std::max(Duration::zero(), prefill_duration - kPermitLifetime / 2);
  const Duration known_wait = view->permit_wait(context_.runtime.now());
  const Duration extra_wait = std::max(Duration::zero(), known_wait - earliest);
  context_.permits.acquire(
      decode_placement_.engine, {earliest, extra_wait + kExtraPermitWait},
      [self = shared_from_this(), prefill_engine](std::optional<SendPermit> permit) {
        self->on_decode_permit(prefill_engine, std::move(permit));
      });
}

void RelaySession::on_decode_permit(const EngineId& prefill_engine,
                                    std::optional<SendPermit> permit) {
  decode_permit_ = std::move(permit);
  if (ended_) return release_permit(decode_permit_);
  if (!decode_permit_) return redispatch(decode_placement_.engine);
  // The prefill engine may have gone while the permit was awaited.
  if (context_.engines.find(prefill_engine) == nullptr) return dispatch();
  send_with_permit(prefill_engine, Step::kPrefill);
}

/// Every send goes through here: prefill, decode, retry and plain.
void RelaySession::send_with_permit(const EngineId& engine, Step step) {
  release_permit(permit_);
  if (!context_.permits.limited(engine)) return send(engine, step);
  const EngineView* view = context_.engines.find(engine);
  const Duration known_wait = view->permit_wait(context_.runtime.now());
  context_.permits.acquire(
      engine, {Duration::zero(), known_wait + kExtraPermitWait},
      [self = shared_from_this(), engine, step](std::optional<SendPermit> permit) {
        self->on_permit(engine, step, std::move(permit));
      });
}

void RelaySession::on_permit(const EngineId& engine, Step step, std::optional<SendPermit> permit) {
  permit_ = std::move(permit);
  if (ended_) return release_permit(permit_);
  step_ = step;
  engine_ = engine;
  if (!permit_) return redispatch(engine);
  wait_for_permit();
}

void RelaySession::wait_for_permit() {
  const MonotonicTime now = context_.runtime.now();
  if (permit_->valid_from <= now) return use_permit();
  log_attempt("waits_for_permit", std::to_string(whole_ms(permit_->valid_from - now)) + " ms");
  wait_timer_ = context_.runtime.after(permit_->valid_from - now, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->use_permit();
  });
}

/// Rechecks the engine, the permit and the budget, which may have changed during the wait.
void RelaySession::use_permit() {
  if (ended_) return;
  const EngineView* view = context_.engines.find(engine_);
  const MonotonicTime now = context_.runtime.now();
  const bool accepts = view != nullptr && view->accepts_requests(now);
  if (!accepts || !context_.permits.may_send(engine_, permit_)) {
    release_permit(permit_);
    return redispatch(engine_);
  }
  if (!within_budget()) return end_over_budget("a permit was granted");
  send(engine_, step_);
}

/// Uses the permit acquired before the prefill. @return whether it was still usable.
bool RelaySession::start_planned_decode() {
  if (!decode_permit_) return false;
  permit_ = std::exchange(decode_permit_, std::nullopt);
  const bool usable = !prompt_handle_.empty() &&
                      !listed(&failed_engines_, decode_placement_.engine) &&
                      context_.permits.may_send(decode_placement_.engine, permit_);
  if (!usable) {
    release_permit(permit_);
    return false;
  }
  placement_ = decode_placement_;
  fetch_address_.clear();
  engine_ = decode_placement_.engine;
  step_ = Step::kDecodeFromHandle;
  wait_for_permit();
  return true;
}

void RelaySession::release_permit(std::optional<SendPermit>& permit) {
  if (!permit) return;
  context_.permits.release(*std::exchange(permit, std::nullopt));
}

/// Plans again, as another engine may be better than one without a permit.
void RelaySession::redispatch(const EngineId& engine) {
  engine_ = engine;
  log_attempt("no_permit", "");
  if (++permit_refusals_[engine] >= kMaxPermitRefusals) failed_engines_.push_back(engine);
  plan_again();
}

/// A permit may be refused at once. The plans that follow are made one after the other, as nested
/// ones would need a stack that grows with the number of engines.
void RelaySession::plan_again() {
  plan_refused_ = true;
  if (std::exchange(planning_again_, true)) return;
  while (std::exchange(plan_refused_, false)) {
    if (prompt_handle_.empty()) {
      dispatch();
    } else {
      start_decode();
    }
  }
  planning_again_ = false;
}

}  // namespace shuntbank::relay
