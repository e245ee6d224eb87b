/// @file
/// Incremental HTTP/1.1 parsing by the http_parser library, for requests and for responses.
/// One parser reads consecutive messages of one direction of a connection.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "net/http1_head_check.hpp"
#include "net/http_message.hpp"

namespace shuntbank {

/// The start line and the header fields of a message.
struct HttpHead {
  std::string method;  ///< Requests only.
  std::string target;  ///< Requests only; not decoded.
  int status = 0;      ///< Responses only.
  HttpHeaders headers;
  bool keep_alive = true;            ///< Whether the connection may carry another message.
  bool self_delimiting = false;      ///< Whether the body can end without a close.
  std::uint64_t content_length = 0;  ///< Of the body; 0 if unknown or chunked.
};

/// Callbacks of a parser, called in stream order.
struct HttpParserHandlers {
  std::function<void(HttpHead head)> on_head;
  /// A piece of the body. @return false to stop; `feed` returns and the piece counts as consumed.
  std::function<bool(std::string_view piece)> on_body;
  /// The message is complete; `feed` returns after its last byte.
  std::function<void()> on_end;
};

/// Parses one direction of a connection.
class Http1Parser {
 public:
  /// @param max_header_bytes limit for the start line and all fields of one message.
  Http1Parser(HttpMessageKind kind, std::size_t max_header_bytes, HttpParserHandlers handlers);
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  /// Parses up to the end of a message or until `on_body` returns false.
  /// @return the number of bytes consumed.
  std::size_t feed(std::string_view bytes);

  /// Handles the end of the stream, which completes a message that is delimited by it.
  /// @return false when a message was truncated.
  bool feed_end();

  HttpParseFailure failure() const { return failure_; }

  /// @return whether a message has started and is not complete.
  bool inside_message() const { return inside_message_; }

  /// Sets whether responses have no body whatever their fields say, as for HEAD.
  void set_without_body(bool without_body) { without_body_ = without_body; }

  void set_max_header_bytes(std::size_t bytes) { max_header_bytes_ = bytes; }

 private:
  static Http1Parser& self(http_parser* parser);
  static const http_parser_settings& callbacks();
  int on_header_text(std::string_view piece, std::string& output);
  int finish_field();
  int finish_head();
  void begin_message();

  bool on_chunk_data(std::string_view piece);
  bool check_chunk_end(std::string_view bytes);
  std::size_t execute(std::string_view bytes);

  http_parser parser_{};
  Http1HeadCheck head_check_;
  std::string_view fed_;        ///< The bytes of the current call of `feed`.
  std::string_view chunk_end_;  ///< What is awaited of the line end behind a chunk's data.
  std::size_t max_header_bytes_;
  HttpParserHandlers handlers_;
  HttpParseFailure failure_ = HttpParseFailure::kNone;
  HttpHead head_;
  std::string field_name_;
  std::string field_value_;
  std::size_t header_bytes_ = 0;
  bool value_seen_ = false;
  bool inside_message_ = false;
  bool paused_ = false;
  bool without_body_ = false;
};

}  // namespace shuntbank
