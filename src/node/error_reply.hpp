/// @file
/// Errors towards callers: one JSON shape for all of them. docs/API.md lists the codes.
#pragma once

#include <optional>
#include <string>

#include "common/time.hpp"
#include "core/requests/request_progress.hpp"
#include "net/http_message.hpp"

namespace shuntbank {

/// Errors that callers see. Clients treat a used-up limit and an overload differently.
enum class ErrorCode {
  kInvalidRequest,
  kUnauthorized,
  kUnknownPath,
  kUnknownModel,
  kTooLarge,
  kTenantLimit,     ///< The tenant used up a limit of its own.
  kOverloaded,      ///< The fleet is too busy for this request now.
  kNoEngine,        ///< No engine could be given the request.
  kEngineFailed,    ///< The engine failed after it may have begun.
  kDeadline,        ///< The request took longer than is allowed.
  kAlreadyClaimed,  ///< A request with this idempotency key was accepted before.
  kNotReady,        ///< The node has no configuration yet, or is leaving.
};

/// One error.
struct CallerError {
  ErrorCode code = ErrorCode::kInvalidRequest;
  std::string message;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  std::optional<Duration> retry_after;  ///< When a later try makes sense.
};

/// @return the whole reply, without the request's id.
HttpReply to_reply(const CallerError& error);

/// @return the JSON body alone, as the data of an event that ends a stream.
std::string to_event_data(const CallerError& error);

/// @return the value of `error.code`.
const char* to_text(ErrorCode code);

}  // namespace shuntbank
