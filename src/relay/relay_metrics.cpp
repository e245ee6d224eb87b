#include "relay/relay_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace shuntbank::relay {
namespace {

const prometheus::Histogram::BucketBoundaries kSecondsBuckets{
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 0.8, 1.2, 2, 4, 8};

/// Finest around 1, as expectations should be right within a fifth.
const prometheus::Histogram::BucketBoundaries kRatioBuckets{0.25, 0.4,  0.5, 0.6, 0.7, 0.8, 0.9, 1,
                                                            1.1,  1.25, 1.5, 2,   3,   5,   10};

}  // namespace

class RelayMetrics::Impl {
 public:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter()
                                                          .Name("shuntbank_relay_requests_total")
                                                          .Help("Requests with their final result")
                                                          .Register(registry);
  prometheus::Family<prometheus::Counter>& attempts = prometheus::BuildCounter()
                                                          .Name("shuntbank_relay_attempts_total")
                                                          .Help("Attempts sent to engines")
                                                          .Register(registry);
  prometheus::Family<prometheus::Counter>& failures =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_attempt_failures_total")
          .Help("Attempts that brought no answer to pass on")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& answers_rejected =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_answers_rejected_total")
          .Help("Answers of engines that were cut off, by reason")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& promises =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_promises_total")
          .Help("Answers that promise that the request has not run, given or withheld")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& extra_sends =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_extra_sends_total")
          .Help("Sends charged to the retry budget")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& budget_exhausted =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_retry_budget_exhausted_total")
          .Help("Failed attempts that the retry budget did not let be made again")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& engines_ended =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_engines_ended_total")
          .Help("Engines at whose address nobody listened any more")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& quarantined =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_requests_held_back_total")
          .Help("Requests that this node came to hold back, by where it knew of them from")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& keys_refused =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_keys_refused_total")
          .Help("Requests refused for want of a tenant's key in force")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& tunnel_failures =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_tunnel_failures_total")
          .Help("Connections to engines that other nodes were asked for and did not open")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& engine_notices =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_engine_notices_total")
          .Help("Words of engines about themselves in the heads of their answers")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& stage_notices =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_stage_notices_total")
          .Help("Announced stage changes of engines, by what became of them")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& permits =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_permits_total")
          .Help("Sends to limited engines that were asked for, by outcome")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& quotas =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_quotas_total")
          .Help("Requests of tenants with a quota, by outcome")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& connections_closed_unread =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_connections_closed_unread_total")
          .Help("Callers' connections that were closed unread, as the link was full")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& streams_taken_up =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_streams_taken_up_total")
          .Help("Streams that callers took up, by whether the version that began them is known")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& admissions =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_admissions_total")
          .Help("Requests of model services, by the decision of admission control")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& waits_for_return =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_waits_for_return_total")
          .Help("Requests kept until an engine that rests takes requests again")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& duty_calls =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_duty_calls_total")
          .Help("Calls that this node made for the whole fleet")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& usage_windows =
      prometheus::BuildCounter()
          .Name("shuntbank_relay_usage_windows_total")
          .Help("Windows of usage that this node has dealt with")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& duration =
      prometheus::BuildHistogram()
          .Name("shuntbank_relay_request_seconds")
          .Help("Time from a request's arrival to its end")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& first_event =
      prometheus::BuildHistogram()
          .Name("shuntbank_relay_first_event_seconds")
          .Help("Time from a request's arrival to its first event")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& expectation =
      prometheus::BuildHistogram()
          .Name("shuntbank_relay_actual_over_expected")
          .Help("Time that a stage of a prompt took, over the expected time")
          .Register(registry);
  prometheus::Family<prometheus::Gauge>& gauges = prometheus::BuildGauge()
                                                      .Name("shuntbank_relay_state")
                                                      .Help("What the node believes now")
                                                      .Register(registry);
};

RelayMetrics::RelayMetrics() : impl_(std::make_unique<Impl>()) {}
RelayMetrics::~RelayMetrics() = default;

