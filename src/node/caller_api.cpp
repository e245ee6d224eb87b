#include "node/caller_api.hpp"

#include <utility>

#include "engine/engine_api.hpp"
#include "engine/prompt.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kServicesPath = "/services/";
constexpr Duration kNotReadyRetryAfter = std::chrono::seconds(2);
constexpr std::size_t kRequestIdBytes = 12;

CallerError invalid_request(const std::string& message) {
  return {ErrorCode::kInvalidRequest, message, RequestOutcome::kNotRun, std::nullopt};
}

/// Parses JSON of bounded depth in UTF-8. @return the value, or an error message.
tl::expected<json, std::string> parse_bounded(const std::string& text, std::uint64_t max_depth) {
  bool too_deep = false;
  const auto depth_limit = [&too_deep, max_depth](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || static_cast<std::uint64_t>(depth) > max_depth;
    return !too_deep;
  };
  try {
    json value = json::parse(text, depth_limit, true);
    if (too_deep) return tl::make_unexpected(std::string("the JSON is nested too deeply"));
    return value;
  } catch (const json::exception&) {
    // The library's message is dropped: it quotes the input, which may be prompt text.
    return tl::make_unexpected(std::string("the body is not valid JSON in UTF-8"));
  }
}

constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

/// Rejects ambiguous header fields. @return an error message, or an empty string.
std::string check_header_fields(const HttpHeaders& headers) {
  if (headers.count("Authorization") > 1) return "more than one Authorization field";
  const std::size_t key_count = headers.count("Idempotency-Key");
  if (key_count > 1) return "more than one Idempotency-Key field";
  const std::size_t length = headers.get("Idempotency-Key").size();
  if (key_count == 1 && (length == 0 || length > kMaxIdempotencyKeyBytes)) {
    return "an Idempotency-Key has 1 to " + std::to_string(kMaxIdempotencyKeyBytes) + " bytes";
  }
  return "";
}

/// @return whether the request may be run more than once, or an error message.
tl::expected<bool, std::string> is_repeatable(const HttpRequest& request) {
  const std::string_view value = request.headers.get("X-Shuntbank-Repeatable");
  if (!value.empty() && value != "true" && value != "false") {
    return tl::make_unexpected(std::string("X-Shuntbank-Repeatable must be true or false"));
  }
  const bool has_key = !request.headers.get("Idempotency-Key").empty();
  return value != "false" && !has_key;
}

}  // namespace

CallerApi::CallerApi(Runtime& runtime, const NodeSettings& settings, const ConfigService& config,
                     RequestQueue& queue, Metrics& metrics)
    : runtime_(runtime), settings_(settings), config_(config), queue_(queue), metrics_(metrics) {}

void CallerApi::handle(HttpRequest request, const Responder& responder) {
  const RequestId id(runtime_.random_hex(kRequestIdBytes));
  const SnapshotPointer snapshot = config_.replica().snapshot();
  if (!snapshot) {
    return refuse(id,
                  {ErrorCode::kNotReady, "the node has no configuration yet",
                   RequestOutcome::kNotRun, kNotReadyRetryAfter},
                  responder);
  }
  const std::string header_error = check_header_fields(request.headers);
  if (!header_error.empty()) return refuse(id, invalid_request(header_error), responder);
  const Tenant* tenant = authenticate(request, *snapshot);
  if (tenant == nullptr) {
    return refuse(id,
                  {ErrorCode::kUnauthorized, "the key is missing, unknown or expired",
                   RequestOutcome::kNotRun, std::nullopt},
                  responder);
  }
  const bool is_post = request.method == "POST";
  if (request.path == engine_api::kChatPath && is_post) {
    return handle_completion(request, id, *tenant, CompletionKind::kChat, responder);
  }
  if (request.path == engine_api::kCompletionPath && is_post) {
    return handle_completion(request, id, *tenant, CompletionKind::kText, responder);
  }
  if (request.path == "/v1/models" && request.method == "GET") {
    return list_models(*snapshot, id, responder);
  }
  if (request.path.rfind(kServicesPath, 0) == 0) {
    return handle_plain(std::move(request), id, *tenant, responder);
  }
  refuse(id,
         {ErrorCode::kUnknownPath, "there is nothing at this path for this method",
          RequestOutcome::kNotRun, std::nullopt},
         responder);
}

const Tenant* CallerApi::authenticate(const HttpRequest& request, const Snapshot& snapshot) const {
  const std::string_view authorization = request.headers.get("Authorization");
  if (authorization.substr(0, kBearer.size()) != kBearer) return nullptr;
  return snapshot.authenticate(std::string(authorization.substr(kBearer.size())),
                               static_cast<std::int64_t>(runtime_.unix_milliseconds() / 1000));
}

