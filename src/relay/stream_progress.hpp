/// @file
/// Progress and timing of the event stream to one caller, across all engines that served it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/time.hpp"
#include "relay/event_splitter.hpp"

namespace shuntbank::relay {

/// Tracks the events forwarded to the caller.
class StreamProgress {
 public:
  /// The caller has received events up to this id from an earlier request.
  void resume_after(std::uint64_t id) { this->last_id = id; }

  /// @return whether the event's id is greater than the last one, or missing. A resumed stream must
  /// not repeat events.
  bool in_order(const RawEvent& event) const;

  /// The event is forwarded. @return the time since the previous one, if any.
  std::optional<Duration> on_forwarded(MonotonicTime now, const RawEvent& event);

  std::uint64_t event_count() const { return this->count; }

  /// @return the last event id as received, or empty.
  const std::string& last_id_text() const { return this->last_id_string; }

  /// @return the time between `since` and the first event; zero while there is none.
  Duration first_event_delay(MonotonicTime since) const;

  /// @return the longest time between two events.
  Duration longest_gap() const { return this->max_gap; }

  /// @return the mean time between events, or nothing for fewer than two events.
  std::optional<Duration> mean_gap() const;

 private:
  std::optional<std::uint64_t> last_id;
  std::string last_id_string;
  std::uint64_t count = 0;
  MonotonicTime first_at{};
  MonotonicTime last_at{};
  Duration max_gap{};
};

}  // namespace shuntbank::relay
