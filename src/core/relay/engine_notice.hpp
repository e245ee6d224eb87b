/// @file
/// What an engine says of itself in the head of an answer, whatever the answer.
#pragma once

#include <optional>

#include "common/time.hpp"

namespace shuntbank::relay {

/// The words of one head.
struct EngineNotice {
  bool leaving = false;          ///< It will end, and wants no new request from anyone.
  std::optional<Duration> rest;  ///< It wants no request from this node for so long.
  bool operator==(const EngineNotice&) const = default;
};

}  // namespace shuntbank::relay
