#include "node/metrics.hpp"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace shuntbank {
namespace {

const prometheus::Histogram::BucketBoundaries kFirstTokenBuckets{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1, 2, 5, 10};

}  // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(prometheus::BuildCounter()
                    .Name("shuntbank_requests_total")
                    .Help("Requests with their final answer")
                    .Register(*registry_)),
      attempts_(prometheus::BuildCounter()
                    .Name("shuntbank_attempts_total")
                    .Help("Dispatches to engines")
                    .Register(*registry_)),
      first_token_(prometheus::BuildHistogram()
                       .Name("shuntbank_first_token_seconds")
                       .Help("Time from a request's arrival to its first token")
                       .Register(*registry_)),
      role_changes_(prometheus::BuildGauge()
                        .Name("shuntbank_role_changes")
                        .Help("Role changes that this holder of the lease confirmed")
                        .Register(*registry_)),
      chunks_(counter("shuntbank_chunks_total", "Chunks relayed to callers")),
      dropped_chunks_(counter("shuntbank_dropped_chunks_total", "Chunks of abandoned attempts")),
      in_flight_(gauge("shuntbank_requests_in_flight", "Requests dispatched and not answered")),
      queue_length_(gauge("shuntbank_queue_length", "Requests that wait for an engine")),
      revision_(gauge("shuntbank_config_revision", "Revision of the configuration in force")),
      members_(gauge("shuntbank_members", "Usable members of the cluster, this node included")),
      control_sent_(gauge("shuntbank_control_sent_bytes", "Datagram bytes sent to other nodes")),
      control_received_(
          gauge("shuntbank_control_received_bytes", "Datagram bytes received from other nodes")) {}

prometheus::Gauge& Metrics::gauge(const std::string& name, const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add({});
}

prometheus::Counter& Metrics::counter(const std::string& name, const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*registry_).Add({});
}

void Metrics::count_request(const std::string& service, const std::string& result) {
  requests_.Add({{"service", service}, {"result", result}}).Increment();
}

void Metrics::count_attempt(const std::string& service, const std::string& result) {
  attempts_.Add({{"service", service}, {"result", result}}).Increment();
}

void Metrics::observe_first_token(const std::string& service, double seconds) {
  first_token_.Add({{"service", service}}, kFirstTokenBuckets).Observe(seconds);
}

void Metrics::set_role_changes(const std::string& service, double count) {
  role_changes_.Add({{"service", service}}).Set(count);
}

void Metrics::set_control_bytes(double sent, double received) {
  control_sent_.Set(sent);
  control_received_.Set(received);
}

std::string Metrics::to_text() const {
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, registry_->Collect());
  return text.str();
}

}  // namespace shuntbank
