#include "relay/catalog_peers.hpp"

#include <utility>

#include "relay/fallback_timing.hpp"

namespace shuntbank::relay {

CatalogPeers::CatalogPeers(Runtime& runtime, Catalog& catalog, LoadExchange& exchange)
    : readers_timer(runtime, kReadersCheckInterval, [&catalog, &exchange] {
        catalog.use_peers(exchange.uses_zones());
        catalog.set_readers(exchange.store_readers());
      }) {
  exchange.connect_revisions(
      [&catalog] { return catalog.progress(); },
      [&catalog](const CatalogRevisions& revisions) { catalog.hint(revisions); });
  exchange.on_configuration_request(
      [&catalog](const ConfigurationCall& call) { return catalog.configuration_for_peer(call); });
  catalog.set_peer_fetch([&catalog, &exchange] {
    exchange.request_configuration(catalog.configuration_call(),
                                   [&catalog](ConfigurationMessage message) {
                                     catalog.apply_peer_configuration(std::move(message));
                                   });
  });
  EngineCatalog& engines = catalog.engines();
  exchange.on_engine_list_request(
      [&engines](const EngineListCall& call) { return engines.answer(call); });
  engines.set_peer_fetch(
      [&exchange](const EngineListCall& call, EngineCatalog::UpdateHandler handler) {
        exchange.request_engine_list(call, std::move(handler));
      });
}

}  // namespace shuntbank::relay
