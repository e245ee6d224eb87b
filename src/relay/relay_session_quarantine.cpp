// Detection and quarantine of requests that crash engines.
#include <sstream>

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
constexpr std::size_t kRetryStopThreshold = CrashLedgerSettings().quarantine_threshold;

/// An engine that was silent for this long when its attempt was cancelled may be unresponsive. Many
/// times the event interval of a busy batch.
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(500);

constexpr const char* kQuarantineAdvice =
    ", and it was not run. Do not send it again as it is: change it, or ask the operators to let "
    "it "
    "go.\n";

}  // namespace

SuspectStatus RelaySession::suspect_status() const {
  return identity_ ? context_.quarantine.status(*identity_) : SuspectStatus();
}

bool RelaySession::needs_isolation() const {
  return suspect_status().interruptions >= kIsolationThreshold;
}

bool RelaySession::crash_limit_reached() const {
  const SuspectStatus status = suspect_status();
  return status.quarantine_left.has_value() || status.interruptions >= kRetryStopThreshold;
}

/// Answers a quarantined request at once, which protects the other requests of the next engine: one
/// more crash would abort all streams there, up to ten where this was observed.
bool RelaySession::reject_if_quarantined() {
  if (context_.quarantine.empty()) return false;
  identity_ = identity_of(request_, tenant_name());
  const SuspectStatus status = suspect_status();
  if (status.quarantine_left) {
    answer_quarantined(status);
    return true;
  }
  const char* const why = refusal_reason(status);
  if (why == nullptr) return false;
  refuse(why);
  return true;
}

/// Answers 429, as other client errors don't tell the caller that the request was not run. The body
/// says that the request has to be changed.
void RelaySession::answer_quarantined(const SuspectStatus& status) {
  context_.quarantine.extend_quarantine(identity_->request);
  const std::string why = std::to_string(status.crashes) + " engines have ended under this request";
  log_attempt("held_back", why);
  HttpHeaders headers;
  headers.add(context_.dialect.names().retry_after, retry_after_text(*status.quarantine_left));
  respond(http_status::kTooManyRequests, headers, why + kQuarantineAdvice, "held_back");
}

const char* RelaySession::refusal_reason(const SuspectStatus& status) {
  if (!status.is_suspect()) return nullptr;
  // A single interruption does not block concurrent attempts, as one broken connection is too weak
  // as evidence to delay a request that a caller sends often.
  const bool strong_evidence = status.crashes > 0 || status.interruptions >= kIsolationThreshold;
  if (status.in_flight && strong_evidence) {
    return "another attempt is in flight, and engines may have crashed under it";
  }
  // Confirmed crashes came from other callers, so this caller gets an attempt, at one engine only:
  // there is no evidence against its own copy yet, and the outcome provides it.
  const bool confirmed = status.crashes == status.interruptions;
  if (status.interruptions < kRetryStopThreshold || confirmed) return nullptr;
  return "engine crashes under this request are not confirmed yet";
}

/// Keeps suspects at different engines, so that the next crash identifies the cause.
void RelaySession::update_crash_risk_engines() {
  crash_risk_engines_.clear();
  if (!suspect_status().is_suspect()) return;
  crash_risk_engines_ = context_.quarantine.trial_engines(identity_->request);
}

/// @return the ids of the prompt parts that other requests may share, as the caller named them.
std::string RelaySession::shared_parts_text() const {
  std::ostringstream text;
  if (!prompt_) return {};
  for (std::size_t i = 0; i + 1 < prompt_->parts.size(); ++i) {
    text << (i > 0 ? "," : "") << std::hex << prompt_->parts[i].id;
  }
  return text.str();
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
             {"parts", shared_parts_text()},
             {"after_ms", to_ms(context_.runtime.now() - sent_at_)}});
  context_.quarantine.on_interrupted(*identity_, engine_, sent_at_);
}

void RelaySession::report_unresponsive() {
  if (context_.runtime.now() - last_activity_at_ < kSilenceTimeout) return;
  if (!identity_) identity_ = identity_of(request_, tenant_name());
  context_.quarantine.on_unresponsive(*identity_, engine_, sent_at_);
}

}  // namespace shuntbank::relay
