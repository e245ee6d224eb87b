#include "net/http1_parser.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "net/http_syntax.hpp"

namespace shuntbank {
namespace {

/// The library's limit is global; each parser enforces its own `max_header_bytes_`.
constexpr std::uint32_t kLibraryMaxHeaderBytes = 1U << 20U;

/// Separators of one header line: colon, space, carriage return, line feed.
constexpr std::size_t kFieldOverhead = 4;

/// http_parser's value of `content_length` when the message has none.
constexpr std::uint64_t kUnknownLength = std::numeric_limits<std::uint64_t>::max();

/// Return values of http_parser's `on_headers_complete` callback.
constexpr int kReadBody = 0;
constexpr int kSkipBody = 1;
constexpr int kRejectHead = -1;

/// Returned by another callback, it fails the message.
constexpr int kStop = 1;

constexpr std::string_view kLineEnd = "\r\n";

}  // namespace

Http1Parser::Http1Parser(HttpMessageKind kind, std::size_t max_header_bytes,
                         HttpParserHandlers handlers)
    : head_check_(kind), max_header_bytes_(max_header_bytes), handlers_(std::move(handlers)) {
  http_parser_set_max_header_size(kLibraryMaxHeaderBytes);
  http_parser_init(&parser_, kind == HttpMessageKind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

Http1Parser& Http1Parser::self(http_parser* parser) {
  return *static_cast<Http1Parser*>(parser->data);
}

const http_parser_settings& Http1Parser::callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings result;
    http_parser_settings_init(&result);
    result.on_message_begin = [](http_parser* parser) {
      self(parser).begin_message();
      return 0;
    };
    result.on_url = [](http_parser* parser, const char* at, std::size_t length) {
      Http1Parser& instance = self(parser);
      return instance.on_header_text({at, length}, instance.head_.target);
    };
    result.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
      Http1Parser& instance = self(parser);
      if (instance.value_seen_) instance.finish_field();
      return instance.on_header_text({at, length}, instance.field_name_);
    };
    result.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
      Http1Parser& instance = self(parser);
      instance.value_seen_ = true;
      return instance.on_header_text({at, length}, instance.field_value_);
    };
    result.on_headers_complete = [](http_parser* parser) { return self(parser).finish_head(); };
    result.on_body = [](http_parser* parser, const char* at, std::size_t length) {
      Http1Parser& instance = self(parser);
      if (!instance.on_chunk_data({at, length})) return kStop;
      if (instance.handlers_.on_body({at, length})) return 0;
      instance.paused_ = true;
      http_parser_pause(parser, 1);
      return 0;
    };
    result.on_message_complete = [](http_parser* parser) {
      Http1Parser& instance = self(parser);
      instance.inside_message_ = false;
      instance.paused_ = true;
      http_parser_pause(parser, 1);
      return 0;
    };
    return result;
  }();
  return settings;
}

void Http1Parser::begin_message() {
  head_ = HttpHead();
  field_name_.clear();
  field_value_.clear();
  header_bytes_ = 0;
  value_seen_ = false;
  inside_message_ = true;
}

int Http1Parser::on_header_text(std::string_view piece, std::string& output) {
  header_bytes_ += piece.size();
  if (header_bytes_ > max_header_bytes_) {
    failure_ = HttpParseFailure::kHeaderTooLarge;
    return 1;
  }
  output.append(piece);
  return 0;
}

int Http1Parser::finish_field() {
  while (!field_value_.empty() && (field_value_.back() == ' ' || field_value_.back() == '\t')) {
    field_value_.pop_back();
  }
  header_bytes_ += kFieldOverhead;
  if (!field_name_.empty()) {
    head_.headers.add(std::exchange(field_name_, {}), std::exchange(field_value_, {}));
  }
  value_seen_ = false;
  return 0;
}

int Http1Parser::finish_head() {
  finish_field();
  const bool unwanted_upgrade = parser_.type == HTTP_REQUEST && parser_.upgrade != 0;
  if (unwanted_upgrade || !has_known_framing(head_.headers)) {
    failure_ = HttpParseFailure::kMalformed;
    return kRejectHead;
  }
  if (parser_.type == HTTP_REQUEST) {
    head_.method = http_method_str(static_cast<http_method>(parser_.method));
  } else {
    head_.status = static_cast<int>(parser_.status_code);
  }
  const bool chunked = (parser_.flags & F_CHUNKED) != 0;
  head_.self_delimiting = chunked || parser_.content_length != kUnknownLength;
  head_.content_length = parser_.content_length == kUnknownLength ? 0 : parser_.content_length;
  head_.keep_alive = http_should_keep_alive(&parser_) != 0;
  handlers_.on_head(std::move(head_));
  return without_body_ ? kSkipBody : kReadBody;
}

std::size_t Http1Parser::feed(std::string_view bytes) {
  if (failure_ != HttpParseFailure::kNone) return 0;
  failure_ = head_check_.feed(bytes, max_header_bytes_);
  if (!check_chunk_end(bytes)) failure_ = HttpParseFailure::kMalformed;
  if (failure_ != HttpParseFailure::kNone) return 0;
  const std::size_t consumed = execute(bytes);
  if (failure_ != HttpParseFailure::kNone) return consumed;
  if (paused_ && !inside_message_) {
    head_check_.restart();
    handlers_.on_end();
  }
  return consumed;
}

/// http_parser takes any two bytes behind a chunk's data for its line end.
bool Http1Parser::on_chunk_data(std::string_view piece) {
  const bool chunk_ended = (parser_.flags & F_CHUNKED) != 0 && parser_.content_length == 0;
  if (!chunk_ended) return true;
  chunk_end_ = kLineEnd;
  const auto end = static_cast<std::size_t>(piece.data() + piece.size() - fed_.data());
  return check_chunk_end(fed_.substr(end));
}

/// Compares the beginning of the bytes with what is awaited of a line end.
bool Http1Parser::check_chunk_end(std::string_view bytes) {
  const std::size_t size = std::min(chunk_end_.size(), bytes.size());
  const bool matches = bytes.substr(0, size) == chunk_end_.substr(0, size);
  chunk_end_.remove_prefix(size);
  return matches;
}

std::size_t Http1Parser::execute(std::string_view bytes) {
  fed_ = bytes;
  paused_ = false;
  const std::size_t consumed =
      http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  const auto error = static_cast<http_errno>(parser_.http_errno);
  if (error == HPE_PAUSED) {
    http_parser_pause(&parser_, 0);
  } else if (error != HPE_OK && failure_ == HttpParseFailure::kNone) {
    failure_ = HttpParseFailure::kMalformed;
  }
  return consumed;
}

bool Http1Parser::feed_end() {
  if (failure_ != HttpParseFailure::kNone) return false;
  if (!inside_message_) return true;
  paused_ = false;
  http_parser_execute(&parser_, &callbacks(), nullptr, 0);
  if (inside_message_ || !paused_) return false;
  handlers_.on_end();
  return true;
}

}  // namespace shuntbank
