#include "node/error_reply.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace shuntbank {
namespace {

struct ErrorFields {
  int status;
  const char* type;
  const char* code;
};

ErrorFields fields_of(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidRequest:
      return {400, "invalid_request_error", "invalid_request"};
    case ErrorCode::kUnauthorized:
      return {401, "authentication_error", "invalid_api_key"};
    case ErrorCode::kUnknownPath:
      return {404, "invalid_request_error", "unknown_path"};
    case ErrorCode::kUnknownModel:
      return {404, "invalid_request_error", "model_not_found"};
    case ErrorCode::kTooLarge:
      return {413, "invalid_request_error", "request_too_large"};
    case ErrorCode::kTenantLimit:
      return {429, "rate_limit_error", "tenant_limit_reached"};
    case ErrorCode::kOverloaded:
      return {503, "overloaded_error", "fleet_overloaded"};
    case ErrorCode::kNoEngine:
      return {503, "overloaded_error", "no_engine_available"};
    case ErrorCode::kEngineFailed:
      return {502, "engine_error", "engine_failed"};
    case ErrorCode::kDeadline:
      return {504, "timeout_error", "deadline_exceeded"};
    case ErrorCode::kAlreadyClaimed:
      return {409, "invalid_request_error", "already_claimed"};
    case ErrorCode::kNotReady:
      return {503, "overloaded_error", "node_not_ready"};
  }
  return {500, "internal_error", "internal"};
}

}  // namespace

const char* to_text(ErrorCode code) {
  return fields_of(code).code;
}

std::string to_event_data(const CallerError& error) {
  const ErrorFields fields = fields_of(error.code);
  const nlohmann::json body{{"error",
                             {{"type", fields.type},
                              {"code", fields.code},
                              {"message", error.message},
                              {"outcome", to_text(error.outcome)}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpReply to_reply(const CallerError& error) {
  HttpReply reply;
  reply.status = fields_of(error.code).status;
  reply.headers.add("Content-Type", "application/json");
  if (error.retry_after) {
    const double seconds = std::max(1.0, std::ceil(to_seconds(*error.retry_after)));
    reply.headers.add("Retry-After", std::to_string(static_cast<std::int64_t>(seconds)));
  }
  reply.body = to_event_data(error);
  return reply;
}

}  // namespace shuntbank
