/// @file
/// HTTP status codes that this system generates, and their reason phrases (RFC 9110).
#pragma once

namespace shuntbank::http_status {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kRequestTimeout = 408;
constexpr int kConflict = 409;
constexpr int kContentTooLarge = 413;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kHeadersTooLarge = 431;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// @return the reason phrase of a status, or "Status" for one that is not listed.
const char* reason(int status);

}  // namespace shuntbank::http_status
