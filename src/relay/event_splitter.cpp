#include "relay/event_splitter.hpp"

#include <charconv>

namespace shuntbank::relay {
namespace {

/// @return the offset after the blank line that ends the first event, or npos.
std::size_t end_of_event(std::string_view text) {
  const std::size_t lf = text.find("\n\n");
  const std::size_t crlf = text.find("\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos) return lf;
  return lf < crlf ? lf + 2 : crlf + 3;
}

std::string_view field_value(std::string_view event, std::string_view name) {
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.substr(0, name.size()) != name) continue;
    line.remove_prefix(name.size());
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    return line;
  }
  return {};
}

RawEvent parse(std::string_view bytes) {
  RawEvent event;
  event.bytes = bytes;
  event.id_text = field_value(bytes, "id:");
  std::uint64_t id = 0;
  const char* end = event.id_text.data() + event.id_text.size();
  const auto parsed = std::from_chars(event.id_text.data(), end, id);
  if (parsed.ec == std::errc() && parsed.ptr == end) event.id = id;
  return event;
}

}  // namespace

bool EventSplitter::feed(std::string_view piece,
                         const std::function<void(const RawEvent&)>& handler) {
  partial_ += piece;
  std::size_t begin = 0;
  while (true) {
    const std::string_view remaining = std::string_view(partial_).substr(begin);
    const std::size_t end = end_of_event(remaining);
    if (end == std::string_view::npos) break;
    handler(parse(remaining.substr(0, end)));
    begin += end;
  }
  partial_.erase(0, begin);
  return partial_.size() <= kMaxEventSize;
}

}  // namespace shuntbank::relay
