/// @file
/// Judges what a node sends to engines against what they have told it of themselves.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/time.hpp"

namespace shuntbank::testing {

/// The words of engines by their starts, and the sends that went against them.
class NoticeJudge {
 public:
  /// At most so many requests may reach an engine within one time of rest, after a moment for those
  /// that were on their way.
  static constexpr int kMostInRest = 2;
  static constexpr Duration kOnTheWay = std::chrono::milliseconds(500);

  /// The node has the head of an answer.
  void said_leaving(const std::string& start) { this->leaving[start] = true; }
  void asked_for_rest(MonotonicTime now, const std::string& start, Duration rest) {
    this->rests[start].push_back({now + kOnTheWay, now + rest, 0});
  }

  /// A request of a caller leaves for an engine. @return what it breaks, or empty text.
  std::string sent(MonotonicTime now, const std::string& start) {
    std::string broken;
    if (this->leaving[start]) broken = start + " has said that it leaves";
    for (Rest& rest : this->rests[start]) {
      const bool inside = now > rest.from && now < rest.until;
      if (inside && ++rest.sends > kMostInRest) broken = start + " has asked for rest";
    }
    return broken;
  }

 private:
  struct Rest {
    MonotonicTime from;
    MonotonicTime until;
    int sends = 0;
  };
  std::map<std::string, bool> leaving;
  std::map<std::string, std::vector<Rest>> rests;
};

}  // namespace shuntbank::testing
