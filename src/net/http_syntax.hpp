/// @file
/// Syntax of an HTTP/1.1 head; lines are without their line ends. The libraries that parse heads
/// accept more.
#pragma once

#include <string_view>

#include "net/http_message.hpp"

namespace shuntbank {

/// @return whether this is the status line of an answer of HTTP/1 with a status from 100 to 599
/// (RFC 9112, 4; RFC 9110, 15).
bool is_status_line(std::string_view line);

/// @return whether this is a request line of HTTP/1 whose target holds neither a blank nor a
/// control byte (RFC 9112, 3).
bool is_request_line(std::string_view line);

/// @return whether a field's name is a token (RFC 9110, 5.1).
bool is_field_name(std::string_view name);

/// @return whether a field's value holds no control byte but tabs (RFC 9110, 5.5).
bool is_field_value(std::string_view value);

/// @return whether this is a field that is not folded, with its name right before the colon (RFC
/// 9112, 5).
bool is_field_line(std::string_view line);

/// @return whether it is known how the body ends: by chunks alone, by one length, or, where the
/// fields name neither, by the kind of the message or its connection (RFC 9112, 6.3).
bool has_known_framing(const HttpHeaders& headers);

}  // namespace shuntbank
