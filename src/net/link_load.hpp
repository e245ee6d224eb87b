/// @file
/// Estimates how far the bytes that a process sends are ahead of its link.
#pragma once

#include <cstdint>

#include "common/time.hpp"

namespace shuntbank {

/// A queue that grows with the bytes sent and shrinks at the rate of the link.
class LinkLoad {
 public:
  /// @param own_bytes_per_second rate of the link; 0: unknown, so that nothing queues.
  explicit LinkLoad(double own_bytes_per_second) : bytes_per_second(own_bytes_per_second) {}

  /// @param total bytes sent since the start of the process; never decreases.
  void update(MonotonicTime now, std::uint64_t total);

  /// @return how long it takes to send what is queued and `more` bytes.
  Duration delay(double more) const;

 private:
  double bytes_per_second;
  double queued = 0;
  std::uint64_t last_total = 0;
  MonotonicTime updated_at{};
};

}  // namespace shuntbank
