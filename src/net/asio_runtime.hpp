/// @file
/// Production implementation of `Runtime` on an Asio event loop.
#pragma once

#include <asio/io_context.hpp>

#include "common/runtime.hpp"

namespace shuntbank {

/// Provides the loop's timers, the system clocks and random numbers.
class AsioRuntime : public Runtime {
 public:
  explicit AsioRuntime(asio::io_context& loop) : loop_(loop) {}

  MonotonicTime now() const override;
  std::uint64_t unix_milliseconds() const override;
  std::unique_ptr<Timer> after(Duration delay, std::function<void()> function) override;
  void post(std::function<void()> function) override;
  std::string random_hex(std::size_t bytes) override;

 private:
  asio::io_context& loop_;
};

}  // namespace shuntbank
