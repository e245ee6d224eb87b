/// @file
/// Counters and histograms of a relay node, in the Prometheus text format.
#pragma once

#include <memory>
#include <string>

#include "common/time.hpp"

namespace shuntbank::relay {

/// Label values come from bounded sets: services, results and reasons.
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

  /// An engine's answer was cut off, as it can't be passed on. @param reason from a fixed set.
  void count_answer_rejected(const std::string& reason);

  /// A status that promises that a request has not run. @param outcome `given`, or `withheld` as
  /// the request may have run.
  void count_promise(const std::string& service, const std::string& outcome);

  /// A send was charged to the retry budget.
  void count_extra_send(const std::string& service);

  /// A failed attempt was not retried because the retry budget was exhausted.
  void count_budget_exhausted(const std::string& service);

  /// An engine was found terminated: nothing listens at its address.
  void count_engine_ended(const std::string& service);

  /// Another node opened no tunnel to an engine. @param status `refused`, `unreachable`,
  /// `target_unknown`, `unavailable` or `no_answer`.
  void count_tunnel_failure(const std::string& status);

  /// An engine sent a notice in a response. @param kind `leaving`, `rest`, `limit`, `limit_ended`
  /// or `unreadable`.
  void count_engine_notice(const std::string& kind);

  /// A notice of a stage change has begun or ended at this node as the lease holder. @param outcome
  /// `given`, `withdrawn`, `completed` or `expired`.
  void count_stage_notice(const std::string& outcome);

  /// A request was queued until an engine's cooldown ends.
  void count_wait_for_return(const std::string& service);

  /// A permit was requested. @param outcome `granted`, `later`, `unanswered` or `not_the_keeper`.
  void count_permit(const std::string& outcome);

  /// A request under a tenant's quota was decided on. @param outcome `granted`, `exceeded`,
  /// `granted_by_share` or `no_owner`.
  void count_quota(const std::string& outcome);

  /// A caller took a stream up. @param outcome `known`, or `unknown` version that began it.
  void count_stream_taken_up(const std::string& outcome);

  /// Admission control decided on a request. @param decision see `to_text(AdmissionAction)`.
  void count_admission(const std::string& service, const std::string& decision);

  /// A request was quarantined. @param source `seen`, `heard` or `store`.
  void count_quarantined(const std::string& source);

  /// A caller's connection was closed before it was read; see `IntakeGate`.
  void count_connection_closed_unread();

  /// A request without a valid tenant key was refused.
  void count_key_refused();

  /// A fleet-wide duty call was made. @param duty `usage` or `engines`.
  void count_duty_call(const std::string& duty, const std::string& outcome);

  /// A usage window was closed. @param result such as `reported` or `not_covered`.
  void count_usage_window(const std::string& result);

  /// The first event of a stream was forwarded.
  void observe_first_event(const std::string& service, Duration elapsed);

  /// A stage of a prompt took `actual_ms` where `expected_ms` was expected.
  /// @param stage `prefill`, `handover`, `whole` (prefilled at the decode engine) or `first_event`
  /// (from arrival).
  /// @param size see `prompt_size_class`.
  void observe_expectation(const std::string& service, const std::string& stage,
                           const std::string& size, double actual_ms, double expected_ms);

  /// Sets a gauge such as `config_version` or `config_age_seconds`.
  void set_gauge(const std::string& name, double value);

  /// @return all metrics in the text format.
  std::string to_text() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shuntbank::relay
