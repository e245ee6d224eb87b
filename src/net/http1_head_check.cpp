#include "net/http1_head_check.hpp"

#include <utility>

#include "net/http_syntax.hpp"

namespace shuntbank {

HttpParseFailure Http1HeadCheck::feed(std::string_view bytes, std::size_t max_line) {
  while (!this->complete && !bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    this->line += bytes.substr(0, end);
    if (this->line.size() > max_line) return HttpParseFailure::kHeaderTooLarge;
    if (end == std::string_view::npos) return HttpParseFailure::kNone;
    bytes.remove_prefix(end + 1);
    if (!this->line.empty() && this->line.back() == '\r') this->line.pop_back();
    if (!this->check_line(this->line)) return HttpParseFailure::kMalformed;
    this->line.clear();
  }
  return HttpParseFailure::kNone;
}

bool Http1HeadCheck::check_line(std::string_view text) {
  if (text.empty()) {
    // Empty lines before the start line are ignored (RFC 9112, 2.2).
    this->complete = this->start_line_seen;
    return true;
  }
  if (std::exchange(this->start_line_seen, true)) return is_field_line(text);
  return this->kind == HttpMessageKind::kRequest ? is_request_line(text) : is_status_line(text);
}

}  // namespace shuntbank
