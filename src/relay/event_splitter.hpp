/// @file
/// Cuts a body of server-sent events into whole events, passing on their bytes as they are.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace shuntbank::relay {

/// One event with its closing blank line. The views are valid during the call that delivers it.
struct RawEvent {
  std::string_view bytes;
  std::optional<std::uint64_t> id;  ///< Of its `id` field, when that is a whole number.
  std::string_view id_text;
};

/// Collects pieces and hands on whole events.
class EventSplitter {
 public:
  /// @param handler returns false to stop.
  /// @return false when an event grows beyond `kMaxEventSize`: the stream is not usable.
  bool feed(std::string_view piece, const std::function<void(const RawEvent&)>& handler);

  /// @return whether bytes of an event without its end are held.
  bool has_partial() const { return !partial_.empty(); }

  void clear() { partial_.clear(); }

  /// Largest event, in bytes.
  static constexpr std::size_t kMaxEventSize = 1UL << 20U;

 private:
  std::string partial_;
};

}  // namespace shuntbank::relay
