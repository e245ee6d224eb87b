/// @file
/// A repeating timer that runs until it is destroyed.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "common/runtime.hpp"

namespace shuntbank {

/// Calls a function at a fixed interval. Must not be destroyed from inside the call.
class Periodic {
 public:
  Periodic(Runtime& runtime, Duration interval, std::function<void()> function)
      : runtime_(runtime), interval_(interval), function_(std::move(function)) {
    schedule();
  }

 private:
  void schedule() {
    timer_ = runtime_.after(interval_, [this] {
      function_();
      schedule();
    });
  }

  Runtime& runtime_;
  Duration interval_;
  std::function<void()> function_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace shuntbank
