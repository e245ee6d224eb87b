#include "engine/event_stream.hpp"

#include <charconv>

namespace shuntbank {
namespace {

constexpr std::string_view kSeparator = "\n\n";

/// Stores the value of the field `name` in `value`. @return whether `line` is that field.
bool parse_field(std::string_view line, std::string_view name, std::string_view& value) {
  if (line.substr(0, name.size()) != name) return false;
  line.remove_prefix(name.size());
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  value = line;
  return true;
}

ServerSentEvent parse_event(std::string_view text) {
  ServerSentEvent event;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!parse_field(line, "id:", event.id)) parse_field(line, "data:", event.data);
  }
  return event;
}

}  // namespace

bool EventStreamSplitter::feed(std::string_view piece,
                               const std::function<void(const ServerSentEvent&)>& handler) {
  // Parses complete events in place and copies only an incomplete last event.
  std::string buffered;
  if (!partial_.empty()) {
    buffered = std::move(partial_);
    partial_.clear();
    buffered += piece;
    piece = buffered;
  }
  for (std::size_t end = piece.find(kSeparator); end != std::string_view::npos;
       end = piece.find(kSeparator)) {
    handler(parse_event(piece.substr(0, end)));
    piece.remove_prefix(end + kSeparator.size());
  }
  partial_ = std::string(piece);
  return partial_.size() <= kMaxEventSize;
}

std::optional<ChunkId> parse_chunk_id(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::uint32_t index = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, index);
  if (error != std::errc{} || rest != end) return std::nullopt;
  return ChunkId{AttemptId(std::string(text.substr(0, colon))), index};
}

}  // namespace shuntbank
