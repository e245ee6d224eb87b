// What a relayed request does about engines that end under it.
#include "common/log.hpp"
#include "net/http_status.hpp"
#include "relay/relay_session.hpp"
#include "relay/request_identity.hpp"

namespace shuntbank::relay {
namespace {

/// Engines that may have ended under a request, from which on it is given to none that has another
/// such request. With fewer, neighbours of the guilty one would be refused where engines are few.
constexpr std::size_t kIsolationThreshold = 2;

/// Engines that may have ended under a request, from which on it is sent to no further one until
/// that is known: as many as are enough to hold it back.
constexpr std::size_t kRetryStopThreshold = CrashLedgerSettings().enough;

/// An engine that has said nothing for so long when it is given up may have gone dark: many times
/// the pause between the tokens of a busy batch.
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

bool RelaySession::interruption_limit_reached() const {
  const CrashStanding status = suspect_status();
  return status.held_for.has_value() || status.broken >= kRetryStopThreshold;
}

/// A request under which engines have ended one after the other gets its final answer at once. It
/// protects all that runs at the next engine: in an incident up to ten streams each, at 49 engines.
bool RelaySession::reject_if_quarantined() {
  if (context_.quarantine.idle()) return false;
  identity_ = identity_of(request_, tenant_name());
  const CrashStanding status = suspect_status();
  if (status.held_for) {
    answer_quarantined(status);
    return true;
  }
  const char* const why = wait_reason(status);
  if (why == nullptr) return false;
  refuse(why);
  return true;
}

/// The status says that it has not run; that and the words tell the caller to mend the request. A
/// client error would be truer of it, but says nothing about whether it has run.
void RelaySession::answer_quarantined(const CrashStanding& status) {
  context_.quarantine.on_held_again(identity_->request);
  const std::string why = std::to_string(status.ended) + " engines have ended under this request";
  log_attempt("held_back", why);
  HttpHeaders headers;
  headers.add(context_.dialect.names().retry_after, retry_after_text(*status.held_for));
  respond(http_status::kTooManyRequests, headers, why + kQuarantineAdvice, "held_back");
}

const char* RelaySession::wait_reason(const CrashStanding& status) {
  if (!status.suspect()) return nullptr;
  // One broken connection is no reason to hold up what a caller sends again and again.
  const bool strong_evidence = status.ended > 0 || status.broken >= kIsolationThreshold;
  if (status.under_way && strong_evidence) {
    return "another try is under way, and engines may have ended under it";
  }
  // Others have ended engines with it. That is no reason to refuse whom nothing is known against;
  // but its own try tells, and goes no further than one engine.
  const bool confirmed = status.ended == status.broken;
  if (status.broken < kRetryStopThreshold || confirmed) return nullptr;
  return "it is being found out whether engines have ended under it";
}

/// Suspects that run apart from each other are told apart by the next engine that ends.
void RelaySession::update_crash_risk_engines() {
  crash_risk_engines_.clear();
  if (!suspect_status().suspect()) return;
  crash_risk_engines_ = context_.quarantine.engines_on_trial(identity_->request);
}

/// The engine broke off what it had of the request. Tries of one request bear the same identity, so
/// that what they met can be put together from the logs of all nodes.
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
