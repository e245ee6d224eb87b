#include "core/relay/stream_replicas.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "common/hash.hpp"

namespace shuntbank::relay {
namespace {

/// Highest-ranked nodes among which zones are told apart.
constexpr std::size_t kMaxCandidates = 32;

using Candidate = std::pair<std::uint64_t, const PeerRecords::value_type*>;

std::vector<Candidate> highest_ranked(const PeerRecords& nodes, StreamKey key) {
  std::vector<Candidate> ranked;
  ranked.reserve(nodes.size());
  for (const auto& node : nodes) ranked.emplace_back(hash64(node.first.value(), key), &node);
  const std::size_t kept = std::min(kMaxCandidates, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(ranked.begin(), end, ranked.end(),
                    [](const auto& left, const auto& right) { return left.first > right.first; });
  ranked.resize(kept);
  return ranked;
}

}  // namespace

std::vector<NodeId> stream_replicas(const PeerRecords& nodes, StreamKey key, std::size_t count) {
  const std::vector<Candidate> candidates = highest_ranked(nodes, key);
  std::set<ZoneName> zones;
  std::vector<NodeId> replicas;
  std::vector<NodeId> others;
  for (const auto& [rank, node] : candidates) {
    const bool new_zone = zones.insert(node->second.zone).second;
    (new_zone ? replicas : others).push_back(node->first);
  }
  replicas.insert(replicas.end(), others.begin(), others.end());
  replicas.resize(std::min(count, replicas.size()));
  return replicas;
}

}  // namespace shuntbank::relay
