#include "relay/quarantine.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "net/http_status.hpp"
#include "relay/engine_call.hpp"

namespace shuntbank::relay {
namespace {

/// Quarantines are extended at most this often, as requests with a prompt part may come by the
/// hundred.
constexpr Duration kMinExtension = std::chrono::seconds(1);

/// Of expiry and of verdicts that wait for reports.
constexpr Duration kTickInterval = std::chrono::milliseconds(250);

/// Maximum delay before a node reports that a suspected part completed there. The first report
/// makes the others needless.
constexpr Duration kMaxClearedReportDelay = std::chrono::milliseconds(100);

/// A crashed engine refuses connections at once; a live one answers within milliseconds.
constexpr Duration kLivenessTimeout = std::chrono::milliseconds(500);

/// Longer than a typical burst of message loss; load messages carry reports at least once a second.
constexpr Duration kResendInterval = std::chrono::milliseconds(300);

/// At 10% message loss, one report in 10,000 is lost.
constexpr int kSendsPerReport = 4;

/// About 30 bytes each; the rest wait for the next message.
constexpr std::size_t kMaxReportsPerMessage = 12;

/// The oldest are dropped first.
constexpr std::size_t kMaxPendingReports = 500;

std::uint32_t age_ms(MonotonicTime now, MonotonicTime at) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, age));
}

}  // namespace

Quarantine::Quarantine(const QuarantineIo& own_io) : io(own_io) {
  this->ticker =
      std::make_unique<Periodic>(this->io.runtime, kTickInterval, [this] { this->tick(); });
}

Quarantine::~Quarantine() {
  *this->alive = false;
}

/// Many sound requests have the parts of one that an engine broke, so that only confirmed crashes
/// make a part a suspect.
SuspectStatus Quarantine::status(const CallerRequest& attempt) const {
  SuspectStatus status = this->ledger.status(this->io.runtime.now(), attempt);
  if (is_prompt_part(attempt.request)) status.interruptions = status.crashes;
  return status;
}

const CallerRequest* Quarantine::quarantined_cause(const CrashCauses& causes) const {
  const auto holds = [&](const RequestIdentity& identity) {
    return std::any_of(causes.begin(), causes.end(),
                       [&](const CallerRequest& cause) { return cause.request == identity; });
  };
  for (const CallerRequest& cause : causes) {
    if (!this->status(cause).quarantine_left) continue;
    if (!is_prompt_part(cause.request)) return &cause;
    const auto parts = this->ledger.inseparable_parts(cause.request);
    if (std::all_of(parts.begin(), parts.end(), holds)) return &cause;
  }
  return nullptr;
}

SuspectStatus Quarantine::status(const CrashCauses& causes) const {
  SuspectStatus worst;
  for (const CallerRequest& cause : causes) {
    const SuspectStatus status = this->status(cause);
    if (status.interruptions > worst.interruptions) worst = status;
  }
  const CallerRequest* quarantined = this->quarantined_cause(causes);
  worst.quarantine_left.reset();
  return quarantined != nullptr ? this->status(*quarantined) : worst;
}

bool Quarantine::is_suspect(const RequestIdentity& request) const {
  return this->status({request, 0}).is_suspect();
}

std::set<EngineKey> Quarantine::trial_engines(const CrashCauses& causes) const {
  std::vector<RequestIdentity> own;
  for (const CallerRequest& cause : causes) own.push_back(cause.request);
  return this->ledger.trial_engines(this->io.runtime.now(), own);
}

void Quarantine::begin_trial(const CrashCauses& causes, const EngineId& engine) {
  for (const CallerRequest& cause : causes) {
    if (this->is_suspect(cause.request)) this->begin_trial(cause.request, engine);
  }
}

void Quarantine::end_trial(const CrashCauses& causes, const EngineId& engine) {
  for (const CallerRequest& cause : causes) this->end_trial(cause.request, engine);
}

