/// @file
/// The objects that operators declare. See docs/CONFIGURATION.md for each field.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "config/selector.hpp"

namespace shuntbank {

/// The inference stages that an engine runs.
enum class EngineRole { kMixed, kPrefill, kDecode };

/// @return the name of `role` in configuration and protocol.
const char* to_text(EngineRole role);

/// @return the role with that name, if any.
std::optional<EngineRole> parse_engine_role(const std::string& text);

/// A statically declared back-end server.
struct Engine {
  EngineId name;
  std::string address;  ///< `IP:PORT` of its API.
  ZoneName zone;
  Labels labels;
};

enum class ServiceKind { kModel, kPlain };

/// One version of a model, and the adapters that its engines have loaded.
struct ModelSpec {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;

  bool operator==(const ModelSpec&) const = default;
};

/// A group of engines that serve the same models or API.
struct Service {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModel;
  Selector engine_selector;
  std::vector<ModelSpec> models;          ///< Empty for a plain service.
  std::vector<EngineRole> allowed_roles;  ///< Empty means mixed only.
};

/// The hash of a tenant key. Two may be valid at once while a key is rotated.
struct TenantKey {
  std::string sha256;                      ///< 64 hexadecimal digits.
  std::optional<std::int64_t> expires_at;  ///< Seconds since the Unix epoch; none: never.
};

/// An organisation that sends requests.
struct Tenant {
  TenantName name;
  Labels labels;
  double weight = 1.0;  ///< Fair-share weight relative to other tenants.
  std::vector<TenantKey> keys;
};

/// Limits per selected tenant, across all nodes. Zero means no limit.
struct TenantLimits {
  std::uint32_t requests_per_minute = 0;
  std::uint64_t tokens_per_minute = 0;
  std::uint32_t concurrent_requests = 0;
  std::uint32_t queue_length = 0;
};

/// Latencies within which a request counts towards goodput.
struct LatencyTargets {
  Duration first_token = std::chrono::milliseconds(500);
  Duration between_tokens = std::chrono::milliseconds(80);
};

/// Rules for the tenants and services that it selects.
struct Policy {
  std::string name;
  Selector tenant_selector;
  Selector service_selector;  ///< Matches the label `service`, whose value is the service name.
  TenantLimits limits;
  std::int32_t priority = 0;  ///< Higher is served first; the highest matching policy applies.
  LatencyTargets targets;
  double role_change_cost = 1.0;  ///< In goodput-seconds, besides the time that the change takes.
  Duration drain_bound =
      std::chrono::seconds(30);  ///< Drain timeout, after which the role change is postponed.
};

enum class ObjectKind { kEngine, kService, kTenant, kPolicy };

/// @return the name of `kind` in configuration, such as `Engine`.
const char* to_text(ObjectKind kind);

/// @return the kind with that name, if any.
std::optional<ObjectKind> parse_object_kind(const std::string& text);

using DeclaredObject = std::variant<Engine, Service, Tenant, Policy>;

}  // namespace shuntbank
