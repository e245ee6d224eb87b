#include "core/relay/stream_replicas.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "common/hash.hpp"

namespace shuntbank::relay {
namespace {

using Candidate = std::pair<std::uint64_t, const PeerRecords::value_type*>;

/// @return the highest-ranked node that is not in `taken` and, if any is left, not in `zones`.
const PeerRecords::value_type* next_replica(const std::vector<Candidate>& ranked,
                                            const std::set<NodeId>& taken,
                                            const std::set<ZoneName>& zones) {
  const PeerRecords::value_type* best = nullptr;
  bool best_in_new_zone = false;
  std::uint64_t best_rank = 0;
  for (const auto& [rank, node] : ranked) {
    if (taken.count(node->first) > 0) continue;
    const bool in_new_zone = zones.count(node->second.zone) == 0;
    const bool better =
        best == nullptr || std::pair(in_new_zone, rank) > std::pair(best_in_new_zone, best_rank);
    if (!better) continue;
    best = node;
    best_in_new_zone = in_new_zone;
    best_rank = rank;
  }
  return best;
}

}  // namespace

std::vector<NodeId> stream_replicas(const PeerRecords& nodes, StreamKey key, std::size_t count) {
  std::vector<Candidate> ranked;
  ranked.reserve(nodes.size());
  for (const auto& node : nodes) ranked.emplace_back(hash64(node.first.value(), key), &node);
  std::vector<NodeId> replicas;
  std::set<NodeId> taken;
  std::set<ZoneName> zones;
  while (replicas.size() < std::min(count, nodes.size())) {
    const auto* node = next_replica(ranked, taken, zones);
    replicas.push_back(node->first);
    taken.insert(node->first);
    zones.insert(node->second.zone);
  }
  return replicas;
}

}  // namespace shuntbank::relay