void Quarantine::begin_trial(const RequestIdentity& request, const EngineId& engine) {
  const MonotonicTime now = this->io.runtime.now();
  this->ledger.begin_trial(now, request, engine_key(engine));
  if (this->reported_requests.count(request) == 0) return;
  this->queue_report(CrashEvent::kTrialStarted, {request, 0}, engine_key(engine), now);
}

void Quarantine::end_trial(const RequestIdentity& request, const EngineId& engine) {
  if (!this->status({request, 0}).in_flight) return;
  this->ledger.end_trial(request);
  const EngineKey key = engine_key(engine);
  const auto unsent = std::erase_if(this->pending_reports, [&](const PendingReport& pending) {
    return pending.event == CrashEvent::kTrialStarted && pending.request == request;
  });
  if (unsent == 0 && this->reported_requests.count(request) == 0) return;
  this->queue_report(CrashEvent::kTrialEnded, {request, 0}, key, this->io.runtime.now());
}

/// @return whether a request sent to the engine at `sent_at` may have crashed it. Draining engines
/// interrupt all their requests.
bool Quarantine::may_have_crashed(const EngineId& engine, MonotonicTime sent_at) const {
  const EngineView* view = this->io.engines.find(engine);
  if (view == nullptr || view->record.draining) return false;
  return !this->ledger.crashed_before(sent_at, engine_key(engine));
}

/// Parts of requests that completed lately cannot be the cause.
void Quarantine::on_interrupted(const CrashCauses& causes, const EngineId& engine,
                                MonotonicTime sent_at) {
  if (!this->may_have_crashed(engine, sent_at)) return;
  const MonotonicTime now = this->io.runtime.now();
  const EngineKey key = engine_key(engine);
  for (const CallerRequest& cause : causes) {
    const bool part = is_prompt_part(cause.request);
    if (part && this->history.completed_lately(now, cause.request)) continue;
    this->ledger.on_interrupted(now, {cause, key, false, false});
    const SuspectStatus status = this->status(cause);
    if (status.interruptions > 1 || (part && status.crashes > 0)) {
      this->queue_evidence(cause.request);
    }
  }
  this->process_ledger();
}

void Quarantine::on_unresponsive(const CallerRequest& attempt, const EngineId& engine,
                                 MonotonicTime sent_at) {
  if (!this->may_have_crashed(engine, sent_at)) return;
  this->ledger.on_interrupted(this->io.runtime.now(), {attempt, engine_key(engine), true, false});
}

void Quarantine::on_completed(const RequestIdentity& request) {
  const MonotonicTime now = this->io.runtime.now();
  if (is_prompt_part(request)) this->history.on_completed(now, request);
  if (!this->is_suspect(request)) return;
  const bool was_quarantined = this->ledger.is_quarantined(request);
  const bool peers_informed =
      this->reported_requests.erase(request) > 0 || this->ledger.reported_by_peer(request);
  this->ledger.clear(now, request);
  if (peers_informed) this->queue_report(CrashEvent::kCleared, {request, 0}, 0, now);
  if (was_quarantined) this->notify_changed(true);
}

void Quarantine::on_attempt_failed(const RequestIdentity& request) {
  if (this->ledger.contains(request)) this->queue_evidence(request);
}

void Quarantine::extend_quarantine(const CallerRequest& attempt) {
  const auto left = this->status(attempt).quarantine_left;
  if (left && *left > CrashLedgerSettings().quarantine_duration - kMinExtension) return;
  this->ledger.extend_quarantine(this->io.runtime.now(), attempt.request);
  // A node that has just started may not know of it yet.
  this->queue_evidence(attempt.request);
}

void Quarantine::on_engine_crashed(const EngineId& engine) {
  const EngineKey key = engine_key(engine);
  this->ledger.on_engine_crashed(this->io.runtime.now(), key);
  // Interruptions and unresponsiveness of this engine are now confirmed as a crash.
  for (const RequestIdentity& request : this->ledger.interrupted_by(key)) {
    const bool own_part = is_prompt_part(request) && this->ledger.interrupted_here(request, key);
    if (own_part || this->reported_requests.count(request) > 0) this->queue_evidence(request);
  }
  this->process_ledger();
}

