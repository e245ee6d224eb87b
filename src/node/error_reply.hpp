/// @file
/// Error replies to callers, all in one JSON format. docs/API.md lists the codes.
#pragma once

#include <optional>
#include <string>

#include "common/time.hpp"
#include "core/requests/request_progress.hpp"
#include "net/http_message.hpp"

namespace shuntbank {

/// Errors that are reported to callers.
enum class ErrorCode {
  kInvalidRequest,
  kUnauthorized,
  kUnknownPath,
  kUnknownModel,
  kTooLarge,
  kTenantLimit,     ///< The tenant reached one of its limits.
  kOverloaded,      ///< The fleet is overloaded.
  kNoEngine,        ///< No engine could take the request.
  kEngineFailed,    ///< The engine failed and may have started the request.
  kDeadline,        ///< The request exceeded its deadline.
  kAlreadyClaimed,  ///< A request with this idempotency key was accepted before.
  kNotReady,        ///< The node has no configuration yet, or is leaving.
};

/// An error to report to a caller.
struct CallerError {
  ErrorCode code = ErrorCode::kInvalidRequest;
  std::string message;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  std::optional<Duration> retry_after;  ///< Value of `Retry-After`.
};

/// @return the complete reply, without the request ID header.
HttpReply to_reply(const CallerError& error);

/// @return the JSON body, for the event that ends a failed stream.
std::string to_event_data(const CallerError& error);

/// @return the value of `error.code`.
const char* to_text(ErrorCode code);

}  // namespace shuntbank
