/// @file
/// Counters and histograms of a relay node, in the Prometheus text format.
#pragma once

#include <memory>
#include <string>

#include "common/time.hpp"

namespace shuntbank::relay {

/// Counts what a node did. Labels come from bounded sets: services, results and reasons.
class RelayMetrics {
 public:
  RelayMetrics();
  ~RelayMetrics();
  RelayMetrics(const RelayMetrics&) = delete;
  RelayMetrics& operator=(const RelayMetrics&) = delete;

  /// A request ended. @param result such as `answered`, `refused`, `failed`, `caller_gone`.
  void count_request(const std::string& service, const std::string& result, Duration elapsed);

  /// An attempt was sent. @param step `plain`, `prefill` or `decode`.
  void count_attempt(const std::string& service, const std::string& step);

  /// An attempt failed. @param reason from a fixed set.
  void count_failure(const std::string& service, const std::string& reason);

  /// A send was charged to the retry budget.
  void count_extra_send(const std::string& service);

  /// An attempt failed that could have been made again elsewhere, but for the retry budget.
  void count_budget_exhausted(const std::string& service);

  /// An engine was found ended: nobody listens at its address.
  void count_engine_ended(const std::string& service);

  /// An engine has said something of itself beside an answer. @param word `leaving`, `rest`,
  /// `limit`, `limit_ended` or `unreadable`.
  void count_engine_notice(const std::string& kind);

  /// A request is kept until an engine that rests takes requests again.
  void count_wait_for_return(const std::string& service);

  /// A send to a limited engine was asked for. @param outcome `granted`, `later`, `unanswered` or
  /// `not_the_keeper`.
  void count_permit(const std::string& outcome);

  /// A request is held back from now on. @param source `seen`, `heard` or `store`.
  void count_quarantined(const std::string& source);

  /// A request without a tenant's key in force was refused.
  void count_key_refused();

  /// A call was made for the whole fleet. @param duty `usage` or `engines`. @param outcome of it.
  void count_duty_call(const std::string& duty, const std::string& outcome);

  /// A window of usage was dealt with. @param result such as `reported` or `not_covered`.
  void count_usage_window(const std::string& result);

  /// The first event of a stream was passed on.
  void observe_first_event(const std::string& service, Duration elapsed);

  /// Sets a gauge such as `config_version` or `config_age_seconds`.
  void set_gauge(const std::string& name, double value);

  /// @return all figures as text.
  std::string to_text() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shuntbank::relay
