/// @file
/// Checks the requests that reach engines against the notices that the engines have sent.
#pragma once

#include <algorithm>
#include <compare>
#include <map>
#include <string>
#include <vector>

#include "common/time.hpp"

namespace shuntbank::testing {

struct NodeAndIncarnation {
  std::string node;
  std::string incarnation;

  auto operator<=>(const NodeAndIncarnation&) const = default;
};

/// Tracks notices and finds requests that violate them.
class NoticeChecker {
 public:
  /// Limit on requests that reach an engine during one cooldown, not counting those in flight at
  /// its start.
  static constexpr int kMaxRequestsInCooldown = 2;
  static constexpr Duration kInFlightTime = std::chrono::milliseconds(500);

  /// @param grace how long a node may still send new requests after a draining notice.
  explicit NoticeChecker(Duration grace) : drain_grace(grace) {}

  /// A node has forwarded a response with a draining notice.
  void on_draining_received(MonotonicTime now, const NodeAndIncarnation& pair) {
    this->draining_since.try_emplace(pair, now);
  }

  /// An engine has refused a request of a node and requested a cooldown.
  void on_cooldown_requested(MonotonicTime now, const NodeAndIncarnation& pair, Duration cooldown) {
    this->cooldowns[pair].push_back({now + kInFlightTime, now + cooldown, 0});
  }

  /// A request reaches an engine. @param sent_at when the caller sent it. @return the violation, or
  /// empty text.
  std::string on_request(MonotonicTime now, const NodeAndIncarnation& pair, MonotonicTime sent_at) {
    const auto received = this->draining_since.find(pair);
    const bool known = received != this->draining_since.end();
    if (known && sent_at >= received->second + this->drain_grace) {
      return pair.incarnation + " had announced to " + pair.node + " that it is draining";
    }
    const auto requested = this->cooldowns.find(pair);
    if (requested == this->cooldowns.end()) return "";
    bool violated = false;
    for (Cooldown& cooldown : requested->second) {
      const bool inside = now > cooldown.from && now < cooldown.until;
      violated = (inside && ++cooldown.requests == kMaxRequestsInCooldown + 1) || violated;
    }
    return violated ? pair.incarnation + " had asked " + pair.node + " for a cooldown" : "";
  }

  /// The node was restarted, stalled or disconnected, and may not know of notices.
  void reset_node(const std::string& node) {
    const auto of_node = [&](const auto& entry) { return entry.first.node == node; };
    std::erase_if(this->draining_since, of_node);
    std::erase_if(this->cooldowns, of_node);
  }

  /// Cooldown notices of this engine may have been lost.
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
