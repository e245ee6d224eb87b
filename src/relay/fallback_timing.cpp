#include "relay/fallback_timing.hpp"

#include <algorithm>

#include "relay/engine_update_bound.hpp"

namespace shuntbank::relay {
namespace {

/// From the end of a wait until the node has read the change from the store: the check of the
/// readers, and a call that may connect first.
constexpr Duration kReadTime = kReadersCheckInterval + 2 * kSmallCallAllowance;

/// Kept free for nodes that are slow to run their timers.
constexpr Duration kReserve = std::chrono::milliseconds(200);

/// Share of the time that the fleet may take to read the store one node after another.
constexpr std::int64_t kSpreadDivisor = 3;

/// Fetching a change from another node takes up to this long after the hint, so that nodes which
/// wait for less would read the store at each change.
Duration peer_fetch_time(const CatalogSettings& catalog) {
  return catalog.engine_fetch_interval + catalog.peer_fetch_spread + kSmallCallAllowance;
}

Duration time_to_wait(const CatalogSettings& catalog) {
  return std::max(catalog.drain_time - kReadTime - kReserve, Duration::zero());
}

/// @return how much later the last node of the fleet falls back than the first.
Duration fleet_spread(const CatalogSettings& catalog, std::size_t nodes) {
  return std::min(catalog.peer_timeout_per_node * static_cast<std::int64_t>(nodes),
                  time_to_wait(catalog) / kSpreadDivisor);
}

}  // namespace

FallbackTiming fallback_timing(const CatalogSettings& catalog, const Fleet& fleet) {
  const Duration spread = fleet_spread(catalog, fleet.nodes);
  const Duration own_delay = spread * static_cast<std::int64_t>(fleet.rank) /
                             static_cast<std::int64_t>(std::max<std::size_t>(fleet.nodes, 1));
  const Duration wait = time_to_wait(catalog) - spread;
  const Duration reader_timeout = std::min(catalog.peer_reader_timeout, wait);
  const Duration change_timeout =
      std::clamp(wait - hint_bound(LoadExchangeSettings{}), peer_fetch_time(catalog),
                 std::max(catalog.peer_change_timeout, peer_fetch_time(catalog)));
  FallbackTiming timing;
  timing.reader_wait = std::min(catalog.reader_wait, reader_timeout / 2);
  timing.reader_timeout = reader_timeout + own_delay;
  timing.change_timeout = change_timeout + own_delay;
  return timing;
}

Duration fallback_bound(const CatalogSettings& catalog, std::size_t nodes) {
  return fallback_timing(catalog, {nodes, nodes}).reader_timeout + kReadTime;
}

}  // namespace shuntbank::relay
