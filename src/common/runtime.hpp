/// @file
/// Interface to the environment of a process: time, timers and randomness. Production code runs on
/// an Asio loop; the simulation implements it deterministically from a seed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/time.hpp"

namespace shuntbank {

/// Handle of a scheduled call. Destroying it cancels the call.
class Timer {
 public:
  Timer() = default;
  virtual ~Timer() = default;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
};

/// Time, timers and randomness of one process. Single-threaded.
class Runtime {
 public:
  Runtime() = default;
  virtual ~Runtime() = default;
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  /// @return the current time of the process's monotonic clock.
  virtual MonotonicTime now() const = 0;

  /// @return the wall-clock time, in milliseconds since the Unix epoch.
  virtual std::uint64_t unix_milliseconds() const = 0;

  /// Calls `function` once after `delay`, unless the returned timer is destroyed earlier.
  [[nodiscard]] virtual std::unique_ptr<Timer> after(Duration delay,
                                                     std::function<void()> function) = 0;

  /// Queues `function` to run after the current call returns.
  virtual void post(std::function<void()> function) = 0;

  /// @return `bytes` random bytes as hexadecimal digits; deterministic in a simulation.
  virtual std::string random_hex(std::size_t bytes) = 0;
};

/// @return a random 56-bit number; deterministic in a simulation.
std::uint64_t random_number(Runtime& runtime);

/// @return a random fraction from 0 to less than 1, in steps of 1/65536.
double random_fraction(Runtime& runtime);

/// Calls `function` once after `delay`; the call cannot be cancelled.
void call_after(Runtime& runtime, Duration delay, std::function<void()> function);

}  // namespace shuntbank
