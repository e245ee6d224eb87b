/// @file
/// Checks that nodes stop sending to engines whose draining the store has acknowledged.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "support/notice_checker.hpp"

namespace shuntbank::testing {

/// Judges nodes that have been undisturbed, and reached by the store, for `kContactTime`.
class DrainChecker {
 public:
  static constexpr Duration kContactTime = std::chrono::seconds(3);

  /// @param grace how long nodes may still send to a draining engine.
  explicit DrainChecker(Duration grace) : drain_grace(grace) {}

  /// The store has acknowledged that an engine is draining. While the store is faulty that does not
  /// count.
  void on_draining(MonotonicTime now, const std::string& engine) {
    if (this->store_fault.over_for(now) >= kContactTime) this->draining.try_emplace(engine, now);
  }

  /// A node was restarted, stalled or resumed.
  void on_node_disturbed(MonotonicTime now, const std::string& node) {
    this->disturbed_at[node] = now;
  }

  /// The link between an engine and the nodes was faulty.
  void on_link_disturbed(MonotonicTime now, const std::string& engine) {
    this->disturbed_at[engine] = now;
  }

  void on_store_fault(MonotonicTime now, bool failing) { this->store_fault.set(now, failing); }

  /// The store does not answer one node, or does so again.
  void on_store_link_fault(MonotonicTime now, const std::string& node, bool failing) {
    this->link_faults[node].set(now, failing);
  }

  /// A request reaches an engine. @param sent_at when the caller sent it. @return the violation, or
  /// empty text.
  std::string on_request(MonotonicTime now, const NodeAndIncarnation& pair, MonotonicTime sent_at) {
    const auto since = this->draining.find(pair.incarnation);
    if (since == this->draining.end() || sent_at < since->second) return "";
    if (!this->in_touch(now, pair)) return "";
    ++this->judged;
    const Duration elapsed = now - since->second;
    if (elapsed <= this->drain_grace) return "";
    return pair.incarnation + " has been draining for " + std::to_string(whole_ms(elapsed)) +
           " ms, sent by " + pair.node;
  }

  /// @return requests that reached draining engines and were judged.
  std::size_t judged_requests() const { return this->judged; }

 private:
  /// A fault that comes and goes.
  struct Fault {
    void set(MonotonicTime now, bool begins) {
      this->ongoing += begins ? 1 : -1;
      this->changed_at = now;
    }
    /// @return for how long it has been over; zero while it lasts.
    Duration over_for(MonotonicTime now) const {
      if (this->ongoing > 0) return Duration::zero();
      return this->changed_at ? now - *this->changed_at : Duration::max();
    }

    int ongoing = 0;  ///< Faults of this kind may overlap.
    std::optional<MonotonicTime> changed_at;
  };

  bool undisturbed(MonotonicTime now, const std::string& name) const {
    const auto found = this->disturbed_at.find(name);
    return found == this->disturbed_at.end() || now - found->second >= kContactTime;
  }

  bool in_touch(MonotonicTime now, const NodeAndIncarnation& pair) const {
    const auto link = this->link_faults.find(pair.node);
    const bool reached =
        link == this->link_faults.end() || link->second.over_for(now) >= kContactTime;
    return reached && this->store_fault.over_for(now) >= kContactTime &&
           this->undisturbed(now, pair.node) && this->undisturbed(now, pair.incarnation);
  }

  Duration drain_grace;
  std::map<std::string, MonotonicTime> draining;      ///< When it was acknowledged.
  std::map<std::string, MonotonicTime> disturbed_at;  ///< Of nodes and engines.
  std::map<std::string, Fault> link_faults;           ///< Of nodes, to the store.
  Fault store_fault;
  std::size_t judged = 0;
};

}  // namespace shuntbank::testing
