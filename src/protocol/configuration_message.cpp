#include "protocol/configuration_message.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/json_parsing.hpp"
#include "protocol/msgpack_document.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;
using relay::DeclaredTenant;
using relay::ModelServing;
using relay::RelayedService;
using relay::RequestLimits;
using relay::Route;
using relay::RouteConfiguration;
using relay::RouteKind;
using relay::TenantQuota;

json micros(Duration duration) {
  return duration.count();
}

Duration duration_of(const json& object, const char* key) {
  return Duration(to_integer<std::int64_t>(object.at(key)));
}

json to_json(const Route& route) {
  json split = json::array();
  for (const relay::SplitPart& part : route.split) {
    split.push_back({part.service.value(), part.weight});
  }
  return {{"name", route.name},
          {"host", route.host},
          {"path", route.path_prefix},
          {"kind", static_cast<int>(route.kind)},
          {"split", std::move(split)},
          {"attempts", route.max_attempts},
          {"timeout", micros(route.timeout)},
          {"objective", micros(route.objective)},
          {"gap", micros(route.gap_target)},
          {"priority", route.priority},
          {"affinity", route.affinity},
          {"resumable", route.resumable},
          {"open", route.allows_anonymous}};
}

RouteKind kind_of(int number) {
  if (number == static_cast<int>(RouteKind::kSafe)) return RouteKind::kSafe;
  if (number == static_cast<int>(RouteKind::kStream)) return RouteKind::kStream;
  return RouteKind::kUnsafe;
}

Route route_from_json(const json& object) {
  Route route;
  route.name = object.at("name").get<std::string>();
  route.host = object.at("host").get<std::string>();
  route.path_prefix = object.at("path").get<std::string>();
  route.kind = kind_of(to_integer<int>(object.at("kind")));
  for (const json& part : object.at("split")) {
    route.split.push_back({ServiceName(part.at(0).get<std::string>()), part.at(1).get<double>()});
  }
  route.max_attempts = to_integer<std::uint32_t>(object.at("attempts"));
  route.timeout = duration_of(object, "timeout");
  route.objective = duration_of(object, "objective");
  route.gap_target = duration_of(object, "gap");
  route.priority = to_integer<int>(object.at("priority"));
  route.affinity = object.at("affinity").get<bool>();
  route.resumable = object.at("resumable").get<bool>();
  route.allows_anonymous = object.at("open").get<bool>();
  return route;
}

json to_json(const ModelServing& model) {
  return {{"slots", model.slots},
          {"kv_tokens", model.kv_tokens},
          {"token_bytes", model.kv_token_bytes},
          {"link", model.link_megabits_per_second},
          {"handle", micros(model.prefill_handle_lifetime)},
          {"change", micros(model.role_change_time)}};
}

ModelServing model_from_json(const json& object) {
  ModelServing model;
  model.slots = to_integer<std::uint32_t>(object.at("slots"));
  model.kv_tokens = to_integer<std::uint64_t>(object.at("kv_tokens"));
  model.kv_token_bytes = to_integer<std::uint64_t>(object.at("token_bytes"));
  model.link_megabits_per_second = object.at("link").get<double>();
  model.prefill_handle_lifetime = duration_of(object, "handle");
  model.role_change_time = duration_of(object, "change");
  return model;
}

json to_json(const capacity::EngineScale& scale) {
  json prices = json::object();
  for (const auto& [zone, price] : scale.zone_prices) prices[zone.value()] = price;
  json object = {{"least", scale.min},
                 {"most", scale.max},
                 {"startup", micros(scale.startup)},
                 {"prices", std::move(prices)}};
  if (scale.spot_price) object["spot"] = *scale.spot_price;
  return object;
}

capacity::EngineScale scale_from_json(const json& object) {
  capacity::EngineScale scale;
  scale.min = to_integer<std::uint32_t>(object.at("least"));
  scale.max = to_integer<std::uint32_t>(object.at("most"));
  scale.startup = duration_of(object, "startup");
  if (object.contains("spot")) scale.spot_price = object["spot"].get<double>();
  for (const auto& [zone, price] : object.at("prices").items()) {
    scale.zone_prices[ZoneName(zone)] = price.get<double>();
  }
  return scale;
}