void RelayMetrics::count_request(const std::string& service, const std::string& result,
                                 Duration elapsed) {
  impl_->requests.Add({{"service", service}, {"result", result}}).Increment();
  impl_->duration.Add({{"service", service}}, kSecondsBuckets).Observe(to_seconds(elapsed));
}

void RelayMetrics::count_attempt(const std::string& service, const std::string& step) {
  impl_->attempts.Add({{"service", service}, {"step", step}}).Increment();
}

void RelayMetrics::count_failure(const std::string& service, const std::string& reason) {
  impl_->failures.Add({{"service", service}, {"reason", reason}}).Increment();
}

void RelayMetrics::count_answer_rejected(const std::string& reason) {
  impl_->answers_rejected.Add({{"reason", reason}}).Increment();
}

void RelayMetrics::count_promise(const std::string& service, const std::string& outcome) {
  impl_->promises.Add({{"service", service}, {"outcome", outcome}}).Increment();
}

void RelayMetrics::count_extra_send(const std::string& service) {
  impl_->extra_sends.Add({{"service", service}}).Increment();
}

void RelayMetrics::count_budget_exhausted(const std::string& service) {
  impl_->budget_exhausted.Add({{"service", service}}).Increment();
}

void RelayMetrics::count_engine_ended(const std::string& service) {
  impl_->engines_ended.Add({{"service", service}}).Increment();
}

void RelayMetrics::count_tunnel_failure(const std::string& status) {
  impl_->tunnel_failures.Add({{"status", status}}).Increment();
}

void RelayMetrics::count_engine_notice(const std::string& kind) {
  impl_->engine_notices.Add({{"word", kind}}).Increment();
}

void RelayMetrics::count_stage_notice(const std::string& outcome) {
  impl_->stage_notices.Add({{"outcome", outcome}}).Increment();
}

void RelayMetrics::count_wait_for_return(const std::string& service) {
  impl_->waits_for_return.Add({{"service", service}}).Increment();
}

void RelayMetrics::count_permit(const std::string& outcome) {
  impl_->permits.Add({{"outcome", outcome}}).Increment();
}

void RelayMetrics::count_quota(const std::string& outcome) {
  impl_->quotas.Add({{"outcome", outcome}}).Increment();
}

void RelayMetrics::count_connection_closed_unread() {
  impl_->connections_closed_unread.Add({}).Increment();
}

void RelayMetrics::count_stream_taken_up(const std::string& outcome) {
  impl_->streams_taken_up.Add({{"outcome", outcome}}).Increment();
}

void RelayMetrics::count_admission(const std::string& service, const std::string& decision) {
  impl_->admissions.Add({{"service", service}, {"decision", decision}}).Increment();
}

void RelayMetrics::count_quarantined(const std::string& source) {
  impl_->quarantined.Add({{"source", source}}).Increment();
}

void RelayMetrics::count_key_refused() {
  impl_->keys_refused.Add({}).Increment();
}

void RelayMetrics::count_duty_call(const std::string& duty, const std::string& outcome) {
  impl_->duty_calls.Add({{"duty", duty}, {"outcome", outcome}}).Increment();
}

void RelayMetrics::count_usage_window(const std::string& result) {
  impl_->usage_windows.Add({{"result", result}}).Increment();
}

void RelayMetrics::observe_first_event(const std::string& service, Duration elapsed) {
  impl_->first_event.Add({{"service", service}}, kSecondsBuckets).Observe(to_seconds(elapsed));
}

void RelayMetrics::observe_expectation(const std::string& service, const std::string& stage,
                                       const std::string& size, double actual_ms,
                                       double expected_ms) {
  if (expected_ms <= 0) return;
  impl_->expectation.Add({{"service", service}, {"stage", stage}, {"size", size}}, kRatioBuckets)
      .Observe(actual_ms / expected_ms);
}

void RelayMetrics::set_gauge(const std::string& name, double value) {
  impl_->gauges.Add({{"name", name}}).Set(value);
}

std::string RelayMetrics::to_text() const {
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, impl_->registry.Collect());
  return text.str();
}

}  // namespace shuntbank::relay
