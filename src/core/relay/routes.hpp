/// @file
/// Declared routes of relayed requests: the target service, retry rules and time limits. A
/// configuration is one immutable value with a version.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/findings.hpp"
#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "config/key_index.hpp"
#include "core/capacity/capacity_planner.hpp"
#include "core/relay/request_urgency.hpp"

namespace shuntbank::relay {

/// Whether requests of a route may be repeated.
enum class RouteKind {
  kSafe,    ///< May run any number of times.
  kUnsafe,  ///< Runs at most once.
  kStream,  ///< Answered by an event stream; runs at most once unless the route is resumable.
};

/// One of the services that share a route.
struct SplitPart {
  ServiceName service;
  double weight = 1;  ///< Relative to the other parts.
};

/// A declared route.
struct Route {
  std::string name;
  std::string host;         ///< Without a port; case-insensitive.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kUnsafe;
  std::vector<SplitPart> split;  ///< At least one part.
  std::uint32_t max_attempts = 1;
  Duration timeout = std::chrono::seconds(30);   ///< Maximum time until the final answer.
  Duration objective = std::chrono::seconds(1);  ///< For the first token or a plain answer.
  Duration gap_target = Duration::zero();        ///< Maximum gap between events; zero: unset.
  int priority = 0;                              ///< 0 is the most urgent.
  bool affinity = false;                         ///< Requests name the parts of their prompt.
  bool resumable = false;         ///< A broken stream may be resumed at another engine.
  bool allows_anonymous = false;  ///< Admits requests without a tenant's key.

  /// @return whether a request may run more than once.
  bool idempotent() const {
    return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable);
  }
};

/// Properties shared by all engines of a model service.
struct ModelServing {
  std::uint32_t slots = 1;
  std::uint64_t kv_tokens = 0;       ///< KV cache of an engine, in tokens.
  std::uint64_t kv_token_bytes = 0;  ///< KV cache bytes transferred per prompt token.
  double link_megabits_per_second = 0;
  Duration prefill_handle_lifetime = std::chrono::seconds(5);  ///< Of a remote prefill.
  Duration role_change_time = std::chrono::seconds(2);

  /// @return milliseconds to transfer the KV cache of the tokens over an engine's link.
  double transfer_ms(std::uint64_t tokens) const;
};

/// A declared service.
struct RelayedService {
  ServiceName name;
  std::uint32_t max_connections = 0;  ///< Per engine, over all nodes; 0: unlimited.
  std::optional<ModelServing> model;  ///< Set for LLM services.
  std::optional<capacity::EngineScale> scale = std::nullopt;  ///< Set if engines may be ordered.
};

/// Bounds on what callers may send.
struct RequestLimits {
  std::size_t max_header_bytes = 16UL << 10U;
  std::size_t max_body_bytes = 4UL << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// How much a tenant may send over all nodes together.
struct TenantQuota {
  double per_second = 0;  ///< In requests or tokens.
  double burst = 0;       ///< Beyond the rate, in the same unit.
  bool counts_tokens = false;
  std::uint64_t default_tokens = 0;  ///< Of a request that names no token counts.

  /// @param tokens that the request names; unset: none.
  /// @return the request's cost in the unit of the quota.
  double cost(std::optional<std::uint64_t> tokens) const;

  bool operator==(const TenantQuota&) const = default;
};

/// A declared tenant. Without keys, no request is admitted for it.
struct DeclaredTenant {
  TenantName name;
  std::vector<TenantKey> keys;
  std::optional<int> priority;  ///< Overrides the priority of routes; 0 is the most urgent.
  std::optional<TenantQuota> quota = std::nullopt;  ///< Unset: unlimited.
};

/// The operator's configuration of the relay.
struct RouteConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RelayedService> services;
  RequestLimits limits;
  /// Unset: there are no tenants, and no request needs a key.
  std::optional<std::vector<DeclaredTenant>> tenants;
};

/// Validates a configuration. @return every problem with its path.
Findings check(const RouteConfiguration& configuration);

/// Result of the key check of a request.
struct KeyVerdict {
  bool admitted = false;
  const DeclaredTenant* tenant = nullptr;  ///< Null: no tenant.
};

/// Immutable index of a configuration.
class RouteTable {
 public:
  explicit RouteTable(RouteConfiguration configuration);

  std::uint64_t version() const { return configuration_.version; }
  const RouteConfiguration& configuration() const { return configuration_; }

  /// @return probable mistakes with their paths. They do not make the configuration invalid:
  /// staying on an older version would keep revoked keys valid.
  const Findings& warnings() const { return warnings_; }

  /// @return the route of the host with the longest prefix of the path, or null.
  const Route* find(std::string_view host, std::string_view path) const;

  /// @return the declared service, or null.
  const RelayedService* find_service(const ServiceName& name) const;

  /// @return the kinds of requests that compete for a service.
  ServiceKinds kinds_of(const ServiceName& service) const;

  /// Decides whether a request of the route is admitted.
  /// @param key presented by the caller; empty: none, or more than one.
  /// @param unix_seconds wall clock time, for keys that expire.
  KeyVerdict admit(const Route& route, std::string_view key, std::int64_t unix_seconds) const;

 private:
  void check_scales();
  void index_kinds();
  void index_tenants(const std::vector<DeclaredTenant>& tenants);

  RouteConfiguration configuration_;
  Findings warnings_;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<ServiceName, ServiceKinds> kinds_;
  KeyIndex keys_;
  std::unordered_map<TenantName, const DeclaredTenant*> tenants_;
};

/// Distributes requests over the parts of a split by weight (smooth weighted round robin). State is
/// kept by route name across configurations.
class SplitChooser {
 public:
  /// @param offset in [0, 1): starting point of new routes, so that nodes do not start in step.
  explicit SplitChooser(double offset) : offset_(offset) {}

  const ServiceName& choose(const Route& route);

 private:
  double offset_;
  std::unordered_map<std::string, std::vector<double>> credit_;
};

}  // namespace shuntbank::relay
