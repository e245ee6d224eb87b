/// @file
/// When an answer that has begun to come is taken for broken off.
#pragma once

#include "common/time.hpp"

namespace shuntbank {

/// Longest silence inside an answer whose length the asker does not know. A bound on the whole
/// answer would be one on its size: half a megabyte takes 0.4 s on an idle link of 10 Mbit/s and
/// several on a full one, and asking again makes the link carry it twice. A full link holds packets
/// back for about half a second, and a lost one is sent again within as long.
constexpr Duration kAnswerSilence = std::chrono::milliseconds(1500);

}  // namespace shuntbank
