/// @file
/// Check of the lines of a head before http_parser reads them.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace shuntbank {

enum class HttpMessageKind { kRequest, kResponse };

/// Why parsing failed.
enum class HttpParseFailure {
  kNone,
  kMalformed,       ///< Not valid HTTP/1.1.
  kHeaderTooLarge,  ///< Start line and fields exceed `max_header_bytes`.
};

/// Checks the heads of consecutive messages of one direction of a connection. Keeps the bytes of
/// one line.
class Http1HeadCheck {
 public:
  explicit Http1HeadCheck(HttpMessageKind own_kind) : kind(own_kind) {}

  /// Checks bytes up to the end of the head and ignores those behind it.
  /// @param max_line longest line, in bytes.
  HttpParseFailure feed(std::string_view bytes, std::size_t max_line);

  /// Expects the next message's head.
  void restart() { *this = Http1HeadCheck(this->kind); }

 private:
  bool check_line(std::string_view text);

  HttpMessageKind kind;
  std::string line;  ///< Its bytes so far.
  bool start_line_seen = false;
  bool complete = false;
};

}  // namespace shuntbank
