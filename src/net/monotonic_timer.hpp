/// @file
/// Asio timer that includes the time for which the machine is suspended.
#pragma once

#include <asio/basic_waitable_timer.hpp>

#include "common/time.hpp"

namespace shuntbank {

/// The event loop itself waits on a clock that stops during suspension. After a resume, overdue
/// timers therefore fire only with the loop's next wake-up, at the latest with the next short
/// timer.
using MonotonicTimer = asio::basic_waitable_timer<MonotonicClock>;

}  // namespace shuntbank
