/// @file
/// Timeouts of an answer whose first byte has arrived.
#pragma once

#include "common/time.hpp"

namespace shuntbank {

/// Longest gap between two reads of an answer of unknown length. A timeout for the whole answer
/// would limit its size on a slow link. Covers queueing on a full link and a retransmission.
constexpr Duration kAnswerIdleTimeout = std::chrono::milliseconds(1500);

/// Longest time that such an answer may take. 64 MiB take 54 s at 10 Mbit/s.
constexpr Duration kMaxAnswerTime = std::chrono::seconds(60);

}  // namespace shuntbank
