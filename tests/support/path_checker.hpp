/// @file
/// Checks that nodes which are cut off from all engines serve their callers.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/time.hpp"

namespace shuntbank::testing {

/// Compares how often requests succeed at nodes without a direct path to the engines and at the
/// others. Disturbed nodes, and the time of a failing store, are left out.
class PathChecker {
 public:
  /// Time that a node has to find another path.
  static constexpr Duration kGrace = std::chrono::seconds(3);

  /// Requests at cut nodes have to succeed at least this often, relative to the others.
  static constexpr double kMinRelativeSuccess = 2.0 / 3;

  /// Failures that are allowed in any case: a number, and a share of all requests.
  static constexpr double kAllowedFailures = 10;
  static constexpr double kAllowedFailureShare = 1.0 / 50;

  void on_cut(MonotonicTime now, std::set<std::string> nodes) {
    this->cut = Cut{now, std::nullopt, std::move(nodes)};
    this->requests.clear();
  }

  void on_restored(MonotonicTime now) {
    if (this->cut) this->cut->until = now;
  }

  void on_node_disturbed(MonotonicTime now, const std::string& node) {
    this->disturbed_at[node] = now;
  }

  /// The store begins to fail, or works again.
  void on_store_fault(MonotonicTime now, bool failing) {
    const bool failed = !this->store_faults.empty() && !this->store_faults.back().until;
    if (failing && !failed) this->store_faults.push_back({now, std::nullopt});
    if (!failing && failed) this->store_faults.back().until = now;
  }

  /// A request has ended. @param served whether its caller got the whole answer.
  void on_request_ended(const std::string& node, MonotonicTime sent_at, bool served) {
    if (this->cut) this->requests.push_back({node, sent_at, served});
  }

  /// Judges the last cut, after all its requests have ended. @return the violation, or empty text.
  std::string finish() {
    if (!this->cut || !this->cut->until) return "";
    Tally at_cut;
    Tally at_others;
    for (const Request& request : this->requests) {
      if (!this->counts(request)) continue;
      Tally& tally = this->cut->nodes.count(request.node) > 0 ? at_cut : at_others;
      ++tally.requests;
      if (request.served) ++tally.served;
    }
    this->cut.reset();
    this->judged += at_cut.requests;
    const double allowed =
        kAllowedFailures + kAllowedFailureShare * (at_cut.requests + at_others.requests);
    const bool rarely_served = at_cut.share() < kMinRelativeSuccess * at_others.share();
    if (!rarely_served || at_cut.requests - at_cut.served <= allowed) return "";
    return "nodes cut off from all engines served " + at_cut.text() + " requests, the others " +
           at_others.text();
  }

  /// @return requests at cut nodes that were judged so far.
  std::size_t judged_requests() const { return static_cast<std::size_t>(this->judged); }

 private:
  struct Cut {
    MonotonicTime since{};
    std::optional<MonotonicTime> until;
    std::set<std::string> nodes;
  };
  struct Interval {
    MonotonicTime since{};
    std::optional<MonotonicTime> until;
  };
  struct Request {
    std::string node;
    MonotonicTime sent_at{};
    bool served = false;
  };
  struct Tally {
    double requests = 0;
    double served = 0;

    double share() const { return this->requests > 0 ? this->served / this->requests : 1; }
    std::string text() const {
      return std::to_string(static_cast<int>(this->served)) + " of " +
             std::to_string(static_cast<int>(this->requests));
    }
  };

  bool counts(const Request& request) const {
    const bool inside =
        request.sent_at >= this->cut->since + kGrace && request.sent_at < *this->cut->until;
    const auto disturbed = this->disturbed_at.find(request.node);
    const bool calm =
        disturbed == this->disturbed_at.end() || disturbed->second + kGrace < this->cut->since;
    return inside && calm && this->store_calm(request.sent_at);
  }

  /// A node that starts while the store fails does not know the others yet.
  bool store_calm(MonotonicTime at) const {
    return std::none_of(this->store_faults.begin(), this->store_faults.end(),
                        [at](const auto& fault) {
                          return at >= fault.since && (!fault.until || at < *fault.until + kGrace);
                        });
  }

  std::optional<Cut> cut;
  std::vector<Request> requests;
  std::map<std::string, MonotonicTime> disturbed_at;
  std::vector<Interval> store_faults;
  double judged = 0;
};

}  // namespace shuntbank::testing
