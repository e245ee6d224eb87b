// Guards against a clock that stops while the machine is suspended: leases, deadlines and timeouts
// would then outlive their time. Simulates suspension by advancing CLOCK_BOOTTIME alone.
#include <criterion/criterion.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <atomic>

#include "core/lease/lease_holder.hpp"
#include "net/asio_runtime.hpp"

namespace {

/// Simulated suspension in seconds.
std::atomic<time_t> suspended_seconds{0};

}  // namespace

/// Replaces the system's function in this program.
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
                "the lease expires during suspension");
}

Test(suspension, fires_timers_that_became_due) {
  // The overdue long timer fires when the loop wakes up for the short one.
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
