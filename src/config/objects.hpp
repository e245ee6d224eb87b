/// @file
/// The objects that operators declare. docs/CONFIGURATION.md documents each field.
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

/// What an engine does in the serving of a model.
enum class EngineRole { kMixed, kPrefill, kDecode };

/// @return the name of `role` as configuration and protocol spell it.
const char* to_text(EngineRole role);

/// @return the role of that name, if there is one.
std::optional<EngineRole> parse_engine_role(const std::string& text);

/// A back end of the fixed fleet.
struct Engine {
  EngineId name;
  std::string address;  ///< `IP:PORT` of its published API.
  ZoneName zone;
  Labels labels;
};

enum class ServiceKind { kModel, kPlain };

/// One version of a model and the adapters that its engines hold.
struct ModelSpec {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;

  bool operator==(const ModelSpec&) const = default;
};

/// A group of engines that serve the same thing.
struct Service {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModel;
  Selector engine_selector;
  std::vector<ModelSpec> models;          ///< Empty for a plain service.
  std::vector<EngineRole> allowed_roles;  ///< Empty means mixed only.
};

/// A stored tenant key: only its hash. Two may be valid at once while a key is rotated.
struct TenantKey {
  std::string sha256;                      ///< 64 hexadecimal digits.
  std::optional<std::int64_t> expires_at;  ///< Seconds since the Unix epoch; none: no end.
};

/// A caller organisation.
struct Tenant {
  TenantName name;
  Labels labels;
  double weight = 1.0;  ///< Share of a contended fleet relative to other tenants.
  std::vector<TenantKey> keys;
};

/// Limits of each selected tenant, across all nodes. Zero means no limit.
struct TenantLimits {
  std::uint32_t requests_per_minute = 0;
  std::uint64_t tokens_per_minute = 0;
  std::uint32_t concurrent_requests = 0;
  std::uint32_t queue_length = 0;
};

/// Bounds that count a request as served well.
struct LatencyTargets {
  Duration first_token = std::chrono::milliseconds(500);
  Duration between_tokens = std::chrono::milliseconds(80);
};

/// Rules for the tenants and services that it selects.
struct Policy {
  std::string name;
  Selector tenant_selector;
  Selector service_selector;  ///< Matches against the label `service` = the service's name.
  TenantLimits limits;
  std::int32_t priority = 0;  ///< Higher is served first; also decides between two policies.
  LatencyTargets targets;
  double role_change_cost = 1.0;  ///< Goodput-seconds that one role change has to earn back.
  Duration drain_bound =
      std::chrono::seconds(30);  ///< Longest wait for a drain before it is put off.
};

enum class ObjectKind { kEngine, kService, kTenant, kPolicy };

/// @return the name of `kind` as configuration spells it, such as `Engine`.
const char* to_text(ObjectKind kind);

/// @return the kind of that name, if there is one.
std::optional<ObjectKind> parse_object_kind(const std::string& text);

using DeclaredObject = std::variant<Engine, Service, Tenant, Policy>;

}  // namespace shuntbank
