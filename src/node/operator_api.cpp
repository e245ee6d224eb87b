#include "node/operator_api.hpp"

#include <utility>

#include "common/json_parsing.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;

HttpReply json_reply(int status, const json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

json to_json(const Findings& findings) {
  json list = json::array();
  for (const Finding& finding : findings.items()) {
    list.push_back({{"place", finding.place}, {"message", finding.message}});
  }
  return list;
}

json to_json(const std::vector<EditConflict>& conflicts) {
  json list = json::array();
  for (const EditConflict& conflict : conflicts) {
    list.push_back({{"object", conflict.key.to_text()},
                    {"base_version", conflict.base_version},
                    {"current_version", conflict.current_version}});
  }
  return list;
}

HttpReply to_reply(const ChangeFailure& failure) {
  switch (failure.kind) {
    case ChangeFailure::Kind::kUnavailable:
      return json_reply(503, {{"error", "platform_unavailable"}, {"changed", "no"}});
    case ChangeFailure::Kind::kUnknown:
      return json_reply(503, {{"error", "platform_unavailable"}, {"changed", "unknown"}});
    case ChangeFailure::Kind::kRefused:
      break;
  }
  if (!failure.refusal.conflicts.empty()) {
    return json_reply(409, {{"error", "conflict"},
                            {"changed", "no"},
                            {"conflicts", to_json(failure.refusal.conflicts)}});
  }
  return json_reply(
      422,
      {{"error", "invalid"}, {"changed", "no"}, {"findings", to_json(failure.refusal.findings)}});
}

json to_json(const EngineController::EngineStatus& status) {
  json item{{"engine", status.engine.value()},
            {"phase", to_text(status.phase)},
            {"wanted_role", to_text(status.wanted_role)},
            {"answers", status.responsive}};
  if (!status.state) return item;
  item["role"] = to_text(status.state->role);
  item["fence"] = status.state->stamp.fence;
  item["sequence"] = status.state->stamp.sequence;
  item["active"] = status.state->active;
  item["changing"] = status.state->change_in_progress;
  return item;
}

}  // namespace

OperatorApi::OperatorApi(ConfigService& config, const ClusterService& cluster,
                         const ControlService& control, const ClaimService& claims,
                         Metrics& metrics, std::function<std::string()> not_ready_reasons,
                         std::function<void()> on_leave)
    : config_(config),
      cluster_(cluster),
      control_(control),
      claims_(claims),
      metrics_(metrics),
      not_ready_reasons_(std::move(not_ready_reasons)),
      on_leave_(std::move(on_leave)) {}

void OperatorApi::handle(const HttpRequest& request, const Responder& responder) {
  if (request.path == "/healthz") return responder->respond({200, {}, "ok\n"});
  if (request.path == "/readyz") return responder->respond(readiness());
  if (request.path == "/metrics") {
    metrics_.set_revision(static_cast<double>(config_.replica().revision()));
    metrics_.set_members(static_cast<double>(cluster_.usable().size()));
    metrics_.set_control_bytes(static_cast<double>(cluster_.bytes_sent()),
                               static_cast<double>(cluster_.bytes_received()));
    for (const auto& duty : control_.duty_statuses()) {
      metrics_.set_role_changes(duty.service.value(), static_cast<double>(duty.role_changes));
    }
    return responder->respond(
        {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.to_text()});
  }
  if (request.path == "/v1/status") return responder->respond(json_reply(200, status()));
  if (request.path == "/v1/config" && request.method == "GET") {
    return responder->respond(json_reply(200, to_json(config_.replica().document())));
  }
  if (request.path == "/v1/config/changes" && request.method == "POST") {
    return change_config(request, responder);
  }
  if (request.path == "/v1/drain" && request.method == "POST") {
    on_leave_();
    return responder->respond(json_reply(200, {{"leaving", true}}));
  }
  responder->respond(json_reply(404, {{"error", "unknown_path"}}));
}

void OperatorApi::change_config(const HttpRequest& request, const Responder& responder) {
  const json body = parse_json(request.body).value_or(json());
  auto edits = edits_from_json(body);
  if (!edits) {
    return responder->respond(json_reply(
        422, {{"error", "invalid"}, {"changed", "no"}, {"findings", to_json(edits.error())}}));
  }
  config_.change(std::move(*edits), [responder](const auto& result) {
    if (!result) return responder->respond(to_reply(result.error()));
    responder->respond(json_reply(200, {{"revision", *result}}));
  });
}

HttpReply OperatorApi::readiness() const {
  const std::string reasons = not_ready_reasons_();
  if (reasons.empty()) return {200, {}, "ready\n"};
  return {503, {}, reasons};
}

json OperatorApi::claims_json() const {
  const ClaimGroupRecord& record = claims_.record();
  json members = json::array();
  for (const ClaimMember& member : record.members) members.push_back(member.node.value());
  return {{"view", record.view},
          {"stable", record.stable},
          {"members", std::move(members)},
          {"active_view_here", claims_.active_view()},
          {"held_here", claims_.held_claims()}};
}

json OperatorApi::status() const {
  json members = json::array();
  for (const MemberFact& member : cluster_.members()) {
    members.push_back({{"node", member.node.value()},
                       {"zone", member.zone.value()},
                       {"state", to_text(member.state)},
                       {"incarnation", member.incarnation},
                       {"revision", cluster_.revision_of(member.node)}});
  }
  json duties = json::array();
  for (const auto& duty : control_.duty_statuses()) {
    json item{{"service", duty.service.value()},
              {"holder", duty.holder.value()},
              {"plan", duty.plan},
              {"role_changes", duty.role_changes},
              {"put_off", duty.drain_timeouts},
              {"engines", json::array()}};
    if (duty.fence) item["fence"] = *duty.fence;
    for (const auto& engine : duty.engines) item["engines"].push_back(to_json(engine));
    duties.push_back(std::move(item));
  }
  json engines = json::array();
  for (const EngineFact& fact : cluster_.engine_facts()) {
    engines.push_back({{"engine", fact.engine.value()},
                       {"role", to_text(fact.role)},
                       {"state", to_text(fact.availability)},
                       {"fence", fact.stamp.fence}});
  }
  return {{"node", cluster_.self().node.value()},
          {"zone", cluster_.self().zone.value()},
          {"region", cluster_.self().region.value()},
          {"revision", config_.replica().revision()},
          {"platform_answers", config_.platform_reachable()},
          {"members", std::move(members)},
          {"duties", std::move(duties)},
          {"claims", claims_json()},
          {"engines", std::move(engines)}};
}

}  // namespace shuntbank
