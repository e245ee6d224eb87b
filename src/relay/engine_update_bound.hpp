/// @file
/// How long a change of an engine takes from the store to all nodes.
#pragma once

#include "relay/exchange_settings.hpp"
#include "relay/relay_settings.hpp"
#include "store/kind_watch.hpp"

namespace shuntbank::relay {

/// A call to the store or another node and the transfer of some tens of kilobytes at 10 Mbit/s.
constexpr Duration kSmallCallAllowance = std::chrono::milliseconds(100);

/// @return an upper bound, if no message is lost, until all nodes have heard that there is a
/// change: the pause of a node's watch after a batch, its call, and the hint to all nodes.
inline Duration hint_bound(const LoadExchangeSettings& exchange) {
  return store::KindWatchSettings{}.max_pause + kSmallCallAllowance +
         update_arrival_bound(exchange);
}

/// @return an upper bound in a large fleet if the store answers: until all nodes have the hint, and
/// a node's interval between requests to peers with its call. Must stay below half of the time that
/// a draining engine accepts requests.
inline Duration engine_update_bound(const CatalogSettings& catalog,
                                    const LoadExchangeSettings& exchange) {
  return hint_bound(exchange) + catalog.engine_fetch_interval + catalog.peer_fetch_spread +
         kSmallCallAllowance;
}

/// @return an upper bound where each node watches the store, from when the store answers all nodes
/// again: their calls may have been lost until then. Must stay below the time that a draining
/// engine accepts requests.
inline Duration hinted_update_bound(const LoadExchangeSettings& exchange) {
  return hint_bound(exchange) + store::KindWatchSettings{}.hint_grace + kSmallCallAllowance;
}

}  // namespace shuntbank::relay
