/// @file
/// What waits to leave on this machine's own link. A prompt is sent once to be read and once more
/// to be answered; on a narrow link that takes longer than reading it.
#pragma once

#include <cstddef>

#include "common/time.hpp"

namespace shuntbank::relay {

/// The sending half of a link of known width, as a bucket that empties at its rate.
class LinkModel {
 public:
  /// @param megabits_per_second of the link; 0: not known, nothing ever waits.
  explicit LinkModel(double megabits_per_second) : width(megabits_per_second) {}

  /// @return milliseconds that so many bytes take on the link by themselves.
  double send_ms(std::size_t bytes) const;

  /// @return milliseconds until what was handed to the link has left.
  double wait_ms(MonotonicTime now) const;

  /// Bytes were handed to the link.
  void on_sent(MonotonicTime now, std::size_t bytes);

 private:
  double width;
  double waiting_ms = 0;
  MonotonicTime counted_at{};
};

}  // namespace shuntbank::relay
