// Admission of a relayed request under its tenant's quota.
#include "common/log.hpp"
#include "net/http_status.hpp"
#include "relay/relay_session.hpp"

namespace shuntbank::relay {
namespace {

/// A grant that is returned later may have been replaced by new ones already, as the quota's burst
/// has been replenished.
constexpr Duration kMaxGrantReturnAge = std::chrono::seconds(1);

}  // namespace

/// Each run counts, so that a retry after an uncertain failure needs a grant of its own.
bool RelaySession::needs_quota() const {
  return quota_request_ && quota_grants_ <= history_.may_have_run;
}

void RelaySession::acquire_quota() {
  context_.quotas.acquire(
      *quota_request_,
      [self = shared_from_this()](const QuotaDecision& decision) { self->on_quota(decision); });
}

void RelaySession::on_quota(const QuotaDecision& decision) {
  if (decision.granted) {
    ++quota_grants_;
    quota_granted_at_ = context_.runtime.now();
  }
  if (ended_) return return_quota();
  if (!decision.granted) return refuse_over_quota(decision.retry_after);
  dispatch();
}

void RelaySession::refuse_over_quota(Duration retry_after) {
  log_event(LogArea::kCallers, LogLevel::kInfo, "quota_exceeded",
            {{"request", id_},
             {"tenant", quota_request_->tenant.value()},
             {"cost", quota_request_->cost},
             {"per_second", quota_request_->terms.per_second},
             {"config", quota_request_->terms.configuration},
             {"retry_ms", whole_ms(retry_after)}});
  if (history_.head_forwarded || !known_not_run(history_)) {
    return fail(http_status::kBadGateway, "the tenant's quota is used up");
  }
  HttpHeaders headers;
  headers.add(context_.dialect.names().retry_after, retry_after_text(retry_after));
  respond(http_status::kTooManyRequests, headers, "", "over_quota");
}

/// Returns the grant of a request that has not run and never will.
void RelaySession::return_quota() {
  const bool unused = quota_grants_ > history_.may_have_run;
  if (!unused || context_.runtime.now() - quota_granted_at_ > kMaxGrantReturnAge) return;
  --quota_grants_;
  context_.quotas.release(*quota_request_);
}

}  // namespace shuntbank::relay
