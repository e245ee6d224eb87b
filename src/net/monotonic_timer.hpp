/// @file
/// Timers of an Asio loop that count the time for which the machine is suspended.
#pragma once

#include <asio/basic_waitable_timer.hpp>

#include "common/time.hpp"

namespace shuntbank {

/// The loop itself sleeps by a clock that stands still meanwhile: after a wake, what has become due
/// comes with the next timer that was due anyway, which a process with timers of a second or less
/// has within that time.
using MonotonicTimer = asio::basic_waitable_timer<MonotonicClock>;

}  // namespace shuntbank
