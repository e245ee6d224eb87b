#include "config/snapshot.hpp"

#include <algorithm>

#include "config/object_codec.hpp"

namespace shuntbank {
namespace {

const std::vector<EngineId> kNoEngines;
const Policy kDefaultPolicy;

}  // namespace

tl::expected<std::shared_ptr<const Snapshot>, Findings> Snapshot::build(
    const ConfigDocument& document) {
  Findings findings;
  std::shared_ptr<Snapshot> snapshot(new Snapshot());
  snapshot->revision_ = document.revision;
  for (const auto& [key, object] : document.objects) {
    if (!object.removed) snapshot->add(key, object, findings);
  }
  snapshot->index(findings);
  if (!findings.empty()) return tl::make_unexpected(findings);
  return snapshot;
}

void Snapshot::add(const ObjectKey& key, const StoredObject& stored, Findings& findings) {
  DeclaredObject object = read_object(key.kind, key.name, stored.spec, key.to_text(), findings);
  switch (key.kind) {
    case ObjectKind::kEngine:
      engines_.emplace(EngineId(key.name), std::get<Engine>(std::move(object)));
      break;
    case ObjectKind::kService:
      services_.emplace(ServiceName(key.name), std::get<Service>(std::move(object)));
      break;
    case ObjectKind::kTenant:
      tenants_.emplace(TenantName(key.name), std::get<Tenant>(std::move(object)));
      break;
    case ObjectKind::kPolicy:
      policies_.push_back(std::get<Policy>(std::move(object)));
      break;
  }
}

void Snapshot::index(Findings& findings) {
  std::map<std::string, EngineId> address_owners;
  std::map<EngineId, ServiceName> engine_owners;
  for (const auto& [name, engine] : engines_) {
    const auto [owner, added] = address_owners.emplace(engine.address, name);
    if (!added) {
      findings.add("Engine/" + name.value() + "/address",
                   "is also the address of Engine/" + owner->second.value());
    }
  }
  for (const auto& [name, service] : services_) {
    std::vector<EngineId>& selected = engines_of_[name];
    for (const auto& [engine_name, engine] : engines_) {
      if (!service.engine_selector.matches(engine.labels)) continue;
      selected.push_back(engine_name);
      const auto [owner, added] = engine_owners.emplace(engine_name, name);
      if (!added) {
        findings.add("Service/" + name.value() + "/engine_selector",
                     "selects Engine/" + engine_name.value() + ", which Service/" +
                         owner->second.value() + " selects too");
      }
    }
    index_models(service, findings);
  }
  index_keys(findings);
  std::stable_sort(policies_.begin(), policies_.end(),
                   [](const Policy& a, const Policy& b) { return a.priority > b.priority; });
}

void Snapshot::index_models(const Service& service, Findings& findings) {
  const auto add_route = [&](const std::string& name, ModelRoute route) {
    const auto [owner, added] = models_.emplace(name, std::move(route));
    if (!added) {
      findings.add("Service/" + service.name.value() + "/models",
                   "'" + name + "' is also served by Service/" + owner->second.service.value());
    }
  };
  for (const ModelSpec& model : service.models) {
    add_route(model.name, {service.name, model, ""});
    for (const std::string& adapter : model.adapters) {
      add_route(model.name + ":" + adapter, {service.name, model, adapter});
    }
  }
}

void Snapshot::index_keys(Findings& findings) {
  for (const auto& [name, tenant] : tenants_) {
    for (const TenantKey& key : tenant.keys) {
      if (keys_.add(name, key)) continue;
      findings.add("Tenant/" + name.value() + "/keys", "holds a key that is in use");
    }
  }
}

const Service* Snapshot::find_service(const ServiceName& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

const Engine* Snapshot::find_engine(const EngineId& name) const {
  const auto found = engines_.find(name);
  return found == engines_.end() ? nullptr : &found->second;
}

const std::vector<EngineId>& Snapshot::engines_of(const ServiceName& service) const {
  const auto found = engines_of_.find(service);
  return found == engines_of_.end() ? kNoEngines : found->second;
}

const ModelRoute* Snapshot::find_model(const std::string& name) const {
  const auto found = models_.find(name);
  return found == models_.end() ? nullptr : &found->second;
}

const Tenant* Snapshot::authenticate(const std::string& key, std::int64_t unix_seconds) const {
  const TenantName* owner = keys_.find(key, unix_seconds);
  return owner == nullptr ? nullptr : &tenants_.at(*owner);
}

const Policy& Snapshot::policy_for(const Tenant& tenant, const ServiceName& service) const {
  const Labels service_labels{{"service", service.value()}};
  for (const Policy& policy : policies_) {
    const bool selected = policy.tenant_selector.matches(tenant.labels) &&
                          policy.service_selector.matches(service_labels);
    if (selected) return policy;
  }
  return kDefaultPolicy;
}

}  // namespace shuntbank
