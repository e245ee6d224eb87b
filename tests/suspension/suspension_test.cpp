// Seen: a machine may be suspended for seconds. The clock that timers usually rest on stands still
// meanwhile, so that a process believes all it knows to be younger than it is by the length of it:
// a lease that has passed, requests whose callers have given up, engines and nodes that were heard
// of. Cause: all time of the product was that of such a clock. Proved by: these tests, whose
// process is told that it was suspended: the clock of the time since boot jumps, the other one goes
// on as if nothing had been.
#include <criterion/criterion.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <atomic>

#include "core/lease/lease_holder.hpp"
#include "net/asio_runtime.hpp"

namespace {

/// How long this machine has been suspended, in seconds.
std::atomic<time_t> suspended_seconds{0};

}  // namespace

/// Stands before the system's own in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* now) {
  const long result = syscall(SYS_clock_gettime, clock, now);
  if (result == 0 && clock == CLOCK_BOOTTIME) now->tv_sec += suspended_seconds;
  return static_cast<int>(result);
}

using namespace shuntbank;
using namespace std::chrono_literals;

Test(suspension, counts_in_the_monotonic_clock) {
  const MonotonicTime before = monotonic_now();
  suspended_seconds = 100;
  const Duration passed = monotonic_now() - before;
  cr_assert(passed >= 100s);
}

Test(suspension, expires_a_lease) {
  LeaseHolder holder(NodeId("n1"), {10s, 3s, 2s});
  MonotonicTime now = monotonic_now();
  cr_assert(holder.poll(now, true, "w1") == LeaseAction::kRead);
  holder.on_read(now, VersionedLease{});
  now += 4s;
  cr_assert(holder.poll(now, true, "w1") == LeaseAction::kWrite);
  holder.on_written(now, true, 1);
  cr_assert(holder.authority(monotonic_now()).has_value());
  suspended_seconds = 20;
  cr_assert_not(holder.authority(monotonic_now()).has_value(),
                "a holder that wakes knows that it slept");
}

Test(suspension, fires_timers_that_became_due) {
  // The process wakes for its next short timer, and finds the long one due as well.
  asio::io_context loop;
  AsioRuntime runtime(loop);
  bool long_timer_fired = false;
  const auto long_timer = runtime.after(60s, [&] { long_timer_fired = true; });
  const auto short_timer = runtime.after(20ms, [&] { runtime.post([&] { loop.stop(); }); });
  suspended_seconds = 100;
  loop.run();
  loop.restart();
  loop.poll();
  cr_assert(long_timer_fired);
}
