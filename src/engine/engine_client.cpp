#include "engine/engine_client.hpp"

#include <utility>

#include "common/json_parsing.hpp"
#include "engine/engine_api.hpp"

namespace shuntbank {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr int kConflict = 409;

OutgoingRequest make_post_request(const std::string& address, const char* path,
                                  const nlohmann::json& body) {
  OutgoingRequest request;
  request.method = "POST";
  request.url = "http://" + address + path;
  request.headers.add("Content-Type", "application/json");
  request.body = body.dump();
  return request;
}

tl::expected<EngineState, EngineCallError> parse_reply(
    const tl::expected<HttpReply, TransferError>& reply) {
  if (!reply) return tl::make_unexpected(EngineCallError::kNoAnswer);
  if (reply->status == kConflict) return tl::make_unexpected(EngineCallError::kStale);
  const auto json = parse_json(reply->body);
  if (reply->status != 200 || !json) return tl::make_unexpected(EngineCallError::kNoAnswer);
  auto state = engine_api::state_from_json(*json);
  if (!state) return tl::make_unexpected(EngineCallError::kNoAnswer);
  return *state;
}

}  // namespace

void EngineClient::claim(const std::string& address, Fence fence, StateHandler handler) {
  call(make_post_request(address, engine_api::kClaimPath, {{"fence", fence}}), std::move(handler));
}

void EngineClient::send_order(const std::string& address, const EngineOrder& order,
                              StateHandler handler) {
  call(make_post_request(address, engine_api::kOrderPath, engine_api::to_json(order)),
       std::move(handler));
}

void EngineClient::read_state(const std::string& address, StateHandler handler) {
  OutgoingRequest request;
  request.url = "http://" + address + engine_api::kStatePath;
  call(std::move(request), std::move(handler));
}

void EngineClient::call(OutgoingRequest request, StateHandler handler) {
  request.total_timeout = kCallTimeout;
  http_.fetch(std::move(request),
              [handler = std::move(handler)](const auto& reply) { handler(parse_reply(reply)); });
}

}  // namespace shuntbank
