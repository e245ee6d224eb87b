/// @file
/// Declared routes of relayed requests: which service a request goes to, what may be done with it,
/// and how long it may take. A configuration is one immutable value with a version.
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

namespace shuntbank::relay {

/// What may be done with a request of a route.
enum class RouteKind {
  kSafe,    ///< May run any number of times.
  kUnsafe,  ///< Runs at most once.
  kStream,  ///< Answered by events; runs at most once unless the route is resumable.
};

/// One of the services that share a route.
struct SplitPart {
  ServiceName service;
  double weight = 1;  ///< Share relative to the other parts.
};

/// A declared route.
struct Route {
  std::string name;
  std::string host;         ///< Without a port; compared without regard to case.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kUnsafe;
  std::vector<SplitPart> split;  ///< One part or more.
  std::uint32_t max_attempts = 1;
  Duration timeout = std::chrono::seconds(30);   ///< Longest time until the final answer.
  Duration objective = std::chrono::seconds(1);  ///< Until which an answer has its full worth.
  Duration gap_target = Duration::zero();        ///< Longest pause between events; zero: unset.
  int priority = 0;                              ///< 0 is the most urgent.
  bool affinity = false;                         ///< Requests carry the parts of their prompt.
  bool resumable = false;         ///< A broken stream may be taken up at another engine.
  bool allows_anonymous = false;  ///< Takes requests without a tenant's key.

  /// @return whether a request may run more than once.
  bool idempotent() const {
    return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable);
  }
};

/// What all engines of a model service share.
struct ModelServing {
  std::uint32_t slots = 1;
  std::uint64_t kv_tokens = 0;       ///< Memory of an engine, in tokens.
  std::uint64_t kv_token_bytes = 0;  ///< Moved for each token of a prompt.
  double link_megabits_per_second = 0;
  Duration prefill_handle_lifetime = std::chrono::seconds(5);  ///< Of a prompt that was read ahead.
  Duration role_change_time = std::chrono::seconds(2);

  /// @return milliseconds that the bytes of so many tokens take on an engine's link.
  double transfer_ms(std::uint64_t tokens) const;
};

/// A declared service.
struct RelayedService {
  ServiceName name;
  std::uint32_t max_connections = 0;  ///< An engine takes so many from all callers; 0: unbounded.
  std::optional<ModelServing> model;  ///< Set for engines that read prompts and make tokens.
  std::optional<capacity::EngineScale> scale = std::nullopt;  ///< Set where engines may be ordered.
};

/// Bounds on what callers may send.
struct RequestLimits {
  std::size_t max_header_bytes = 16UL << 10U;
  std::size_t max_body_bytes = 4UL << 20U;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// A tenant as the operator declares it. One without keys has lost them all: nobody speaks for it.
struct DeclaredTenant {
  TenantName name;
  std::vector<TenantKey> keys;
  std::optional<int> priority;  ///< In place of that of the routes; 0 is the most urgent.
};

/// All that the operator declares for the relay.
struct RouteConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RelayedService> services;
  RequestLimits limits;
  /// Unset where there are no tenants: then no request needs a key.
  std::optional<std::vector<DeclaredTenant>> tenants;
};

/// Checks a configuration as a whole. @return every problem with its place.
Findings check(const RouteConfiguration& configuration);

/// What a presented key says of a request.
struct KeyVerdict {
  bool admitted = false;
  const DeclaredTenant* tenant = nullptr;  ///< Null: the request is nobody's.
};

/// A configuration made ready for look-up. Immutable.
class RouteTable {
 public:
  explicit RouteTable(RouteConfiguration configuration);

  std::uint64_t version() const { return configuration_.version; }
  const RouteConfiguration& configuration() const { return configuration_; }

  /// @return what an operator hardly means, with its place. It is no reason to serve on by an older
  /// version: that would keep keys in force which were taken away.
  const Findings& warnings() const { return warnings_; }

  /// @return the route of that host with the longest prefix that begins the path, or null.
  const Route* find(std::string_view host, std::string_view path) const;

  /// @return the declared service, or null.
  const RelayedService* find_service(const ServiceName& name) const;

  /// Decides whether a request of the route is let in.
  /// @param key that the caller presents; empty: none, or more than one.
  /// @param unix_seconds the wall clock, for keys that expire.
  KeyVerdict admit(const Route& route, std::string_view key, std::int64_t unix_seconds) const;

 private:
  void check_scales();
  void index_tenants(const std::vector<DeclaredTenant>& tenants);

  RouteConfiguration configuration_;
  Findings warnings_;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  KeyIndex keys_;
  std::unordered_map<TenantName, const DeclaredTenant*> tenants_;
};

/// Chooses the part of a split so that over time each gets its weight's share (smooth weighted
/// round robin). State is kept by route name across configurations.
class SplitChooser {
 public:
  /// @param offset in [0, 1): where a new route starts, so that nodes do not all start alike.
  explicit SplitChooser(double offset) : offset_(offset) {}

  const ServiceName& choose(const Route& route);

 private:
  double offset_;
  std::unordered_map<std::string, std::vector<double>> credit_;
};

}  // namespace shuntbank::relay
