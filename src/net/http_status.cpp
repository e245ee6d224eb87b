#include "net/http_status.hpp"

namespace shuntbank::http_status {

const char* reason(int status) {
  switch (status) {
    case kOk:
      return "OK";
    case kBadRequest:
      return "Bad Request";
    case kUnauthorized:
      return "Unauthorized";
    case kNotFound:
      return "Not Found";
    case kRequestTimeout:
      return "Request Timeout";
    case kConflict:
      return "Conflict";
    case kContentTooLarge:
      return "Content Too Large";
    case kMisdirected:
      return "Misdirected Request";
    case kTooManyRequests:
      return "Too Many Requests";
    case kHeadersTooLarge:
      return "Request Header Fields Too Large";
    case kInternalError:
      return "Internal Server Error";
    case kBadGateway:
      return "Bad Gateway";
    case kServiceUnavailable:
      return "Service Unavailable";
    case kGatewayTimeout:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace shuntbank::http_status
