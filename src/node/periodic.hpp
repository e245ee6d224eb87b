/// @file
/// A timer that calls again and again until it is destroyed.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "common/time.hpp"

namespace shuntbank {

/// Calls a function on the loop at a fixed interval.
class Periodic {
 public:
  Periodic(asio::io_context& loop, Duration interval, std::function<void()> function)
      : timer_(loop), interval_(interval), function_(std::move(function)) {
    schedule();
  }

 private:
  void schedule() {
    timer_.expires_after(interval_);
    timer_.async_wait([this](const std::error_code& error) {
      if (error) return;
      function_();
      schedule();
    });
  }

  asio::steady_timer timer_;
  Duration interval_;
  std::function<void()> function_;
};

}  // namespace shuntbank
