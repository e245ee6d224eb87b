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
struct SentByCaller {
  std::string id;
  std::string method;
  std::string target;
  std::string body;
  std::string service;       ///< The only one that may run it.
  bool repeatable = false;   ///< May run more than once.
  std::uint64_t pieces = 0;  ///< Events of a whole stream; 0: a plain answer.
  std::string node{};        ///< That it was sent to.
  MonotonicTime at{};        ///< When.

  bool operator==(const SentByCaller&) const = default;
};

/// One answer of an engine, as it left.
struct AnswerOfEngine {
  std::string request;
  int status = 0;
  std::string body;
  std::string engine{};  ///< The start that gave it.

  bool operator==(const AnswerOfEngine&) const = default;
};

/// A promise that was broken, by its rule's usual name.
struct BrokenPromise {
  std::string rule;
  std::string what;

  bool operator==(const BrokenPromise&) const = default;
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
  static constexpr std::string_view kDeadlyPath = "/stream/deadly";

  explicit Ledger(const RetryBound& retry_bound) : bound(retry_bound) {}

  /// Until a node sends no request any more to an engine that has told it that it leaves.
  static constexpr std::chrono::milliseconds kUntilNone{2000};

  // Callers.
  void sent(const SentByCaller& request);
  void got_answer(const std::string& id, int status, const std::string& seal,
                  const std::string& body);
  /// The head of an answer has come that says that its engine leaves.
  void got_word_of_leaving(const std::string& seal);
  /// The head of an answer has come that names its engine's limit.
  void got_limit(const std::string& seal);
  /// One event of a stream, in its order. @return whether it was the one expected.
  bool got_event(const std::string& id, std::uint64_t number, const std::string& text);
  void got_stream_end(const std::string& id, std::uint64_t last);

  // Engines.
  /// @param reads_apart whether the engine takes the request up only to read its prompt; one that
  /// it refuses has arrived like any other.
  void arrived(const std::string& id, const std::string& service, bool reads_apart);
  /// A request is at an engine that it was meant for, whatever becomes of it.
  void reached(const std::string& id, const std::string& engine);
  /// An engine turns a request away and asks its node for rest.
  void asked_for_rest(const std::string& id, const std::string& engine, Duration rest);
  /// An engine says from now on how many requests a second it takes from all nodes together, or
  /// says so no more.
  void names_limit(const std::string& engine, std::optional<double> a_second);
  void runs(const std::string& id, const std::string& service, const std::string& method,
            const std::string& target, const std::string& body);
  /// @return the seal to send with the answer.
  std::string answers(const AnswerOfEngine& answer);
  void made_handle(const std::string& handle, const std::string& id);
  void took_handle(const std::string& handle, const std::string& id);
  /// A request that ends each engine that runs it has reached one, or has ended one.
  /// @param name of the request, whatever ids its tries have. @param calm all relays and the store
  /// have been undisturbed for as long as knowledge may take to be everywhere.
  void deadly_arrived(const std::string& name, bool calm);
  void deadly_ended_engine(const std::string& name);
  std::size_t ended_under(const std::string& name) const;

  void ordered(const std::string& engine, const std::string& holder, std::uint64_t fence);

  // Disturbances.
  /// A node was restarted, stood still or woke.
  void node_disturbed(const std::string& node) {
    this->notices.reset_node(node);
    this->limits.reset_node(node);
  }
  /// A node runs a program that does not know limits, or no longer does so.
  void set_unaware_of_limits(const std::string& node, bool unaware) {
    this->limits.set_unaware(node, unaware);
  }
  /// The way from an engine to the nodes was cut or harmed.
  void link_disturbed(const std::string& engine) { this->notices.reset_cooldowns(engine); }

  void broke(const std::string& rule, const std::string& what);

  /// @return the largest share of what limits allow that any window held.
  double most_of_limits() const { return this->limits.max_utilization(); }

  const SentByCaller* find(const std::string& id) const;
  const std::vector<BrokenPromise>& broken() const { return this->promises; }
  std::uint64_t count_runs(const std::string& id) const;

  /// @return the text of event `number` of a request's stream.
  static std::string event_text(const std::string& id, std::uint64_t number);

 private:
  struct Arrivals {
    std::deque<SteadyTime> requests;
    std::deque<SteadyTime> repeats;
  };
  struct Deadly {
    std::size_t ended = 0;
    SteadyTime third{};  ///< When the third engine ended.
    std::size_t late = 0;
  };
  void check_budget(const std::string& service, SteadyTime now);

  RetryBound bound;
  std::map<std::string, SentByCaller> requests;
  std::map<std::string, std::uint64_t> run_counts;
  std::map<std::string, bool> promised_not_run;
  std::map<std::string, AnswerOfEngine> answers_by_seal;
  std::map<std::string, std::string> handles;
  std::map<std::string, std::map<std::uint64_t, std::string>> holders;
  std::map<std::string, std::uint64_t> seen_arrivals;
  std::map<std::string, bool> seen_reads;
  std::map<std::string, Arrivals> arrivals;
  std::map<std::string, Deadly> deadly;
  std::vector<BrokenPromise> promises;
  NoticeChecker notices{kUntilNone};
  LimitChecker limits;
  std::uint64_t seals = 0;
};

}  // namespace shuntbank::testing