void Quarantine::on_engine_answered(const EngineId& engine, MonotonicTime sent_at) {
  if (!this->empty()) this->ledger.on_engine_answered(sent_at, engine_key(engine));
}

bool Quarantine::release(const RequestIdentity& request) {
  if (!this->ledger.is_quarantined(request)) return false;
  const MonotonicTime now = this->io.runtime.now();
  this->ledger.clear(now, request);
  this->reported_requests.erase(request);
  this->queue_report(CrashEvent::kCleared, {request, 0}, 0, now);
  log_event(LogArea::kControl, LogLevel::kWarning, "request_let_go",
            {{"identity", to_text(request)}, {"why", "released by an operator"}});
  this->notify_changed(true);
  return true;
}

std::vector<QuarantinedRequest> Quarantine::quarantined() const {
  return this->ledger.quarantined(this->io.runtime.now());
}

void Quarantine::restore(const std::vector<QuarantinedRequest>& entries) {
  for (const QuarantinedRequest& entry : entries) {
    if (this->ledger.is_quarantined(entry.request)) continue;
    this->ledger.restore(this->io.runtime.now(), entry);
    this->log_quarantined(entry, "store");
  }
}

void Quarantine::queue_report(CrashEvent event, const CallerRequest& attempt, EngineKey engine,
                              MonotonicTime at) {
  const auto is_same = [&](const PendingReport& other) {
    return other.request == attempt.request && other.engine == engine && other.event == event;
  };
  std::erase_if(this->pending_reports, is_same);
  if (this->pending_reports.size() >= kMaxPendingReports)
    this->pending_reports.erase(this->pending_reports.begin());
  this->pending_reports.push_back(
      {event, attempt.request, engine, attempt.caller, at, 0, this->io.runtime.now()});
  if (this->reports_pending_handler) this->reports_pending_handler();
}

void Quarantine::queue_evidence(const RequestIdentity& request) {
  this->reported_requests.insert(request);
  for (const CrashEvidence& evidence : this->ledger.evidence(request)) {
    this->queue_report(evidence.crashed ? CrashEvent::kCrashed : CrashEvent::kInterrupted,
                       {request, evidence.caller}, evidence.engine, evidence.at);
  }
}

std::vector<CrashReport> Quarantine::take_reports() {
  const MonotonicTime now = this->io.runtime.now();
  std::vector<CrashReport> reports;
  for (PendingReport& pending : this->pending_reports) {
    if (pending.next_send_at > now) continue;
    if (reports.size() >= kMaxReportsPerMessage) {
      if (this->reports_pending_handler) this->reports_pending_handler();
      break;
    }
    reports.push_back(
        {pending.event, pending.request, pending.engine, pending.caller, age_ms(now, pending.at)});
    ++pending.send_count;
    pending.next_send_at = now + kResendInterval;
  }
  std::erase_if(this->pending_reports,
                [](const PendingReport& pending) { return pending.send_count >= kSendsPerReport; });
  return reports;
}

void Quarantine::on_peer_reports(const std::vector<CrashReport>& reports) {
  if (reports.empty()) return;
  const MonotonicTime now = this->io.runtime.now();
  for (const CrashReport& report : reports) this->apply_report(now, report);
  this->process_ledger();
}

/// Tells the other nodes that the part is no cause, unless another node does so first.
void Quarantine::report_cleared_part(const RequestIdentity& part) {
  const MonotonicTime now = this->io.runtime.now();
  const bool pending = std::any_of(
      this->pending_reports.begin(), this->pending_reports.end(), [&](const auto& report) {
        return report.event == CrashEvent::kCleared && report.request == part;
      });
  if (pending) return;
  this->queue_report(CrashEvent::kCleared, {part, 0}, 0, now);
  const double fraction = random_fraction(this->io.runtime);
  this->pending_reports.back().next_send_at =
      now + std::chrono::duration_cast<Duration>(kMaxClearedReportDelay * fraction);
}

