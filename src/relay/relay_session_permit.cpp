// What a relayed request does at engines that take so many requests a second from all nodes.
#include <algorithm>
#include <utility>

#include "relay/relay_session.hpp"

namespace shuntbank::relay {
namespace {

/// What this node knows of an engine's next permit may be late by so much before another choice is
/// made: about the time between two permits of an engine that is worth waiting for.
constexpr Duration kMoreThanKnown = std::chrono::milliseconds(50);

/// An engine that refuses a permit so often is given up for this request; its schedule fills faster
/// than this node learns of it.
constexpr int kMostRefusals = 3;

constexpr double kMillisecondsASecond = 1000;

}  // namespace

/// A taker that is limited is asked before the prompt is read: where it permits nothing in time,
/// the prompt would be read for nothing. The permit is good for as long before the expected end of
/// the reading as after it.
void RelaySession::read_first(const DispatchChoice& choice) {
  const EngineId& reader = choice.placement.engine;
  if (!context_.permits.limited(choice.taker.engine)) return send_permitted(reader, Step::kPrefill);
  taker_ = choice.taker;
  const EngineView* view = context_.engines.find(taker_.engine);
  const Duration read_in = from_seconds(choice.placement.expected_ms / kMillisecondsASecond);
  const Duration earliest = std::max(Duration::zero(), read_in - kPermitLifetime / 2);
  const Duration known = view->permit_wait(context_.runtime.now());
  const Duration beyond = std::max(Duration::zero(), known - earliest);
  context_.permits.acquire(taker_.engine, {earliest, beyond + kMoreThanKnown},
                           [self = shared_from_this(), reader](std::optional<SendPermit> permit) {
                             self->on_taker_permit(reader, std::move(permit));
                           });
}

void RelaySession::on_taker_permit(const EngineId& reader, std::optional<SendPermit> permit) {
  taker_permit_ = std::move(permit);
  if (ended_) return give_back(taker_permit_);
  if (!taker_permit_) return set_out_again(taker_.engine);
  // The answer may have come late, and the reader be gone.
  if (context_.engines.find(reader) == nullptr) return dispatch();
  send_permitted(reader, Step::kPrefill);
}

/// A prompt read apart, whoever takes it up, a retry and a plain request all come through here.
void RelaySession::send_permitted(const EngineId& engine, Step step) {
  give_back(permit_);
  if (!context_.permits.limited(engine)) return send(engine, step);
  const EngineView* view = context_.engines.find(engine);
  const Duration known = view->permit_wait(context_.runtime.now());
  context_.permits.acquire(
      engine, {Duration::zero(), known + kMoreThanKnown},
      [self = shared_from_this(), engine, step](std::optional<SendPermit> permit) {
        self->on_permit(engine, step, std::move(permit));
      });
}

void RelaySession::on_permit(const EngineId& engine, Step step, std::optional<SendPermit> permit) {
  permit_ = std::move(permit);
  if (ended_) return give_back(permit_);
  step_ = step;
  engine_ = engine;
  if (!permit_) return set_out_again(engine);
  wait_for_permit();
}

void RelaySession::wait_for_permit() {
  const MonotonicTime now = context_.runtime.now();
  if (permit_->valid_from <= now) return use_permit();
  log_attempt("waits_for_permit", std::to_string(whole_ms(permit_->valid_from - now)) + " ms");
  waiting_ = context_.runtime.after(permit_->valid_from - now, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->use_permit();
  });
}

/// Much may have happened while it waited.
void RelaySession::use_permit() {
  if (ended_) return;
  const EngineView* view = context_.engines.find(engine_);
  const MonotonicTime now = context_.runtime.now();
  const bool taken = view != nullptr && view->takes_requests(now);
  if (!taken || !context_.permits.may_send(engine_, permit_)) {
    give_back(permit_);
    return set_out_again(engine_);
  }
  if (!may_send_again()) return end_for_budget("an engine takes it");
  send(engine_, step_);
}

/// @return whether the engine that was asked before the prompt was read takes it up.
bool RelaySession::take_up_as_planned() {
  if (!taker_permit_) return false;
  permit_ = std::exchange(taker_permit_, std::nullopt);
  const bool usable = !handle_.empty() && !listed(&met_, taker_.engine) &&
                      context_.permits.may_send(taker_.engine, permit_);
  if (!usable) {
    give_back(permit_);
    return false;
  }
  chosen_ = taker_;
  fetch_address_.clear();
  engine_ = taker_.engine;
  step_ = Step::kDecodeFromHandle;
  wait_for_permit();
  return true;
}

void RelaySession::give_back(std::optional<SendPermit>& permit) {
  if (!permit) return;
  context_.permits.release(*std::exchange(permit, std::nullopt));
}

/// The engine takes requests only later than was known: perhaps another one is better now.
void RelaySession::set_out_again(const EngineId& engine) {
  engine_ = engine;
  log_attempt("no_permit", "");
  if (++permits_refused_[engine] >= kMostRefusals) met_.push_back(engine);
  if (!handle_.empty()) return take_up_prompt();
  dispatch();
}

}  // namespace shuntbank::relay
