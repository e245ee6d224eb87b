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

}  // namespace

/// A prompt read apart, whoever takes it up, a retry and a plain request all come through here.
void RelaySession::send_permitted(const EngineId& engine, Step step) {
  give_permit_back();
  if (!context_.permits.limited(engine)) return send(engine, step);
  const EngineView* view = context_.engines.find(engine);
  const Duration known = view->permit_wait(context_.runtime.now());
  context_.permits.ask(engine, known + kMoreThanKnown,
                       [self = shared_from_this(), engine, step](std::optional<SendPermit> permit) {
                         self->on_permit(engine, step, std::move(permit));
                       });
}

void RelaySession::on_permit(const EngineId& engine, Step step, std::optional<SendPermit> permit) {
  permit_ = std::move(permit);
  if (ended_) return give_permit_back();
  step_ = step;
  engine_ = engine;
  if (!permit_) return set_out_again(engine);
  const MonotonicTime now = context_.runtime.now();
  if (permit_->from <= now) return use_permit();
  log_attempt("waits_for_permit", std::to_string(whole_ms(permit_->from - now)) + " ms");
  waiting_ = context_.runtime.after(permit_->from - now, [weak = weak_from_this()] {
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
    give_permit_back();
    return set_out_again(engine_);
  }
  if (!may_send_again()) return end_for_budget("an engine takes it");
  send(engine_, step_);
}

void RelaySession::give_permit_back() {
  if (!permit_) return;
  context_.permits.give_back(*std::exchange(permit_, std::nullopt));
}

/// The engine takes requests only later than was known: perhaps another one is better now.
void RelaySession::set_out_again(const EngineId& engine) {
  log_attempt("no_permit", "");
  if (++permits_refused_[engine] >= kMostRefusals) met_.push_back(engine);
  if (!handle_.empty()) return take_up_prompt();
  dispatch();
}

}  // namespace shuntbank::relay
