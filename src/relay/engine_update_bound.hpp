/// @file
/// How long a change of an engine takes from the store to all nodes of a large fleet.
#pragma once

#include "relay/exchange_settings.hpp"
#include "relay/relay_settings.hpp"
#include "store/kind_watch.hpp"

namespace shuntbank::relay {

/// A call to the store or another node and the transfer of some tens of kilobytes at 10 Mbit/s.
constexpr Duration kSmallCallAllowance = std::chrono::milliseconds(100);

/// @return an upper bound if no message is lost and the store answers: the reader's pause after a
/// batch and its call, the hint to all nodes, and a node's interval between requests to peers with
/// its call. Must stay below half of the time that a draining engine accepts requests.
inline Duration engine_update_bound(const CatalogSettings& catalog,
                                    const LoadExchangeSettings& exchange) {
  return store::KindWatchSettings{}.max_pause + kSmallCallAllowance +
         update_arrival_bound(exchange) + catalog.engine_fetch_interval +
         catalog.peer_fetch_spread + kSmallCallAllowance;
}

}  // namespace shuntbank::relay
