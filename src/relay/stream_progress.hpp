/// @file
/// What of one request's stream has reached its caller, over all engines that it came from.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/time.hpp"
#include "relay/event_splitter.hpp"

namespace shuntbank::relay {

/// The events that were passed on, and when.
class StreamProgress {
 public:
  /// The caller has events up to this one from an earlier request.
  void resume_after(std::uint64_t id) { this->last_id = id; }

  /// @return whether the event comes behind the last one; one without an id always does. A stream
  /// that was taken up must not come before its place.
  bool in_order(const RawEvent& event) const;

  /// The event is passed on. @return the pause since the one before, if there was one.
  std::optional<Duration> on_forwarded(MonotonicTime now, const RawEvent& event);

  std::uint64_t event_count() const { return this->count; }

  /// @return the id of the last event as it was written; empty while none with an id has passed.
  const std::string& last_id_text() const { return this->last_id_string; }

  /// @return the time between `since` and the first event; zero while there is none.
  Duration first_event_delay(MonotonicTime since) const;

  /// @return the longest pause between two events.
  Duration longest_gap() const { return this->max_gap; }

  /// @return the mean pause between two events, or nothing while there are fewer.
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