void Quarantine::apply_report(MonotonicTime now, const CrashReport& report) {
  const bool evidence =
      report.event == CrashEvent::kInterrupted || report.event == CrashEvent::kCrashed;
  if (evidence && this->history.completed_lately(now, report.request)) {
    this->report_cleared_part(report.request);
    if (report.event == CrashEvent::kCrashed) this->ledger.on_engine_crashed(now, report.engine);
    return;
  }
  const MonotonicTime at = now - std::chrono::milliseconds(report.age_ms);
  const InterruptedRequest interrupted{{report.request, report.caller}, report.engine, false, true};
  switch (report.event) {
    case CrashEvent::kInterrupted:
      return this->ledger.on_interrupted(at, interrupted);
    case CrashEvent::kCrashed:
      this->ledger.on_interrupted(at, interrupted);
      return this->ledger.on_engine_crashed(now, report.engine);
    case CrashEvent::kCleared: {
      const bool was_quarantined = this->ledger.is_quarantined(report.request);
      this->ledger.clear(at, report.request);
      std::erase_if(this->pending_reports, [&](const PendingReport& pending) {
        return is_prompt_part(report.request) && pending.request == report.request &&
               pending.send_count == 0;
      });
      if (was_quarantined) this->notify_changed(false);
      return;
    }
    case CrashEvent::kTrialStarted:
      return this->ledger.begin_trial(at, report.request, report.engine);
    case CrashEvent::kAlive:
      return this->ledger.on_engine_answered(at, report.engine);
    case CrashEvent::kTrialEnded:
      return this->ledger.end_trial(report.request);
  }
}

/// Starts the pending liveness checks and publishes new quarantines.
void Quarantine::process_ledger() {
  const MonotonicTime now = this->io.runtime.now();
  for (const EngineKey key : this->ledger.take_liveness_checks(now)) this->check_liveness(key);
  for (const QuarantinedRequest& entry : this->ledger.take_new_quarantines(now)) {
    // All nodes reach the same result; only those with evidence of their own report it, so that
    // traffic does not grow with the square of the fleet.
    const bool own = this->reported_requests.count(entry.request) > 0;
    this->log_quarantined(entry, own ? "seen" : "heard");
    if (own) this->queue_evidence(entry.request);
    this->notify_changed(own);
  }
}

void Quarantine::notify_changed(bool own) {
  if (this->change_handler) this->change_handler(own);
}

void Quarantine::check_liveness(EngineKey key) {
  const EngineView* view = this->io.engines.find_by_key(key);
  if (view == nullptr) return;
  const LivenessCheck check{view->record.id, view->record.started_unix_ms, {}};
  if (this->io.paths.is_broken(check.engine) && this->check_on_other_path(check)) return;
  this->start_check(check);
}

/// @return whether there is another node to check through.
bool Quarantine::check_on_other_path(LivenessCheck check) {
  if (check.tried_peers.size() >= kMaxPeersAsked) return false;
  check.tunnel = this->io.paths.choose_tunnel(check.engine, check.tried_peers);
  if (!check.tunnel) return false;
  check.tried_peers.push_back(check.tunnel->address);
  this->start_check(std::move(check));
  return true;
}

void Quarantine::start_check(LivenessCheck check) {
  const EngineView* view = this->io.engines.find(check.engine);
  if (view == nullptr) return;
  OutgoingRequest call =
      this->io.dialect.report_request(view->record.address, view->record.own_name());
  expect_unnamed_answer(call, this->io.dialect.names());
  call.connect_timeout = kLivenessTimeout;
  call.total_timeout = kLivenessTimeout;
  call.tunnel = check.tunnel;
  check.sent_at = this->io.runtime.now();
  this->io.http.fetch(std::move(call), [this, still_alive = this->alive, check](
                                           const tl::expected<HttpReply, TransferError>& reply) {
    if (*still_alive) this->on_liveness_reply(check, reply);
  });
}

/// @return whether another incarnation or another engine answers at the address.
bool Quarantine::is_replaced(const LivenessCheck& check, const HttpReply& reply) const {
  if (reply.status == http_status::kMisdirected) return true;
  if (reply.status != http_status::kOk) return false;
  const auto report = this->io.dialect.parse_report(reply.body);
  if (!report || !report->started_unix_ms) return false;
  return *report->started_unix_ms != check.started_unix_ms;
}

