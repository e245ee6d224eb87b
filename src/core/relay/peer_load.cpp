#include "core/relay/peer_load.hpp"

#include <algorithm>

namespace shuntbank::relay {

PeerLoad& PeerLoad::operator+=(const PeerLoad& more) {
  in_flight += more.in_flight;
  prefill_tokens += more.prefill_tokens;
  deferred_tokens += more.deferred_tokens;
  return *this;
}

PeerLoad& PeerLoad::operator-=(const PeerLoad& less) {
  in_flight -= std::min(in_flight, less.in_flight);
  prefill_tokens -= std::min(prefill_tokens, less.prefill_tokens);
  deferred_tokens -= std::min(deferred_tokens, less.deferred_tokens);
  return *this;
}

void add_load(LoadByKey& sum, const LoadByKey& more) {
  for (const auto& [key, work] : more) sum[key] += work;
}

}  // namespace shuntbank::relay
