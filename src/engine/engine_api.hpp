/// @file
/// The published interface of engines: paths, header fields and bodies.
/// docs/design/0002-published-interfaces.md describes it.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/lease/order.hpp"
#include "core/roles/engine_controller.hpp"
#include "core/routing/engine_table.hpp"

namespace shuntbank::engine_api {

constexpr const char* kChatPath = "/v1/chat/completions";
constexpr const char* kCompletionPath = "/v1/completions";
constexpr const char* kPrefillPath = "/v1/prefill";
constexpr const char* kClaimPath = "/control/claim";
constexpr const char* kOrderPath = "/control/order";
constexpr const char* kStatePath = "/control/state";
constexpr const char* kCancelPath = "/control/cancel";
constexpr const char* kCacheEventsPath = "/control/cache-events";
constexpr const char* kExecutionsPath = "/control/executions";

constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kAttemptIdHeader = "X-Attempt-Id";
constexpr const char* kPriorityHeader = "X-Priority";
/// Set to `not_run` on an error when the engine confirms that it ran nothing.
constexpr const char* kOutcomeHeader = "X-Engine-Outcome";
constexpr const char* kNotRun = "not_run";
/// Load at the time of the reply: running requests, waiting requests, and prompt tokens not yet
/// prefilled, as `RUNNING/WAITING/TOKENS`.
constexpr const char* kLoadHeader = "X-Engine-Load";

nlohmann::json to_json(const DesiredState& desired);
tl::expected<DesiredState, std::string> desired_state_from_json(const nlohmann::json& json);

nlohmann::json to_json(const EngineOrder& order);
tl::expected<EngineOrder, std::string> order_from_json(const nlohmann::json& json);

nlohmann::json to_json(const EngineState& state);
tl::expected<EngineState, std::string> state_from_json(const nlohmann::json& json);

/// @return the handle of the memory that a prefill has left; nothing if the answer is malformed.
std::optional<std::string> handle_from_prefill_answer(std::string_view body);

std::string to_header(const LoadReport& report);
tl::expected<LoadReport, std::string> load_from_header(const std::string& text);

}  // namespace shuntbank::engine_api
