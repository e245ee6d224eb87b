/// @file
/// When an answer that has begun to come is taken for broken off.
#pragma once

#include "common/time.hpp"

namespace shuntbank {

/// Longest silence inside an answer whose length the asker does not know. A bound on the whole
/// answer would be one on its size: 245 KB take 0.2 s on an idle link of 10 Mbit/s and ten times as
/// long on a full one, and asking again makes the link carry them twice. A full link holds packets
/// back for about half a second, and a lost one is sent again within as long.
constexpr Duration kAnswerIdleTimeout = std::chrono::milliseconds(1500);

}  // namespace shuntbank