void CallerApi::list_models(const Snapshot& snapshot, const RequestId& id,
                            const Responder& responder) const {
  json models = json::array();
  const auto add = [&models](const std::string& name) {
    models.push_back(
        {{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", "shuntbank"}});
  };
  for (const auto& [name, service] : snapshot.services()) {
    for (const ModelSpec& model : service.models) {
      add(model.name);
      for (const std::string& adapter : model.adapters) add(model.name + ":" + adapter);
    }
  }
  const json body{{"object", "list"}, {"data", std::move(models)}};
  responder->respond(
      {200,
       {{"Content-Type", "application/json"}, {engine_api::kRequestIdHeader, id.value()}},
       body.dump()});
}

void CallerApi::handle_completion(const HttpRequest& request, RequestId id, const Tenant& tenant,
                                  CompletionKind kind, const Responder& responder) {
  if (request.body.size() > settings_.max_body_bytes) {
    return refuse(
        id, {ErrorCode::kTooLarge, "the body is too large", RequestOutcome::kNotRun, std::nullopt},
        responder);
  }
  auto body = parse_bounded(request.body, settings_.max_json_depth);
  if (!body) return refuse(id, invalid_request(body.error()), responder);
  Findings findings;
  const ParsedPrompt facts = parse_prompt(kind, *body, findings);
  if (!findings.empty()) return refuse(id, invalid_request(findings.to_text()), responder);
  const SnapshotPointer snapshot = config_.replica().snapshot();
  const ModelRoute* route = snapshot->find_model(facts.model);
  if (route == nullptr) {
    return refuse(id,
                  {ErrorCode::kUnknownModel, "no service offers this model",
                   RequestOutcome::kNotRun, std::nullopt},
                  responder);
  }
  SessionRequest session;
  session.id = std::move(id);
  session.service = route->service;
  session.stream = facts.stream;
  session.wants_usage = facts.wants_usage;
  session.path = request.path;
  session.content_type = "application/json";
  session.body = std::move(*body);
  session.prompt_tokens = facts.prompt_tokens;
  session.max_output_tokens = facts.max_output_tokens;
  session.prefix = prefix_blocks(facts.text);
  submit(std::move(session), request, tenant, responder);
}

void CallerApi::handle_plain(HttpRequest request, RequestId id, const Tenant& tenant,
                             const Responder& responder) {
  if (request.body.size() > settings_.max_body_bytes) {
    return refuse(
        id, {ErrorCode::kTooLarge, "the body is too large", RequestOutcome::kNotRun, std::nullopt},
        responder);
  }
  const std::string service_path = request.path.substr(kServicesPath.size());
  const std::size_t slash = std::min(service_path.find('/'), service_path.size());
  const ServiceName name(service_path.substr(0, slash));
  const Service* service = config_.replica().snapshot()->find_service(name);
  if (service == nullptr || service->kind != ServiceKind::kPlain) {
    return refuse(id,
                  {ErrorCode::kUnknownPath, "there is no plain service of this name",
                   RequestOutcome::kNotRun, std::nullopt},
                  responder);
  }
  SessionRequest session;
  session.id = std::move(id);
  session.service = name;
  session.plain = true;
  session.method = request.method;
  session.path = slash < service_path.size() ? service_path.substr(slash) : "/";
  if (!request.query.empty()) session.path += "?" + request.query;
  session.content_type = std::string(request.headers.get("Content-Type"));
  session.raw_body = std::move(request.body);
  submit(std::move(session), request, tenant, responder);
}

void CallerApi::submit(SessionRequest session, const HttpRequest& request, const Tenant& tenant,
                       const Responder& responder) {
  const auto repeatable = is_repeatable(request);
  if (!repeatable) return refuse(session.id, invalid_request(repeatable.error()), responder);
  session.repeatable = *repeatable;
  session.tenant = tenant.name;
  const std::string_view key = request.headers.get("Idempotency-Key");
  if (!key.empty()) session.claim = claim_key(tenant.name, std::string(key));
  session.snapshot = config_.replica().snapshot();
  session.arrived_at = runtime_.now();
  session.deadline = session.arrived_at + settings_.request_timeout;
  const Policy& policy = session.snapshot->policy_for(tenant, session.service);
  session.priority = policy.priority;
  const double weight = tenant.weight;
  queue_.submit(std::move(session), policy, weight, responder);
}

void CallerApi::refuse(const RequestId& id, const CallerError& error,
                       const Responder& responder) const {
  metrics_.count_request("none", "refused");
  HttpReply reply = to_reply(error);
  reply.headers.add(engine_api::kRequestIdHeader, id.value());
  responder->respond(std::move(reply));
}

}  // namespace shuntbank
