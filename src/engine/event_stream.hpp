/// @file
/// Incremental parser for a body of server-sent events.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "common/identifiers.hpp"

namespace shuntbank {

/// One event. The views are valid during the call that delivers it.
struct ServerSentEvent {
  std::string_view id;
  std::string_view data;  ///< Without the field name; one line, as engines send it.
};

/// The end marker of a stream in the OpenAI interface.
constexpr std::string_view kDoneMarker = "[DONE]";

/// Buffers incomplete events and delivers complete ones.
class EventStreamSplitter {
 public:
  /// @return false when an event exceeds `kMaxEventSize`; the stream cannot be continued.
  bool feed(std::string_view piece, const std::function<void(const ServerSentEvent&)>& handler);

  /// Largest event, in bytes.
  static constexpr std::size_t kMaxEventSize = 1UL << 20U;

 private:
  std::string partial_;
};

/// Identifies a chunk by its attempt and the index of its token.
struct ChunkId {
  AttemptId attempt;
  std::uint32_t index = 0;
};

/// Parses the id field of an engine's event, `ATTEMPT:INDEX`.
std::optional<ChunkId> parse_chunk_id(std::string_view text);

}  // namespace shuntbank
