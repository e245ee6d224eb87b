// What a relayed request does about engines that end under it.
#include "common/log.hpp"
#include "net/http_status.hpp"
#include "relay/relay_session.hpp"
#include "relay/request_identity.hpp"

namespace shuntbank::relay {
namespace {

/// Engines that may have ended under a request, from which on it is given to none that has another
/// such request. With fewer, neighbours of the guilty one would be refused where engines are few.
constexpr std::size_t kRunApartFrom = 2;

/// Engines that may have ended under a request, from which on it is sent to no further one until
/// that is known: as many as are enough to hold it back.
constexpr std::size_t kStopFrom = CrashLedgerSettings().enough;

/// An engine that has said nothing for so long when it is given up may have gone dark: many times
/// the pause between the tokens of a busy batch.
constexpr Duration kSilence = std::chrono::milliseconds(500);

constexpr const char* kMendIt =
    ", and it was not run. Do not send it again as it is: change it, or ask the operators to let "
    "it "
    "go.\n";

}  // namespace

CrashStanding RelaySession::crash_standing() const {
  return identity_ ? context_.quarantine.status(*identity_) : CrashStanding();
}

bool RelaySession::runs_apart() const {
  return crash_standing().broken >= kRunApartFrom;
}

bool RelaySession::ends_engines() const {
  const CrashStanding standing = crash_standing();
  return standing.held_for.has_value() || standing.broken >= kStopFrom;
}

/// A request under which engines have ended one after the other gets its final answer at once. It
/// protects all that runs at the next engine: in an incident up to ten streams each, at 49 engines.
bool RelaySession::held_back() {
  if (context_.quarantine.empty()) return false;
  identity_ = identity_of(request_, tenant_name());
  const CrashStanding standing = crash_standing();
  if (standing.held_for) {
    answer_held_back(standing);
    return true;
  }
  const char* const why = reason_to_wait(standing);
  if (why == nullptr) return false;
  refuse(why);
  return true;
}

/// The status says that it has not run; that and the words tell the caller to mend the request. A
/// client error would be truer of it, but says nothing about whether it has run.
void RelaySession::answer_held_back(const CrashStanding& standing) {
  context_.quarantine.extend_quarantine(identity_->request);
  const std::string why = std::to_string(standing.ended) + " engines have ended under this request";
  log_attempt("held_back", why);
  HttpHeaders headers;
  headers.add(context_.dialect.names().retry_after, retry_after_text(*standing.held_for));
  respond(http_status::kTooManyRequests, headers, why + kMendIt, "held_back");
}

const char* RelaySession::reason_to_wait(const CrashStanding& standing) {
  if (!standing.suspect()) return nullptr;
  // One broken connection is no reason to hold up what a caller sends again and again.
  const bool strong = standing.ended > 0 || standing.broken >= kRunApartFrom;
  if (standing.under_way && strong) {
    return "another try is under way, and engines may have ended under it";
  }
  // Others have ended engines with it. That is no reason to refuse whom nothing is known against;
  // but its own try tells, and goes no further than one engine.
  const bool known = standing.ended == standing.broken;
  if (standing.broken < kStopFrom || known) return nullptr;
  return "it is being found out whether engines have ended under it";
}

/// Suspects that run apart from each other are told apart by the next engine that ends.
void RelaySession::keep_apart() {
  apart_from_.clear();
  if (!crash_standing().suspect()) return;
  apart_from_ = context_.quarantine.trial_engines(identity_->request);
}

/// The engine broke off what it had of the request. Tries of one request bear the same identity, so
/// that what they met can be put together from the logs of all nodes.
void RelaySession::note_broken() {
  if (!identity_) identity_ = identity_of(request_, tenant_name());
  log_event(LogArea::kCallers, LogLevel::kInfo, "broken_by_engine",
            {{"request", id_},
             {"identity", to_text(identity_->request)},
             {"caller", request_.caller},
             {"engine", engine_.value()},
             {"step", step_name()},
             {"after_ms", to_ms(context_.runtime.now() - sent_at_)}});
  context_.quarantine.on_interrupted(*identity_, engine_, sent_at_);
}

void RelaySession::note_silence() {
  if (context_.runtime.now() - heard_at_ < kSilence) return;
  if (!identity_) identity_ = identity_of(request_, tenant_name());
  context_.quarantine.on_unresponsive(*identity_, engine_, sent_at_);
}

}  // namespace shuntbank::relay
