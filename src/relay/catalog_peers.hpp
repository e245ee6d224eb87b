/// @file
/// Connects a node's catalog to the other nodes.
#pragma once

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "relay/catalog.hpp"
#include "relay/load_exchange.hpp"

namespace shuntbank::relay {

/// Passes store revisions and configurations between a catalog and the exchange until it is
/// destroyed.
class CatalogPeers {
 public:
  /// All references outlive this.
  CatalogPeers(Runtime& runtime, Catalog& catalog, LoadExchange& exchange);
  CatalogPeers(const CatalogPeers&) = delete;
  CatalogPeers& operator=(const CatalogPeers&) = delete;

 private:
  Periodic readers_timer;
};

}  // namespace shuntbank::relay
