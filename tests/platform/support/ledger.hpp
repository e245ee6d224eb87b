/// @file
/// Records what callers sent, engines ran and callers received, and checks invariants over it.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "support/drain_checker.hpp"
#include "support/limit_checker.hpp"
#include "support/notice_checker.hpp"
#include "support/path_checker.hpp"
#include "support/quota_checker.hpp"
#include "support/stream_version_checker.hpp"

namespace shuntbank::testing {

using SteadyTime = std::chrono::steady_clock::time_point;

/// A request as sent by its caller.
struct SentRequest {
  std::string id;
  std::string method;
  std::string target;
  std::string body;
  std::string service;            ///< The only service that may run it.
  bool repeatable = false;        ///< May run more than once.
  std::uint64_t event_count = 0;  ///< Events of the complete stream; 0: a plain answer.
  std::string node{};             ///< Node that it was sent to.
  MonotonicTime sent_at{};
  std::string tenant{};  ///< Empty: none.
  double cost = 0;       ///< Under the tenant's quota.
  /// The request that brought the first event, if a stream is taken up.
  std::string resumed{};
  std::uint64_t after_event = 0;  ///< The caller has this event; 0: none.

  /// @return the request that brought the first event.
  const std::string& stream() const { return this->resumed.empty() ? this->id : this->resumed; }

  bool operator==(const SentRequest&) const = default;
};

/// An answer as sent by its engine.
struct EngineAnswer {
  std::string request;
  int status = 0;
  std::string body;
  std::string engine{};  ///< Incarnation that sent it.

  bool operator==(const EngineAnswer&) const = default;
};

/// A violated invariant.
struct Violation {
  std::string rule;
  std::string what;

  bool operator==(const Violation&) const = default;
};

/// Bound on retries that reach a service.
struct RetryBound {
  double ratio = 0.2;
  double slack = 0;
  std::chrono::seconds window{10};
};

/// The record of one soak run. Not thread safe.
class Ledger {
 public:
  /// Path of requests that crash engines.
  static constexpr std::string_view kCrashingPath = "/stream/deadly";

  explicit Ledger(const RetryBound& retry_bound) : bound(retry_bound) {}

  /// Within this time a node must stop sending to an engine that announced draining.
  static constexpr std::chrono::milliseconds kDrainingGrace{2000};

  /// Tokens that a tenant may use beyond its quota in a window.
  static constexpr double kQuotaSlack = 70'000;
  /// Time until all nodes apply a lower quota: the longest fault of the store, and 3 s.
  static constexpr std::chrono::seconds kQuotaApplyTime{12};

  // Callers.
  void on_sent(const SentRequest& request);
  void on_answer_received(const std::string& id, int status, const std::string& seal,
                          const std::string& body);
  /// The answer's headers say that its engine is draining.
  void on_draining_received(const std::string& seal);
  /// The answer's headers carry its engine's limit.
  void on_limit_received(const std::string& seal);
  /// @param number of the event in arrival order. @return whether it is the expected one.
  bool on_event_received(const std::string& id, std::uint64_t number, const std::string& text);
  void on_stream_end_received(const std::string& id, std::uint64_t last);
  /// @param served whether the caller got the whole answer of an engine.
  void on_request_ended(const SentRequest& request, bool served) {
    this->paths.on_request_ended(request.node, request.sent_at, served);
  }

  // Engines.
  /// @param prefill_only whether the engine accepts the request for a remote prefill; false when
  /// it refuses the request.
  void on_arrival(const std::string& id, const std::string& service, bool prefill_only);
  /// A request reached the incarnation it was sent to, which may still refuse it.
  void on_received_by_engine(const std::string& id, const std::string& engine);
  /// The store has acknowledged that an engine is draining.
  void on_draining_registered(const std::string& engine) {
    this->drains.on_draining(monotonic_now(), engine);
  }
  /// An engine refuses a request and asks its node for a cooldown.
  void on_cooldown_requested(const std::string& id, const std::string& engine, Duration duration);
  /// An engine announces its limit in requests per second over all nodes, or removes it.
  void on_limit_changed(const std::string& engine, std::optional<double> per_second);
  void on_run(const std::string& id, const std::string& service, const std::string& method,
              const std::string& target, const std::string& body);
  /// Records an answer. @return the unique seal to send with it.
  std::string seal_answer(const EngineAnswer& answer);
  void on_handle_created(const std::string& handle, const std::string& id);
  void on_handle_used(const std::string& handle, const std::string& id);
  /// A request that crashes each engine that runs it has reached one.
  /// @param name common to all attempts. @param undisturbed whether relays and store have been
  /// free of faults for long enough to propagate the crashes.
  void on_crashing_request(const std::string& name, bool undisturbed);
  void on_engine_crashed(const std::string& name);
  std::size_t crash_count(const std::string& name) const;

  void on_order(const std::string& engine, const std::string& holder, std::uint64_t fence);