json to_json(const RelayedService& service) {
  json object = {{"name", service.name.value()}, {"connections", service.max_connections}};
  if (service.model) object["model"] = to_json(*service.model);
  if (service.scale) object["scale"] = to_json(*service.scale);
  return object;
}

RelayedService service_from_json(const json& object) {
  RelayedService service;
  service.name = ServiceName(object.at("name").get<std::string>());
  service.max_connections = to_integer<std::uint32_t>(object.at("connections"));
  if (object.contains("model")) service.model = model_from_json(object["model"]);
  if (object.contains("scale")) service.scale = scale_from_json(object["scale"]);
  return service;
}

json to_json(const TenantQuota& quota) {
  return {{"per_second", quota.per_second},
          {"burst", quota.burst},
          {"tokens", quota.counts_tokens},
          {"default_tokens", quota.default_tokens}};
}

TenantQuota quota_from_json(const json& object) {
  TenantQuota quota;
  quota.per_second = object.at("per_second").get<double>();
  quota.burst = object.at("burst").get<double>();
  quota.counts_tokens = object.at("tokens").get<bool>();
  quota.default_tokens = to_integer<std::uint64_t>(object.at("default_tokens"));
  return quota;
}

json to_json(const DeclaredTenant& tenant) {
  json keys = json::array();
  for (const TenantKey& key : tenant.keys) {
    json entry = {key.sha256};
    if (key.expires_at) entry.push_back(*key.expires_at);
    keys.push_back(std::move(entry));
  }
  json object = {{"name", tenant.name.value()}, {"keys", std::move(keys)}};
  if (tenant.priority) object["priority"] = *tenant.priority;
  if (tenant.quota) object["quota"] = to_json(*tenant.quota);
  return object;
}

DeclaredTenant tenant_from_json(const json& object) {
  DeclaredTenant tenant;
  tenant.name = TenantName(object.at("name").get<std::string>());
  for (const json& entry : object.at("keys")) {
    TenantKey key;
    key.sha256 = entry.at(0).get<std::string>();
    if (entry.size() > 1) key.expires_at = to_integer<std::int64_t>(entry.at(1));
    tenant.keys.push_back(std::move(key));
  }
  if (object.contains("priority")) tenant.priority = to_integer<int>(object["priority"]);
  if (object.contains("quota")) tenant.quota = quota_from_json(object["quota"]);
  return tenant;
}

RequestLimits limits_from_json(const json& object) {
  RequestLimits limits;
  limits.max_header_bytes = to_integer<std::size_t>(object.at("header"));
  limits.max_body_bytes = to_integer<std::size_t>(object.at("body"));
  limits.header_timeout = duration_of(object, "header_timeout");
  limits.idle_timeout = duration_of(object, "idle_timeout");
  return limits;
}

RouteConfiguration configuration_from_json(const json& document) {
  RouteConfiguration configuration;
  configuration.version = to_integer<std::uint64_t>(document.at("version"));
  for (const json& route : document.at("routes")) {
    configuration.routes.push_back(route_from_json(route));
  }
  for (const json& service : document.at("services")) {
    configuration.services.push_back(service_from_json(service));
  }
  configuration.limits = limits_from_json(document.at("limits"));
  if (!document.contains("tenants")) return configuration;
  configuration.tenants.emplace();
  for (const json& tenant : document["tenants"]) {
    configuration.tenants->push_back(tenant_from_json(tenant));
  }
  return configuration;
}

json to_json(const ConfigurationSummary& summary) {
  return {{"revision", summary.revision},
          {"groups", summary.group_hashes},
          {"tenants", summary.tenants_hash}};
}

ConfigurationSummary summary_from_json(const json& object) {
  ConfigurationSummary summary;
  summary.revision = to_integer<std::uint64_t>(object.at("revision"));
  summary.group_hashes = object.at("groups").get<decltype(summary.group_hashes)>();
  summary.tenants_hash = to_integer<std::uint64_t>(object.at("tenants"));
  return summary;
}

json to_json(const ConfigurationDelta& delta) {
  return {{"groups", delta.changed_groups},
          {"tenants_kept", delta.tenants_unchanged},
          {"whole", to_json(delta.result)}};
}

ConfigurationDelta delta_from_json(const json& object) {
  ConfigurationDelta delta;
  delta.changed_groups = object.at("groups").get<std::vector<std::size_t>>();
  delta.tenants_unchanged = object.at("tenants_kept").get<bool>();
  delta.result = summary_from_json(object.at("whole"));
  return delta;
}

