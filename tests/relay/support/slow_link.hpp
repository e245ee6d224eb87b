/// @file
/// A simulated link with limited bandwidth.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "common/runtime.hpp"

namespace shuntbank::testing {

/// Divides its bandwidth equally among active transfers.
class SlowLink {
 public:
  SlowLink(Runtime& runtime, std::size_t bytes_per_second)
      : runtime_(runtime), bytes_per_second_(bytes_per_second) {}

  /// Starts a transfer after `delay`.
  /// @param on_complete called once all bytes are transferred, never before this returns.
  void start_transfer(std::uint64_t id, std::size_t bytes, Duration delay,
                      std::function<void()> on_complete);

  /// Cancels an incomplete transfer.
  void cancel(std::uint64_t id) { transfers_.erase(id); }

  /// @return bytes transferred so far by an active transfer.
  std::size_t transferred(std::uint64_t id) const;

  /// @return bytes transferred by the link in total.
  std::size_t total_bytes() const { return total_bytes_; }

 private:
  struct Transfer {
    std::size_t bytes = 0;
    std::size_t transferred = 0;
    MonotonicTime starts_at{};
    std::function<void()> on_complete;
  };
  void schedule();
  void tick();

  Runtime& runtime_;
  std::size_t bytes_per_second_;
  std::size_t total_bytes_ = 0;
  std::map<std::uint64_t, Transfer> transfers_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace shuntbank::testing
