/// @file
/// How long connections take to be made beyond what they took at best, which shows how long packets
/// wait for the link or the processor.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "common/time.hpp"

namespace shuntbank {

/// Compares with earlier connections to the same peer, as peers are at different distances.
class ConnectDelay {
 public:
  void on_connected(MonotonicTime now, const std::string& peer, Duration took);

  /// @return the shortest delay among the connections of the last moments, so that a single slow
  /// peer does not count; unset if there was none.
  std::optional<Duration> recent(MonotonicTime now) const;

 private:
  std::unordered_map<std::string, Duration> shortest;  ///< By peer.
  std::optional<Duration> current;                     ///< Of the running interval.
  std::optional<Duration> previous;
  MonotonicTime interval_began_at{};
};

}  // namespace shuntbank
