/// @file
/// Splits a stream of server-sent events into complete events without changing their bytes.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace shuntbank::relay {

/// One event with its closing blank line. The views are valid only during the handler's call.
struct RawEvent {
  std::string_view bytes;
  std::optional<std::uint64_t> id;  ///< The `id` field, if it is a whole number.
  std::string_view id_text;
};

/// Buffers partial events between pieces.
class EventSplitter {
 public:
  /// Calls the handler for each complete event.
  /// @return false when an event exceeds `kMaxEventSize`: the stream is unusable.
  bool feed(std::string_view piece, const std::function<void(const RawEvent&)>& handler);

  /// @return the bytes that are buffered.
  std::size_t partial_size() const { return partial_.size(); }

  /// @return whether an incomplete event is buffered.
  bool has_partial() const { return !partial_.empty(); }

  /// Releases the buffer.
  void clear() { partial_ = std::string(); }

  /// Largest event, in bytes.
  static constexpr std::size_t kMaxEventSize = 1UL << 20U;

 private:
  std::string partial_;
};

}  // namespace shuntbank::relay
