/// @file
/// A link for tests, over which answers take time by their size.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "common/runtime.hpp"

namespace shuntbank::testing {

/// Carries transfers, which share the link in equal parts.
class SlowLink {
 public:
  SlowLink(Runtime& runtime, std::size_t bytes_per_second)
      : runtime_(runtime), bytes_per_second_(bytes_per_second) {}

  /// Begins a transfer after `delay`.
  /// @param on_whole called once all bytes have come, never before this returns.
  void start_transfer(std::uint64_t id, std::size_t bytes, Duration delay,
                      std::function<void()> on_complete);

  /// Ends a transfer before it is whole.
  void cancel(std::uint64_t id) { transfers_.erase(id); }

  /// @return bytes of a transfer under way that have come.
  std::size_t transferred(std::uint64_t id) const;

  /// @return bytes that the link has carried in all.
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
