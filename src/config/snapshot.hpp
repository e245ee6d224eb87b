/// @file
/// An immutable, validated configuration, indexed for request serving.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/findings.hpp"
#include "common/identifiers.hpp"
#include "config/document.hpp"
#include "config/key_index.hpp"
#include "config/objects.hpp"

namespace shuntbank {

/// The service, model and adapter that a model name resolves to.
struct ModelRoute {
  ServiceName service;
  ModelSpec model;
  std::string adapter;  ///< Empty for the base model.
};

/// A validated configuration at one revision. Immutable, and shared between requests.
class Snapshot {
 public:
  /// Validates the document as a whole.
  /// @return the snapshot, or every finding with its place.
  static tl::expected<std::shared_ptr<const Snapshot>, Findings> build(
      const ConfigDocument& document);

  Revision revision() const { return revision_; }
  const std::map<EngineId, Engine>& engines() const { return engines_; }
  const std::map<ServiceName, Service>& services() const { return services_; }
  const std::map<TenantName, Tenant>& tenants() const { return tenants_; }
  const std::vector<Policy>& policies() const { return policies_; }

  /// @return the service, or null.
  const Service* find_service(const ServiceName& name) const;

  /// @return the engine, or null.
  const Engine* find_engine(const EngineId& name) const;

  /// @return the engines that the service selects; empty when the service is unknown.
  const std::vector<EngineId>& engines_of(const ServiceName& service) const;

  /// @return the route of a model or `model:adapter` name, or null.
  const ModelRoute* find_model(const std::string& name) const;

  /// Finds the owner of a presented key. Hashes are compared in constant time.
  /// @param unix_seconds the current time, for expiry.
  /// @return the tenant, or null.
  const Tenant* authenticate(const std::string& key, std::int64_t unix_seconds) const;

  /// @return the highest-priority policy that selects both, or the default policy.
  const Policy& policy_for(const Tenant& tenant, const ServiceName& service) const;

 private:
  Snapshot() = default;
  void add(const ObjectKey& key, const StoredObject& object, Findings& findings);
  void index(Findings& findings);
  void index_models(const Service& service, Findings& findings);
  void index_keys(Findings& findings);

  Revision revision_ = 0;
  std::map<EngineId, Engine> engines_;
  std::map<ServiceName, Service> services_;
  std::map<TenantName, Tenant> tenants_;
  std::vector<Policy> policies_;
  std::map<ServiceName, std::vector<EngineId>> engines_of_;
  std::map<std::string, ModelRoute> models_;
  KeyIndex keys_;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

}  // namespace shuntbank
