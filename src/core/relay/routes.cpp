#include "core/relay/routes.hpp"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <utility>

namespace shuntbank::relay {
namespace {

std::string normalized_host(std::string_view host) {
  // Strips the port; a colon inside the brackets of an IPv6 address is none.
  const std::size_t bracket = host.rfind(']');
  const std::size_t colon = host.rfind(':');
  const bool has_port =
      colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket);
  std::string lower(has_port ? host.substr(0, colon) : host);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

void check_route(const Route& route, const std::set<std::string>& services,
                 const std::string& place, Findings& findings) {
  const std::string& prefix = route.path_prefix;
  if (route.host.empty()) findings.add(place + "/host", "must not be empty");
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    findings.add(place + "/path_prefix", "must begin and end with a slash");
  }
  if (route.split.empty()) findings.add(place + "/split", "must name a service");
  double total = 0;
  for (std::size_t i = 0; i < route.split.size(); ++i) {
    const SplitPart& part = route.split[i];
    const std::string part_place = place + "/split/" + std::to_string(i);
    if (services.count(part.service.value()) == 0) {
      findings.add(part_place, "service '" + part.service.value() + "' is not declared");
    }
    if (part.weight < 0) findings.add(part_place, "the weight must not be negative");
    total += part.weight;
  }
  if (!route.split.empty() && total <= 0) findings.add(place + "/split", "no part has a weight");
  if (route.max_attempts == 0) findings.add(place + "/max_attempts", "must be 1 or more");
  if (route.timeout <= Duration::zero()) findings.add(place + "/timeout", "must be above 0");
  if (route.resumable && route.kind != RouteKind::kStream) {
    findings.add(place + "/resumable", "only a stream can be resumed");
  }
}

}  // namespace

double ModelServing::transfer_ms(std::uint64_t tokens) const {
  const double bits = static_cast<double>(tokens * kv_token_bytes) * 8;
  const double bits_per_ms = std::max(1.0, link_megabits_per_second * 1000);
  return bits / bits_per_ms;
}

double TenantQuota::cost(std::optional<std::uint64_t> tokens) const {
  if (!counts_tokens) return 1;
  return static_cast<double>(tokens.value_or(default_tokens));
}

Findings check(const RouteConfiguration& configuration) {
  Findings findings;
  std::set<std::string> services;
  for (std::size_t i = 0; i < configuration.services.size(); ++i) {
    const std::string& name = configuration.services[i].name.value();
    const std::string place = "services/" + std::to_string(i) + "/name";
    if (name.empty()) findings.add(place, "must not be empty");
    if (!services.insert(name).second) findings.add(place, "'" + name + "' is declared twice");
  }
  std::set<std::pair<std::string, std::string>> seen;
  for (std::size_t i = 0; i < configuration.routes.size(); ++i) {
    const Route& route = configuration.routes[i];
    const std::string place = "routes/" + std::to_string(i);
    check_route(route, services, place, findings);
    if (!seen.emplace(normalized_host(route.host), route.path_prefix).second) {
      findings.add(place, "host and path prefix are those of an earlier route");
    }
  }
  return findings;
}

RouteTable::RouteTable(RouteConfiguration configuration)
    : configuration_(std::move(configuration)) {
  for (const Route& route : configuration_.routes) {
    by_host_[normalized_host(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
  check_scales();
  index_kinds();
  if (configuration_.tenants) index_tenants(*configuration_.tenants);
}

void RouteTable::index_kinds() {
  std::map<ServiceName, std::set<std::pair<int, Duration>>> kinds;
  for (const Route& route : configuration_.routes) {
    for (const SplitPart& part : route.split)
      kinds[part.service].emplace(route.priority, route.objective);
  }
  for (const auto& [service, priorities] : kinds) {
    kinds_[service] = {static_cast<int>(priorities.size()), priorities.begin()->first};
  }
  if (!configuration_.tenants) return;
  for (const DeclaredTenant& tenant : *configuration_.tenants) {
    if (!tenant.priority) continue;
    for (auto& [service, service_kinds] : kinds_)
      service_kinds.most_urgent = std::min(service_kinds.most_urgent, *tenant.priority);
  }
}

ServiceKinds RouteTable::kinds_of(const ServiceName& service) const {
  const auto it = kinds_.find(service);
  return it == kinds_.end() ? ServiceKinds{} : it->second;
}

void RouteTable::check_scales() {
  for (std::size_t i = 0; i < configuration_.services.size(); ++i) {
    const auto& scale = configuration_.services[i].scale;
    if (!scale || scale->min <= scale->max) continue;
    warnings_.add("services/" + std::to_string(i) + "/scale",
                  "the minimum count exceeds the maximum: no engines are ordered");
  }
}

void RouteTable::index_tenants(const std::vector<DeclaredTenant>& tenants) {
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    const DeclaredTenant& tenant = tenants[i];
    const std::string place = "tenants/" + std::to_string(i);
    if (!tenants_.emplace(tenant.name, &tenant).second) {
      warnings_.add(place + "/name", "'" + tenant.name.value() + "' is declared twice");
    }
    if (tenant.keys.empty()) warnings_.add(place + "/keys", "is empty: no request is admitted");
    for (std::size_t k = 0; k < tenant.keys.size(); ++k) {
      if (keys_.add(tenant.name, tenant.keys[k])) continue;
      warnings_.add(place + "/keys/" + std::to_string(k),
                    "is declared more than once: it is valid for no tenant");
    }
  }
}

KeyVerdict RouteTable::admit(const Route& route, std::string_view key,
                             std::int64_t unix_seconds) const {
  if (!configuration_.tenants) return {true, nullptr};
  const TenantName* owner = key.empty() ? nullptr : keys_.find(key, unix_seconds);
  if (owner == nullptr) return {route.allows_anonymous, nullptr};
  return {true, tenants_.at(*owner)};
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
  const auto routes = by_host_.find(normalized_host(host));
  if (routes == by_host_.end()) return nullptr;
  const auto found =
      std::find_if(routes->second.begin(), routes->second.end(), [&](const Route* route) {
        return path.substr(0, route->path_prefix.size()) == route->path_prefix;
      });
  return found == routes->second.end() ? nullptr : *found;
}

const RelayedService* RouteTable::find_service(const ServiceName& name) const {
  const auto& services = configuration_.services;
  const auto found =
      std::find_if(services.begin(), services.end(),
                   [&](const RelayedService& service) { return service.name == name; });
  return found == services.end() ? nullptr : &*found;
}

const ServiceName& SplitChooser::choose(const Route& route) {
  if (route.split.size() == 1) return route.split.front().service;
  double total = 0;
  for (const SplitPart& part : route.split) total += part.weight;
  auto& credit = credit_[route.name];
  if (credit.size() != route.split.size()) {
    credit.assign(route.split.size(), 0);
    credit.front() = offset_ * total;
    credit.back() -= offset_ * total;
  }
  std::size_t best = 0;
  for (std::size_t i = 0; i < credit.size(); ++i) {
    credit[i] += route.split[i].weight;
    if (credit[i] > credit[best]) best = i;
  }
  credit[best] -= total;
  return route.split[best].service;
}

}  // namespace shuntbank::relay