void Quarantine::on_liveness_reply(const LivenessCheck& check,
                                   const tl::expected<HttpReply, TransferError>& reply) {
  if (!reply && reply.error().failure == TransferFailure::kNothingSent) {
    return this->on_not_connected(check, reply.error());
  }
  if (!reply) return this->finish_check(check, LivenessResult::kSilent);
  if (this->is_replaced(check, *reply)) return this->finish_check(check, LivenessResult::kEnded);
  this->finish_check(check, LivenessResult::kLives);
  this->io.listener.on_response_head(check.engine, reply->status, reply->headers);
  // The check was sent after all known interruptions, even at the same clock reading.
  this->on_engine_answered(check.engine, check.sent_at + Duration(1));
  this->queue_report(CrashEvent::kAlive, {}, engine_key(check.engine), check.sent_at);
}

/// The engine has crashed if its host refuses connections of other nodes as well.
void Quarantine::on_not_connected(LivenessCheck check, const TransferError& error) {
  if (check.tunnel) {
    this->io.paths.on_tunnel_failed(*check.tunnel, error.tunnel_status);
    if (error.connection_refused) ++check.refusals;
    check.peers_answered = check.peers_answered || error.tunnel_status.has_value();
  } else {
    this->io.paths.on_connect_failed(check.engine, error.connection_refused);
    check.refused_directly = error.connection_refused;
  }
  if (this->io.paths.confirmed(check.engine, check.refusals)) {
    return this->finish_check(check, LivenessResult::kEnded);
  }
  if (this->check_on_other_path(check)) return;
  if (!check.refused_directly || check.peers_answered) {
    return this->finish_check(check, LivenessResult::kSilent);
  }
  this->io.paths.verify([this, still_alive = this->alive, check](bool reaches_engines) {
    if (*still_alive)
      this->finish_check(check, reaches_engines ? LivenessResult::kEnded : LivenessResult::kSilent);
  });
}

const char* Quarantine::result_name(LivenessResult result) {
  switch (result) {
    case LivenessResult::kLives:
      return "lives";
    case LivenessResult::kEnded:
      return "ended";
    case LivenessResult::kSilent:
      return "silent";
  }
  return "silent";
}

void Quarantine::finish_check(const LivenessCheck& check, LivenessResult result) {
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_asked",
            {{"engine", check.engine.value()},
             {"found", result_name(result)},
             {"via", check.tunnel ? check.tunnel->address : std::string()}});
  if (result == LivenessResult::kEnded) this->on_engine_crashed(check.engine);
}

void Quarantine::log_quarantined(const QuarantinedRequest& entry, const char* source) const {
  this->io.metrics.count_quarantined(source);
  std::string engines;
  for (const EngineKey key : entry.crashed_engines) {
    const EngineView* view = this->io.engines.find_by_key(key);
    if (!engines.empty()) engines += ',';
    engines += view != nullptr ? view->record.id.value() : std::to_string(key);
  }
  log_event(LogArea::kControl, LogLevel::kWarning, "request_held_back",
            {{"identity", to_text(entry.request)},
             {"kind", is_prompt_part(entry.request) ? "prompt part" : "request"},
             {"part", is_prompt_part(entry.request) ? part_text(entry.request) : std::string()},
             {"engines_ended", entry.crashed_engines.size()},
             {"engines", engines},
             {"callers", entry.callers.size()},
             {"source", source},
             {"for_s", to_seconds(entry.time_left)}});
}

void Quarantine::tick() {
  this->history.expire(this->io.runtime.now());
  if (this->empty()) return;
  this->ledger.expire(this->io.runtime.now());
  this->process_ledger();
  std::erase_if(this->reported_requests,
                [this](const RequestIdentity& request) { return !this->ledger.contains(request); });
  this->io.metrics.set_gauge("requests_held_back", static_cast<double>(this->quarantined().size()));
}

}  // namespace shuntbank::relay
