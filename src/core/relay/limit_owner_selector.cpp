#include "core/relay/limit_owner_selector.hpp"

#include <algorithm>
#include <utility>

#include "common/hash.hpp"

namespace shuntbank::relay {
namespace {

/// Candidates per limit; bounds how many listed nodes may be down at once.
constexpr std::size_t kMaxOwnerCandidates = 64;

/// Cached rankings; recomputing one takes some microseconds per node.
constexpr std::size_t kMaxCachedRankings = 1024;

}  // namespace

void LimitOwnerSelector::set_nodes(std::vector<NodeId> all) {
  std::sort(all.begin(), all.end());
  if (all == this->nodes) return;
  this->nodes = std::move(all);
  this->rankings.clear();
}

const std::vector<NodeId>& LimitOwnerSelector::ranking(const std::string& limit) {
  if (this->rankings.size() >= kMaxCachedRankings) this->rankings.clear();
  const auto [entry, added] = this->rankings.try_emplace(limit);
  if (!added) return entry->second;
  std::vector<std::pair<std::uint64_t, NodeId>> ranked;
  ranked.reserve(this->nodes.size());
  for (const NodeId& node : this->nodes) {
    ranked.emplace_back(hash64(node.value(), hash64(limit)), node);
  }
  const auto candidates =
      ranked.begin() + static_cast<std::ptrdiff_t>(std::min(ranked.size(), kMaxOwnerCandidates));
  std::partial_sort(ranked.begin(), candidates, ranked.end());
  for (auto it = ranked.begin(); it != candidates; ++it) {
    entry->second.push_back(std::move(it->second));
  }
  return entry->second;
}

bool LimitOwnerSelector::is_unresponsive(MonotonicTime now, const NodeId& node) const {
  const auto found = this->pending_replies.find(node);
  return found != this->pending_replies.end() &&
         now - found->second.unanswered_since > kOwnerTimeout;
}

std::optional<NodeId> LimitOwnerSelector::owner(MonotonicTime now, const std::string& limit) {
  for (const NodeId& node : this->ranking(limit)) {
    if (node == this->self || !this->is_unresponsive(now, node)) return node;
  }
  return std::nullopt;
}

bool LimitOwnerSelector::is_preferred_owner(const std::string& limit) {
  const std::vector<NodeId>& ranked = this->ranking(limit);
  return ranked.empty() || ranked.front() == this->self;
}

void LimitOwnerSelector::on_request_sent(MonotonicTime now, const NodeId& node) {
  const auto [pending, added] = this->pending_replies.try_emplace(node, PendingReply{now, now});
  pending->second.last_sent_at = now;
}

std::vector<NodeId> LimitOwnerSelector::nodes_to_probe(MonotonicTime now,
                                                       const std::string& limit) {
  std::vector<NodeId> due;
  if (this->pending_replies.empty()) return due;
  for (const NodeId& node : this->ranking(limit)) {
    if (node == this->self) break;
    const auto pending = this->pending_replies.find(node);
    const bool unresponsive = this->is_unresponsive(now, node);
    const Duration interval = unresponsive ? kSilentNodeProbeInterval : kOwnerProbeInterval;
    const bool is_due =
        pending != this->pending_replies.end() && now - pending->second.last_sent_at >= interval;
    if (is_due) due.push_back(node);
    if (!unresponsive) break;
  }
  return due;
}

}  // namespace shuntbank::relay
