/// @file
/// Tracks whether this node can connect to engines at all.
#pragma once

#include <cstddef>
#include <set>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// What one node's attempts show of its direct network paths to the engines, as opposed to the
/// state of the engines.
class EngineReachability {
 public:
  explicit EngineReachability(MonotonicTime now) : last_answer_at(now) {}

  /// No connection to an engine could be made.
  void on_connect_failed(const EngineId& engine) { this->failed.insert(engine); }

  /// An engine has answered.
  void on_answer(MonotonicTime now) {
    this->last_answer_at = now;
    this->failed.clear();
  }

  /// @return engines to which connections failed since the last answer of any engine.
  std::size_t failed_engines() const { return this->failed.size(); }

  /// @return time since the last answer of any engine, or since the start.
  Duration since_last_answer(MonotonicTime now) const { return now - this->last_answer_at; }

 private:
  std::set<EngineId> failed;
  MonotonicTime last_answer_at;
};

}  // namespace shuntbank::relay
