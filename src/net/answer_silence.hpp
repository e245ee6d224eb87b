/// @file
/// Idle timeout of an answer whose first byte has arrived.
#pragma once

#include "common/time.hpp"

namespace shuntbank {

/// Longest gap between two reads of an answer of unknown length. A timeout for the whole answer
/// would limit its size on a slow link. Covers queueing on a full link and a retransmission.
constexpr Duration kAnswerIdleTimeout = std::chrono::milliseconds(1500);

}  // namespace shuntbank
