/// @file
/// Judges the requests that reach engines against what the engines have said of themselves.
#pragma once

#include <algorithm>
#include <compare>
#include <map>
#include <string>
#include <vector>

#include "common/time.hpp"

namespace shuntbank::testing {

/// A node and one start of an engine.
struct NodeAndIncarnation {
  std::string node;
  std::string incarnation;

  auto operator<=>(const NodeAndIncarnation&) const = default;
};

/// The words of engines, and the requests that went against them.
class NoticeChecker {
 public:
  /// At most so many requests may reach an engine within one time of rest, after a moment for those
  /// that were on their way.
  static constexpr int kMaxRequestsInCooldown = 2;
  static constexpr Duration kInFlightTime = std::chrono::milliseconds(500);

  /// @param until_none how long after a node has been told that an engine leaves it may still send
  /// it what callers send.
  explicit NoticeChecker(Duration grace) : drain_grace(grace) {}

  /// A node has passed an answer on which says that the engine leaves.
  void on_draining_received(MonotonicTime now, const NodeAndIncarnation& pair) {
    this->draining_since.try_emplace(pair, now);
  }

  /// An engine has turned a request of a node away and asked for rest.
  void on_cooldown_requested(MonotonicTime now, const NodeAndIncarnation& pair, Duration cooldown) {
    this->cooldowns[pair].push_back({now + kInFlightTime, now + cooldown, 0});
  }

  /// A request reaches an engine. @param sent_at by its caller. @return what it breaks, or empty.
  std::string on_request(MonotonicTime now, const NodeAndIncarnation& pair, MonotonicTime sent_at) {
    const auto received = this->draining_since.find(pair);
    const bool known = received != this->draining_since.end();
    if (known && sent_at >= received->second + this->drain_grace) {
      return pair.incarnation + " had told " + pair.node + " that it leaves";
    }
    const auto requested = this->cooldowns.find(pair);
    if (requested == this->cooldowns.end()) return "";
    bool violated = false;
    for (Cooldown& cooldown : requested->second) {
      const bool inside = now > cooldown.from && now < cooldown.until;
      violated = (inside && ++cooldown.requests == kMaxRequestsInCooldown + 1) || violated;
    }
    return violated ? pair.incarnation + " had asked " + pair.node + " for rest" : "";
  }

  /// The node has been restarted or stood still, or could not hear.
  void reset_node(const std::string& node) {
    const auto of_node = [&](const auto& entry) { return entry.first.node == node; };
    std::erase_if(this->draining_since, of_node);
    std::erase_if(this->cooldowns, of_node);
  }

  /// What the engine has asked for may not have been heard.
  void reset_cooldowns(const std::string& incarnation) {
    std::erase_if(this->cooldowns,
                  [&](const auto& entry) { return entry.first.incarnation == incarnation; });
  }

 private:
  struct Cooldown {
    MonotonicTime from;
    MonotonicTime until;
    int requests = 0;
  };
  Duration drain_grace;
  std::map<NodeAndIncarnation, MonotonicTime> draining_since;
  std::map<NodeAndIncarnation, std::vector<Cooldown>> cooldowns;
};

}  // namespace shuntbank::testing
