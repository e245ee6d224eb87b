/// @file
/// What a process gets from its surroundings: time, timers and randomness. The real one runs on an
/// Asio loop; the simulation has one of its own, so that the same code runs there, repeatable by a
/// seed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/time.hpp"

namespace shuntbank {

/// A pending call. Destroying it cancels the call.
class Timer {
 public:
  Timer() = default;
  virtual ~Timer() = default;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
};

/// Time, timers and randomness of one process. Everything runs on one thread.
class Runtime {
 public:
  Runtime() = default;
  virtual ~Runtime() = default;
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  /// @return the monotonic clock of this process.
  virtual MonotonicTime now() const = 0;

  /// @return the wall clock, in milliseconds since the Unix epoch.
  virtual std::uint64_t unix_milliseconds() const = 0;

  /// Calls `function` once after `delay`, unless the returned timer is destroyed before.
  [[nodiscard]] virtual std::unique_ptr<Timer> after(Duration delay,
                                                     std::function<void()> function) = 0;

  /// Calls `function` soon, never from inside this call.
  virtual void post(std::function<void()> function) = 0;

  /// @return `bytes` unpredictable bytes as hexadecimal digits; in a simulation, predictable ones.
  virtual std::string random_hex(std::size_t bytes) = 0;
};

/// @return an unpredictable number of 56 bits; in a simulation, a predictable one.
std::uint64_t random_number(Runtime& runtime);

/// @return an unpredictable fraction from 0 to less than 1, in steps of 1/65536.
double random_fraction(Runtime& runtime);

/// Calls `function` once after `delay`, whatever happens to the caller.
void call_after(Runtime& runtime, Duration delay, std::function<void()> function);

}  // namespace shuntbank