bool contains(const std::vector<std::size_t>& groups, std::size_t group) {
  return std::find(groups.begin(), groups.end(), group) != groups.end();
}

/// Whether the sender knows the quotas of tenants. Earlier versions omit it.
constexpr const char* kKnowsQuotas = "quotas";

/// Distinguishes the call from others on the same port.
constexpr std::string_view kCallPrefix = "configuration?";

}  // namespace

ConfigurationMessage make_delta(const ConfigurationSummary& known, ConfigurationMessage message,
                                const ConfigurationSummary& summary) {
  ConfigurationDelta delta;
  delta.result = summary;
  for (std::size_t group = 0; group < kRouteGroups; ++group) {
    if (known.group_hashes[group] != summary.group_hashes[group])
      delta.changed_groups.push_back(group);
  }
  delta.tenants_unchanged = known.tenants_hash == summary.tenants_hash;
  std::erase_if(message.configuration.routes, [&delta](const Route& route) {
    return !contains(delta.changed_groups, group_of(route));
  });
  if (delta.tenants_unchanged) message.configuration.tenants.reset();
  message.delta = std::move(delta);
  return message;
}

tl::expected<ConfigurationMessage, std::string> apply_delta(ConfigurationMessage message,
                                                            const RouteConfiguration& base) {
  if (!message.delta) return message;
  const ConfigurationDelta delta = *std::exchange(message.delta, std::nullopt);
  for (const Route& route : base.routes) {
    if (!contains(delta.changed_groups, group_of(route)))
      message.configuration.routes.push_back(route);
  }
  if (delta.tenants_unchanged) message.configuration.tenants = base.tenants;
  if (summarize(message.configuration, message.revision).same_content(delta.result)) return message;
  return tl::make_unexpected(std::string("the local configuration is not the base of the delta"));
}

std::string encode(const ConfigurationCall& call) {
  std::string bytes(kCallPrefix);
  json::to_msgpack({{"known", to_json(call.known)}, {"most_bytes", call.max_bytes}}, bytes);
  return bytes;
}

bool is_configuration_call(std::string_view bytes) {
  return bytes.substr(0, kCallPrefix.size()) == kCallPrefix;
}

tl::expected<ConfigurationCall, std::string> decode_configuration_call(std::string_view bytes) {
  try {
    const std::string_view body = bytes.substr(std::min(kCallPrefix.size(), bytes.size()));
    const json document = msgpack_document(body);
    return ConfigurationCall{summary_from_json(document.at("known")),
                             to_integer<std::size_t>(document.at("most_bytes"))};
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

std::string encode(const ConfigurationMessage& message) {
  const RouteConfiguration& configuration = message.configuration;
  const RequestLimits& limits = configuration.limits;
  json document = {{"revision", message.revision},
                   {"version", configuration.version},
                   {"routes", json::array()},
                   {"services", json::array()},
                   {"limits",
                    {{"header", limits.max_header_bytes},
                     {"body", limits.max_body_bytes},
                     {"header_timeout", micros(limits.header_timeout)},
                     {"idle_timeout", micros(limits.idle_timeout)}}}};
  for (const Route& route : configuration.routes) document["routes"].push_back(to_json(route));
  for (const RelayedService& service : configuration.services) {
    document["services"].push_back(to_json(service));
  }
  if (configuration.tenants) {
    document["tenants"] = json::array();
    document[kKnowsQuotas] = true;
    for (const DeclaredTenant& tenant : *configuration.tenants) {
      document["tenants"].push_back(to_json(tenant));
    }
  }
  if (message.delta) document["part"] = to_json(*message.delta);
  std::string bytes;
  json::to_msgpack(document, bytes);
  return bytes;
}

tl::expected<ConfigurationMessage, std::string> decode_configuration(std::string_view bytes) {
  try {
    const json document = msgpack_document(bytes);
    if (document.contains("tenants") && !document.contains(kKnowsQuotas)) {
      return tl::make_unexpected(std::string("the sender does not know the tenants' quotas"));
    }
    ConfigurationMessage message{to_integer<std::uint64_t>(document.at("revision")),
                                 configuration_from_json(document)};
    if (document.contains("part")) message.delta = delta_from_json(document["part"]);
    return message;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

}  // namespace shuntbank
