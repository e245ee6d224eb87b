// Detection and quarantine of requests that crash engines.
#include "common/log.hpp"
#include "net/http_status.hpp"
#include "relay/relay_session.hpp"
#include "relay/request_identity.hpp"

namespace shuntbank::relay {
namespace {

/// From this many interruptions on, a request never shares an engine with another suspect. A lower
/// threshold would refuse harmless requests where engines are few.
constexpr std::size_t kIsolationThreshold = 2;

/// From this many interruptions on, a request is not sent again until the crashes are confirmed.
/// Equal to the quarantine threshold.
constexpr std::size_t kRetryStopThreshold = CrashLedgerSettings().enough;

/// An engine that was silent for this long when its attempt was cancelled may be unresponsive. Many
/// times the event interval of a busy batch.
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(500);

constexpr const char* kQuarantineAdvice =
    ", and it was not run. Do not send it again as it is: change it, or ask the operators to let "
    "it "
    "go.\n";

}  // namespace

CrashStanding RelaySession::suspect_status() const {
  return identity_ ? context_.quarantine.standing(*identity_) : CrashStanding();
}

bool RelaySession::needs_isolation() const {
  return suspect_status().broken >= kIsolationThreshold;
}

bool RelaySession::crash_limit_reached() const {
  const CrashStanding status = suspect_status();
  return status.held_for.has_value() || status.broken >= kRetryStopThreshold;
}

/// Answers a quarantined request at once, which protects the other requests of the next engine.
bool RelaySession::reject_if_quarantined() {
  if (context_.quarantine.idle()) return false;
  identity_ = identity_of(request_, tenant_name());
  const CrashStanding status = suspect_status();
  if (status.held_for) {
    answer_quarantined(status);
    return true;
  }
  const char* const why = refusal_reason(status);
  if (why == nullptr) return false;
  refuse(why);
  return true;
}

/// Answers 429, as other client errors don't tell the caller that the request was not run.
void RelaySession::answer_quarantined(const CrashStanding& status) {
  context_.quarantine.on_held_again(identity_->request);
  const std::string why = std::to_string(status.ended) + " engines have ended under this request";
  log_attempt("held_back", why);
  HttpHeaders headers;
  headers.add(context_.dialect.names().retry_after, retry_after_text(*status.held_for));
  respond(http_status::kTooManyRequests, headers, why + kQuarantineAdvice, "held_back");
}

const char* RelaySession::refusal_reason(const CrashStanding& status) {
  if (!status.suspect()) return nullptr;
  // A single interruption does not block concurrent attempts.
  const bool strong_evidence = status.ended > 0 || status.broken >= kIsolationThreshold;
  if (status.under_way && strong_evidence) {
    return "another attempt is in flight, and engines may have crashed under it";
  }
  // Confirmed crashes came from other callers, so this caller gets an attempt, at one engine only.
  const bool confirmed = status.ended == status.broken;
  if (status.broken < kRetryStopThreshold || confirmed) return nullptr;
  return "engine crashes under this request are not confirmed yet";
}

/// Keeps suspects at different engines, so that the next crash identifies the cause.
void RelaySession::update_crash_risk_engines() {
  crash_risk_engines_.clear();
  if (!suspect_status().suspect()) return;
  crash_risk_engines_ = context_.quarantine.engines_on_trial(identity_->request);
}

/// Logs the identity, which is the same for all attempts of a request, so that the logs of all
/// nodes can be joined.
void RelaySession::report_interruption() {
  if (!identity_) identity_ = identity_of(request_, tenant_name());
  log_event(LogArea::kCallers, LogLevel::kInfo, "broken_by_engine",
            {{"request", id_},
             {"identity", to_text(identity_->request)},
             {"caller", request_.caller},
             {"engine", engine_.value()},
             {"step", step_name()},
             {"after_ms", to_ms(context_.runtime.now() - sent_at_)}});
  context_.quarantine.on_broken(*identity_, engine_, sent_at_);
}

void RelaySession::report_unresponsive() {
  if (context_.runtime.now() - last_activity_at_ < kSilenceTimeout) return;
  if (!identity_) identity_ = identity_of(request_, tenant_name());
  context_.quarantine.on_silent(*identity_, engine_, sent_at_);
}

}  // namespace shuntbank::relay
