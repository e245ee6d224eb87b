// The network path of an attempt: direct, or through another node.
#include "relay/relay_session.hpp"

namespace shuntbank::relay {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

/// An attempt is given up after this long without an expected byte, if its engine does not accept
/// connections while others do. Longer than the pause of a sound engine.
constexpr Duration kMaxSilenceOfEngine = std::chrono::milliseconds(1500);

}  // namespace

bool RelaySession::is_terminated(const EngineId& engine) const {
  const EngineView* view = context_.engines.find(engine);
  return view != nullptr && view->terminated;
}

/// @return whether there is a node through which the engine may be reachable.
bool RelaySession::choose_tunnel(const EngineId& engine) {
  if (tried_peers_.size() >= kMaxPeersAsked) return false;
  const auto tunnel = context_.paths.choose_tunnel(engine, tried_peers_);
  if (!tunnel) return false;
  tunnel_ = tunnel;
  tried_peers_.push_back(tunnel->address);
  return true;
}

/// No connection was made, so that the attempt may be repeated at the same engine on another path.
/// @return whether it is.
bool RelaySession::retry_on_other_path(const TransferError& error) {
  const auto& status = error.tunnel_status;
  if (tunnel_) {
    context_.paths.on_tunnel_failed(*tunnel_, status);
    peers_answered_ = peers_answered_ || status.has_value();
    if (status == TunnelStatus::kTargetUnknown) return false;
    if (status == TunnelStatus::kRefused) ++refused_by_peers_;
    if (status == TunnelStatus::kRefused || status == TunnelStatus::kUnreachable) {
      ++unreachable_for_peers_;
    }
  } else {
    context_.paths.on_connect_failed(engine_, error.connection_refused);
    refused_directly_ = refused_directly_ || error.connection_refused;
  }
  const EngineView* view = context_.engines.find(engine_);
  const MonotonicTime now = context_.runtime.now();
  const bool usable = view != nullptr && view->accepts_requests(now) && !view->terminated;
  if (!usable || time_left() <= Duration::zero()) return false;
  if (!context_.permits.may_send(engine_, permit_) || !choose_tunnel(engine_)) return false;
  log_attempt("path_changed", error.message);
  start_attempt(engine_, step_);
  return true;
}

/// Decides what failed connections say about the engine. That this node cannot connect is neither
/// reported to others nor taken for the engine's end, unless others cannot either.
void RelaySession::on_engine_unreachable() {
  const bool confirmed = context_.paths.confirmed(engine_, unreachable_for_peers_);
  if (confirmed || !context_.paths.path_broken()) report_unreachable(confirmed);
  if (context_.paths.confirmed(engine_, refused_by_peers_)) {
    return context_.on_engine_terminated(engine_);
  }
  // Without other nodes that could tell, this node's own check has to do.
  if (!refused_directly_ || peers_answered_ || is_terminated(engine_)) return;
  context_.paths.verify([&context = context_, engine = engine_](bool reaches_engines) {
    if (reaches_engines) context.on_engine_terminated(engine);
  });
}

void RelaySession::check_path() {
  if (ended_ || !transfer_ || tunnel_) return;
  const Duration silence = context_.runtime.now() - last_activity_at_;
  if (silence < kMaxAttemptSilence) return;
  const bool answering = status_ != 0;
  const Duration expected =
      answering ? Duration::zero() : from_seconds(expected_step_ms_ / kMillisecondsPerSecond);
  const Duration overdue = silence - expected;
  context_.paths.on_silent_attempt(engine_, overdue >= kMaxAttemptSilence);
  const bool engine_broken = context_.paths.is_broken(engine_);
  const bool hopeless =
      context_.paths.path_broken() ? overdue >= kMaxAttemptSilence : overdue >= kMaxSilenceOfEngine;
  if (engine_broken && hopeless && may_repeat_attempt()) repeat_silent_attempt();
}

/// An attempt that may not be repeated waits for its path instead.
void RelaySession::repeat_silent_attempt() {
  context_.http.cancel(*transfer_);
  transfer_.reset();
  permit_.reset();  // Not released: the request may have reached the engine.
  release_engine();
  on_attempt_failed(AttemptOutcome::kUncertain, "the path to the engine is broken");
}

bool RelaySession::may_repeat_attempt() const {
  AttemptHistory history = history_;
  ++history.sends;
  if (step_ != Step::kPrefill) ++history.may_have_run;
  return after_failure(route_, history) == AttemptVerdict::kTryElsewhere && budget_left() >= 1;
}

}  // namespace shuntbank::relay
