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
struct NodeAndStart {
  std::string node;
  std::string start;

  auto operator<=>(const NodeAndStart&) const = default;
};

/// The words of engines, and the requests that went against them.
class NoticeJudge {
 public:
  /// At most so many requests may reach an engine within one time of rest, after a moment for those
  /// that were on their way.
  static constexpr int kMostInRest = 2;
  static constexpr Duration kOnTheWay = std::chrono::milliseconds(500);

  /// @param until_none how long after a node has been told that an engine leaves it may still send
  /// it what callers send.
  explicit NoticeJudge(Duration until_none) : leaving_bound(until_none) {}

  /// A node has passed an answer on which says that the engine leaves.
  void told_leaving(MonotonicTime now, const NodeAndStart& pair) {
    this->leaving.try_emplace(pair, now);
  }

  /// An engine has turned a request of a node away and asked for rest.
  void asked_for_rest(MonotonicTime now, const NodeAndStart& pair, Duration rest) {
    this->rests[pair].push_back({now + kOnTheWay, now + rest, 0});
  }

  /// A request reaches an engine. @param sent_at by its caller. @return what it breaks, or empty.
  std::string reaches(MonotonicTime now, const NodeAndStart& pair, MonotonicTime sent_at) {
    const auto told = this->leaving.find(pair);
    const bool known = told != this->leaving.end();
    if (known && sent_at >= told->second + this->leaving_bound) {
      return pair.start + " had told " + pair.node + " that it leaves";
    }
    const auto asked = this->rests.find(pair);
    if (asked == this->rests.end()) return "";
    bool broken = false;
    for (Rest& rest : asked->second) {
      const bool inside = now > rest.from && now < rest.until;
      broken = (inside && ++rest.requests == kMostInRest + 1) || broken;
    }
    return broken ? pair.start + " had asked " + pair.node + " for rest" : "";
  }

  /// The node has been restarted or stood still, or could not hear.
  void excuse_node(const std::string& node) {
    const auto of_node = [&](const auto& entry) { return entry.first.node == node; };
    std::erase_if(this->leaving, of_node);
    std::erase_if(this->rests, of_node);
  }

  /// What the engine has asked for may not have been heard.
  void excuse_rests(const std::string& start) {
    std::erase_if(this->rests, [&](const auto& entry) { return entry.first.start == start; });
  }

 private:
  struct Rest {
    MonotonicTime from;
    MonotonicTime until;
    int requests = 0;
  };
  Duration leaving_bound;
  std::map<NodeAndStart, MonotonicTime> leaving;
  std::map<NodeAndStart, std::vector<Rest>> rests;
};

}  // namespace shuntbank::testing
