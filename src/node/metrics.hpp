/// @file
/// Metrics of a node, in the Prometheus text format. docs/API.md lists them.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace shuntbank {

/// All metrics of one node. Labels must not contain caller data.
class Metrics {
 public:
  Metrics();

  /// Counts a finished request.
  /// @param result `ok`, `refused`, `not_run`, `unknown` or `caller_gone`.
  void count_request(const std::string& service, const std::string& result);

  /// Counts a finished dispatch to an engine.
  /// @param result `ok`, `refused` or `failed`.
  void count_attempt(const std::string& service, const std::string& result);

  /// Records the time to the first token, in seconds.
  void observe_first_token(const std::string& service, double seconds);

  void count_chunks(std::uint64_t count) { chunks_.Increment(static_cast<double>(count)); }
  void count_dropped_chunk() { dropped_chunks_.Increment(); }
  void set_in_flight(double count) { in_flight_.Set(count); }
  void set_queue_length(double count) { queue_length_.Set(count); }
  void set_revision(double revision) { revision_.Set(revision); }
  void set_members(double count) { members_.Set(count); }
  void set_role_changes(const std::string& service, double count);
  void set_control_bytes(double sent, double received);

  /// @return all metrics in the text format.
  std::string to_text() const;

 private:
  prometheus::Gauge& gauge(const std::string& name, const std::string& help);
  prometheus::Counter& counter(const std::string& name, const std::string& help);

  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Histogram>& first_token_;
  prometheus::Family<prometheus::Gauge>& role_changes_;
  prometheus::Counter& chunks_;
  prometheus::Counter& dropped_chunks_;
  prometheus::Gauge& in_flight_;
  prometheus::Gauge& queue_length_;
  prometheus::Gauge& revision_;
  prometheus::Gauge& members_;
  prometheus::Gauge& control_sent_;
  prometheus::Gauge& control_received_;
};

}  // namespace shuntbank
