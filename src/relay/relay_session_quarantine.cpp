// Detection and quarantine of requests that crash engines.
#include <algorithm>
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

/// The last part of a prompt is specific to the request.
std::vector<RequestIdentity> RelaySession::shared_part_identities() const {
  std::vector<RequestIdentity> parts;
  if (!prompt_) return parts;
  for (std::size_t i = 0; i + 1 < prompt_->parts.size(); ++i) {
    parts.push_back(part_identity(prompt_->model, prompt_->parts[i].id));
  }
  return parts;
}

const CrashCauses& RelaySession::crash_causes() {
  if (!causes_.empty()) return causes_;
  causes_.push_back(identity_of(request_, tenant_name()));
  const CallerAddressHash caller = causes_.front().caller;
  for (const RequestIdentity& part : shared_part_identities()) causes_.push_back({part, caller});
  return causes_;
}

SuspectStatus RelaySession::suspect_status() const {
  return causes_.empty() ? SuspectStatus() : context_.quarantine.status(causes_);
}

bool RelaySession::part_has_crashed_engine() const {
  return std::any_of(causes_.begin(), causes_.end(), [&](const CallerRequest& cause) {
    return is_prompt_part(cause.request) && context_.quarantine.status(cause).crashes > 0;
  });
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
  if (const CallerRequest* cause = context_.quarantine.quarantined_cause(crash_causes())) {
    answer_quarantined(*cause);
    return true;
  }
  for (const CallerRequest& cause : causes_) {
    const char* const why = refusal_reason(context_.quarantine.status(cause));
    if (why == nullptr) continue;
    refuse(why);
    return true;
  }
  return false;
}

/// A verdict, or another request with a suspected part, may have come while this one waited.
bool RelaySession::stop_if_quarantined() {
  if (context_.quarantine.empty() || history_.head_forwarded || !known_not_run(history_)) {
    return false;
  }
  return reject_if_quarantined();
}

/// Answers 429, as other client errors don't tell the caller that the request was not run. The body
/// says what has to be changed.
void RelaySession::answer_quarantined(const CallerRequest& cause) {
  context_.quarantine.extend_quarantine(cause);
  const SuspectStatus status = context_.quarantine.status(cause);
  const std::string what = is_prompt_part(cause.request)
                               ? "requests with the prompt part " + part_text(cause.request)
                               : std::string("this request");
  const std::string why = std::to_string(status.crashes) + " engines have ended under " + what;
  log_attempt("held_back", why);
  HttpHeaders headers;
  headers.add(context_.dialect.names().retry_after,
              retry_after_text(status.quarantine_left.value_or(context_.settings.retry_after)));
  return_quota();
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
  crash_risk_engines_ = context_.quarantine.trial_engines(causes_);
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
  crash_causes();
  log_event(LogArea::kCallers, LogLevel::kInfo, "broken_by_engine",
            {{"request", id_},
             {"identity", to_text(causes_.front().request)},
             {"caller", request_.caller},
             {"engine", engine_.value()},
             {"step", step_name()},
             {"parts", shared_parts_text()},
             {"after_ms", to_ms(context_.runtime.now() - sent_at_)}});
  // A part crashes engines that answer, not those that prefill.
  const bool prefill = step_ == Step::kPrefill;
  context_.quarantine.on_interrupted(prefill ? CrashCauses{causes_.front()} : causes_, engine_,
                                     sent_at_);
}

void RelaySession::report_unresponsive() {
  if (context_.runtime.now() - last_activity_at_ < kSilenceTimeout) return;
  context_.quarantine.on_unresponsive(crash_causes().front(), engine_, sent_at_);
}

void RelaySession::report_completed() {
  if (!causes_.empty()) context_.quarantine.on_completed(causes_.front().request);
  for (const RequestIdentity& part : shared_part_identities()) {
    context_.quarantine.on_completed(part);
  }
}

}  // namespace shuntbank::relay
