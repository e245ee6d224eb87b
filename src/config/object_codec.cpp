#include "config/object_codec.hpp"

#include <algorithm>
#include <limits>

#include "config/field_reader.hpp"

namespace shuntbank {
namespace {

constexpr double kMaxWeight = 1e6;
constexpr double kMaxRoleChangeCost = 1e9;
constexpr std::int64_t kMaxPriority = 1000;
constexpr std::size_t kMaxTenantKeys = 2;
constexpr std::size_t kSha256Digits = 64;
constexpr Duration kMinDuration = std::chrono::milliseconds(1);
constexpr Duration kMaxDuration = std::chrono::hours(1);

bool is_ip_and_port(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size()) return false;
  const std::string host = text.substr(0, colon);
  const std::string port = text.substr(colon + 1);
  return host.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string::npos &&
         port.find_first_not_of("0123456789") == std::string::npos;
}

bool is_sha256(const std::string& text) {
  return text.size() == kSha256Digits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Engine read_engine(const std::string& name, FieldReader& reader) {
  Engine engine;
  engine.name = EngineId(name);
  engine.address = reader.text("address", true);
  if (!engine.address.empty() && !is_ip_and_port(engine.address)) {
    reader.add_finding("address", "must have the form IP:PORT with an IP number");
  }
  engine.zone = ZoneName(reader.text("zone", true));
  engine.labels = reader.labels("labels");
  return engine;
}

ModelSpec read_model(const nlohmann::json& item, const std::string& place, Findings& findings) {
  FieldReader reader(item, place, findings);
  ModelSpec model;
  model.name = reader.text("name", true);
  model.version = reader.text("version", true);
  model.adapters = reader.text_list("adapters");
  reader.finish();
  return model;
}

ServiceKind read_service_kind(FieldReader& reader) {
  const std::string text = reader.text("kind", true);
  if (text == "plain") return ServiceKind::kPlain;
  if (text != "model" && !text.empty()) reader.add_finding("kind", "must be model or plain");
  return ServiceKind::kModel;
}

Service read_service(const std::string& name, FieldReader& reader, Findings& findings) {
  Service service;
  service.name = ServiceName(name);
  service.kind = read_service_kind(reader);
  service.engine_selector = reader.selector("engine_selector");
  std::size_t index = 0;
  for (const nlohmann::json& item : reader.items("models")) {
    const std::string place = reader.place_of("models/" + std::to_string(index++));
    service.models.push_back(read_model(item, place, findings));
  }
  const bool needs_models = service.kind == ServiceKind::kModel;
  if (needs_models == service.models.empty()) {
    reader.add_finding("models", needs_models ? "needs at least one model" : "must be absent here");
  }
  for (const std::string& text : reader.text_list("allowed_roles")) {
    const auto role = parse_engine_role(text);
    if (role) service.allowed_roles.push_back(*role);
    if (!role)
      reader.add_finding("allowed_roles", "'" + text + "' is none of mixed, prefill, decode");
  }
  return service;
}

TenantKey read_tenant_key(const nlohmann::json& item, const std::string& place,
                          Findings& findings) {
  FieldReader reader(item, place, findings);
  TenantKey key;
  key.sha256 = reader.text("sha256", true);
  if (!key.sha256.empty() && !is_sha256(key.sha256)) {
    reader.add_finding("sha256", "must be 64 lower-case hexadecimal digits");
  }
  constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();
  const std::int64_t expires = reader.integer("expires_at", kNever, 1, kNever);
  if (expires != kNever) key.expires_at = expires;
  reader.finish();
  return key;
}

Tenant read_tenant(const std::string& name, FieldReader& reader, Findings& findings) {
  Tenant tenant;
  tenant.name = TenantName(name);
  tenant.labels = reader.labels("labels");
  tenant.weight = reader.number("weight", 1.0, 1.0 / kMaxWeight, kMaxWeight);
  std::size_t index = 0;
  for (const nlohmann::json& item : reader.items("keys")) {
    const std::string place = reader.place_of("keys/" + std::to_string(index++));
    tenant.keys.push_back(read_tenant_key(item, place, findings));
  }
  if (tenant.keys.size() > kMaxTenantKeys) {
    reader.add_finding("keys", "holds more than two keys; remove the oldest");
  }
  return tenant;
}

TenantLimits read_limits(const nlohmann::json& item, const std::string& place, Findings& findings) {
  constexpr std::uint64_t kMaxCount = std::numeric_limits<std::uint32_t>::max();
  constexpr std::uint64_t kMaxTokens = std::numeric_limits<std::int64_t>::max();
  FieldReader reader(item, place, findings);
  TenantLimits limits;
  limits.requests_per_minute =
      static_cast<std::uint32_t>(reader.unsigned_integer("requests_per_minute", 0, kMaxCount));
  limits.tokens_per_minute = reader.unsigned_integer("tokens_per_minute", 0, kMaxTokens);
  limits.concurrent_requests =
      static_cast<std::uint32_t>(reader.unsigned_integer("concurrent_requests", 0, kMaxCount));
  limits.queue_length =
      static_cast<std::uint32_t>(reader.unsigned_integer("queue_length", 0, kMaxCount));
  reader.finish();
  return limits;
}

LatencyTargets read_targets(const nlohmann::json& item, const std::string& place,
                            Findings& findings) {
  FieldReader reader(item, place, findings);
  LatencyTargets targets;
  targets.first_token =
      reader.duration("first_token", targets.first_token, kMinDuration, kMaxDuration);
  targets.between_tokens =
      reader.duration("between_tokens", targets.between_tokens, kMinDuration, kMaxDuration);
  reader.finish();
  return targets;
}

Policy read_policy(const std::string& name, FieldReader& reader, Findings& findings) {
  Policy policy;
  policy.name = name;
  policy.tenant_selector = reader.selector("tenant_selector");
  policy.service_selector = reader.selector("service_selector");
  policy.limits = read_limits(reader.object("limits"), reader.place_of("limits"), findings);
  policy.priority =
      static_cast<std::int32_t>(reader.integer("priority", 0, -kMaxPriority, kMaxPriority));
  policy.targets = read_targets(reader.object("targets"), reader.place_of("targets"), findings);
  policy.role_change_cost =
      reader.number("role_change_cost", policy.role_change_cost, 0, kMaxRoleChangeCost);
  policy.drain_bound =
      reader.duration("drain_bound", policy.drain_bound, kMinDuration, kMaxDuration);
  return policy;
}

}  // namespace

const char* to_text(EngineRole role) {
  switch (role) {
    case EngineRole::kMixed:
      return "mixed";
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
  }
  return "mixed";
}

std::optional<EngineRole> parse_engine_role(const std::string& text) {
  for (const EngineRole role : {EngineRole::kMixed, EngineRole::kPrefill, EngineRole::kDecode}) {
    if (text == to_text(role)) return role;
  }
  return std::nullopt;
}

const char* to_text(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kEngine:
      return "Engine";
    case ObjectKind::kService:
      return "Service";
    case ObjectKind::kTenant:
      return "Tenant";
    case ObjectKind::kPolicy:
      return "Policy";
  }
  return "Engine";
}

std::optional<ObjectKind> parse_object_kind(const std::string& text) {
  for (const ObjectKind kind :
       {ObjectKind::kEngine, ObjectKind::kService, ObjectKind::kTenant, ObjectKind::kPolicy}) {
    if (text == to_text(kind)) return kind;
  }
  return std::nullopt;
}

DeclaredObject read_object(ObjectKind kind, const std::string& name, const nlohmann::json& spec,
                           const std::string& place, Findings& findings) {
  FieldReader reader(spec, place, findings);
  DeclaredObject object;
  switch (kind) {
    case ObjectKind::kEngine:
      object = read_engine(name, reader);
      break;
    case ObjectKind::kService:
      object = read_service(name, reader, findings);
      break;
    case ObjectKind::kTenant:
      object = read_tenant(name, reader, findings);
      break;
    case ObjectKind::kPolicy:
      object = read_policy(name, reader, findings);
      break;
  }
  reader.finish();
  return object;
}

}  // namespace shuntbank
