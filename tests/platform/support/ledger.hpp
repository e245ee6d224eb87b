/// @file
/// What callers sent, what engines ran and what callers got, and the promises checked over both.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "support/limit_judge.hpp"
#include "support/notice_judge.hpp"

namespace shuntbank::testing {

using SteadyTime = std::chrono::steady_clock::time_point;

/// What a request is, as its caller made it.
struct SentRequest {
  std::string id;
  std::string method;
  std::string target;
  std::string body;
  std::string service;            ///< The only one that may run it.
  bool repeatable = false;        ///< May run more than once.
  std::uint64_t event_count = 0;  ///< Events of a whole stream; 0: a plain answer.
  std::string node{};             ///< That it was sent to.
  MonotonicTime sent_at{};        ///< When.

  bool operator==(const SentRequest&) const = default;
};

/// One answer of an engine, as it left.
struct EngineAnswer {
  std::string request;
  int status = 0;
  std::string body;
  std::string engine{};  ///< The start that gave it.

  bool operator==(const EngineAnswer&) const = default;
};

/// A promise that was broken, by its rule's usual name.
struct Violation {
  std::string rule;
  std::string what;

  bool operator==(const Violation&) const = default;
};

/// Bound on repeated arrivals of a service.
struct RetryBound {
  double ratio = 0.2;
  double slack = 0;
  std::chrono::seconds window{10};
};

/// The record of one run. Not thread safe.
class Ledger {
 public:
  /// Of the requests that end engines.
  static constexpr std::string_view kCrashingPath = "/stream/deadly";

  explicit Ledger(const RetryBound& retry_bound) : bound(retry_bound) {}

  /// Until a node sends no request any more to an engine that has told it that it leaves.
  static constexpr std::chrono::milliseconds kDrainingGrace{2000};

  // Callers.
  void on_sent(const SentRequest& request);
  void on_answer_received(const std::string& id, int status, const std::string& seal,
                          const std::string& body);
  /// The head of an answer has come that says that its engine leaves.
  void on_draining_received(const std::string& seal);
  /// The head of an answer has come that names its engine's limit.
  void on_limit_received(const std::string& seal);
  /// One event of a stream, in its order. @return whether it was the one expected.
  bool on_event_received(const std::string& id, std::uint64_t number, const std::string& text);
  void on_stream_end_received(const std::string& id, std::uint64_t last);

  // Engines.
  /// @param reads_apart whether the engine takes the request up only to read its prompt; one that
  /// it refuses has arrived like any other.
  void on_arrival(const std::string& id, const std::string& service, bool prefill_only);
  /// A request is at an engine that it was meant for, whatever becomes of it.
  void on_received_by_engine(const std::string& id, const std::string& engine);
  /// An engine turns a request away and asks its node for rest.
  void on_cooldown_requested(const std::string& id, const std::string& engine, Duration duration);
  /// An engine says from now on how many requests a second it takes from all nodes together, or
  /// says so no more.
  void on_limit_changed(const std::string& engine, std::optional<double> per_second);
  void on_run(const std::string& id, const std::string& service, const std::string& method,
              const std::string& target, const std::string& body);
  /// @return the seal to send with the answer.
  std::string seal_answer(const EngineAnswer& answer);
  void on_handle_created(const std::string& handle, const std::string& id);
  void on_handle_used(const std::string& handle, const std::string& id);
  /// A request that ends each engine that runs it has reached one, or has ended one.
  /// @param name of the request, whatever ids its tries have. @param calm all relays and the store
  /// have been undisturbed for as long as knowledge may take to be everywhere.
  void on_crashing_request(const std::string& name, bool undisturbed);
  void on_engine_crashed(const std::string& name);
  std::size_t crash_count(const std::string& name) const;

  void on_order(const std::string& engine, const std::string& holder, std::uint64_t fence);

  // Disturbances.
  /// A node was restarted, stood still or woke.
  void node_disturbed(const std::string& node) {
    this->notices.excuse_node(node);
    this->limits.excuse_node(node);
  }
  /// A node runs a program that does not know limits, or no longer does so.
  void set_unaware_of_limits(const std::string& node, bool unaware) {
    this->limits.set_unaware(node, unaware);
  }
  /// The way from an engine to the nodes was cut or harmed.
  void link_disturbed(const std::string& engine) { this->notices.excuse_rests(engine); }

  void add_violation(const std::string& rule, const std::string& what);

  /// @return the largest share of what limits allow that any window held.
  double max_limit_utilization() const { return this->limits.most(); }

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
    SteadyTime third_crash_at{};  ///< When the third engine ended.
    std::size_t late_sends = 0;
  };
  void check_budget(const std::string& service, SteadyTime now);

  RetryBound bound;
  std::map<std::string, SentRequest> requests;
  std::map<std::string, std::uint64_t> run_counts;
  std::map<std::string, bool> refused_as_not_run;
  std::map<std::string, EngineAnswer> answers_by_seal;
  std::map<std::string, std::string> handles;
  std::map<std::string, std::map<std::uint64_t, std::string>> fence_holders;
  std::map<std::string, std::uint64_t> arrival_counts;
  std::map<std::string, bool> prefill_seen;
  std::map<std::string, Arrivals> arrivals;
  std::map<std::string, CrashingRequest> crashing_requests;
  std::vector<Violation> recorded_violations;
  NoticeJudge notices{kDrainingGrace};
  LimitJudge limits;
  std::uint64_t seal_count = 0;
};

}  // namespace shuntbank::testing