  /// Sets a tenant's quota.
  void set_quota(const std::string& tenant, double per_second, double burst) {
    this->quotas.set_quota(monotonic_now(), tenant, per_second, burst);
  }

  // Faults.
  /// A node was restarted, stalled or resumed.
  void on_node_disturbed(const std::string& node) {
    this->notices.reset_node(node);
    this->drains.on_node_disturbed(monotonic_now(), node);
    this->limits.reset_node(node);
    this->paths.on_node_disturbed(monotonic_now(), node);
    this->streams.on_node_disturbed(monotonic_now(), node);
  }

  /// Nodes are cut off from all engines, or reach them again.
  void on_paths_cut(std::set<std::string> nodes) {
    this->paths.on_cut(monotonic_now(), std::move(nodes));
  }
  void on_store_fault(bool failing) {
    this->drains.on_store_fault(monotonic_now(), failing);
    this->paths.on_store_fault(monotonic_now(), failing);
    this->streams.on_store_fault(monotonic_now(), failing);
  }
  /// The store does not answer one node, or does so again.
  void on_store_link_fault(const std::string& node, bool failing) {
    this->drains.on_store_link_fault(monotonic_now(), node, failing);
  }
  void on_paths_restored() { this->paths.on_restored(monotonic_now()); }
  /// Judges the last cut, once its requests have ended.
  void check_paths() {
    const std::string violation = this->paths.finish();
    if (!violation.empty()) this->add_violation("RECOVER", violation);
  }
  /// An event names the software version of its engine.
  void on_event_version(const SentRequest& request, const std::string& version) {
    const std::string violation = this->streams.on_event(request.stream(), version);
    if (!violation.empty()) {
      this->add_violation("ORDER", request.id + ", stream " + request.stream() + ": " + violation);
    }
  }
  StreamVersionChecker& stream_versions() { return this->streams; }
  const StreamVersionChecker& stream_versions() const { return this->streams; }
  void check_stream_versions() {
    const std::string violation = this->streams.finish();
    if (!violation.empty()) this->add_violation("LOST", violation);
  }
  std::size_t judged_at_cut_nodes() const { return this->paths.judged_requests(); }
  /// Whether a node runs a version without support for engine limits.
  void set_unaware_of_limits(const std::string& node, bool unaware) {
    this->limits.set_unaware(node, unaware);
  }
  /// The link between an engine and the nodes was faulty.
  void on_link_disturbed(const std::string& engine) {
    this->notices.reset_cooldowns(engine);
    this->drains.on_link_disturbed(monotonic_now(), engine);
  }

  /// A node may not have read an engine's last answer, nor a notice in it.
  void on_answer_hidden(const std::string& engine) { this->notices.reset_cooldowns(engine); }

  void add_violation(const std::string& rule, const std::string& what);

  std::size_t judged_after_draining() const { return this->drains.judged_requests(); }

  /// @return the highest utilization of a limit in any window.
  double max_limit_utilization() const { return this->limits.max_utilization(); }

  /// @return the highest utilization of a quota in any window.
  double max_quota_utilization() const { return this->quotas.max_utilization(); }

  const SentRequest* find(const std::string& id) const;
  const std::vector<Violation>& violations() const { return this->recorded_violations; }
  std::uint64_t count_runs(const std::string& id) const;

  /// @return the text of event `number` of a request's stream.
  static std::string event_text(const std::string& id, std::uint64_t number);

 private:
  struct Arrivals {
    std::deque<SteadyTime> requests;
    std::deque<SteadyTime> repeats;
  };
  struct CrashingRequest {
    std::size_t crashes = 0;
    SteadyTime third_crash_at{};  ///< When `kCrashLimit` was reached.
    std::size_t late_sends = 0;
  };
  void check_retry_budget(const std::string& service, SteadyTime now);

  RetryBound bound;
  std::map<std::string, SentRequest> requests;
  std::map<std::string, std::uint64_t> run_counts;
  std::map<std::string, bool> refused;
  std::map<std::string, EngineAnswer> answers_by_seal;
  std::map<std::string, std::string> handles;
  std::map<std::string, std::map<std::uint64_t, std::string>> fence_holders;
  std::map<std::string, std::uint64_t> arrival_counts;
  std::map<std::string, bool> prefill_seen;
  std::map<std::string, Arrivals> arrivals;
  std::map<std::string, CrashingRequest> crashing_requests;
  std::vector<Violation> recorded_violations;
  NoticeChecker notices{kDrainingGrace};
  DrainChecker drains{kDrainingGrace};
  LimitChecker limits;
  PathChecker paths;
  StreamVersionChecker streams;
  QuotaChecker quotas{{std::chrono::seconds(8), 0.1, kQuotaSlack, kQuotaApplyTime}};
  std::uint64_t seal_count = 0;
};

}  // namespace shuntbank::testing
