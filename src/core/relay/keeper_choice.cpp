#include "core/relay/keeper_choice.hpp"

#include <algorithm>
#include <utility>

#include "common/hash.hpp"

namespace shuntbank::relay {
namespace {

/// Nodes that may keep an engine's limit: of those that are listed so many may be gone at once.
constexpr std::size_t kMostKeepers = 64;

/// Engines whose order is remembered; an order is made anew in some microseconds a node.
constexpr std::size_t kMostOrders = 1024;

}  // namespace

void KeeperChoice::set_nodes(std::vector<NodeId> all) {
  std::sort(all.begin(), all.end());
  if (all == this->nodes) return;
  this->nodes = std::move(all);
  this->orders.clear();
}

const std::vector<NodeId>& KeeperChoice::order(const EngineId& engine) {
  if (this->orders.size() >= kMostOrders) this->orders.clear();
  const auto [entry, added] = this->orders.try_emplace(engine);
  if (!added) return entry->second;
  std::vector<std::pair<std::uint64_t, NodeId>> ranked;
  ranked.reserve(this->nodes.size());
  for (const NodeId& node : this->nodes) {
    ranked.emplace_back(hash64(node.value(), hash64(engine.value())), node);
  }
  std::sort(ranked.begin(), ranked.end());
  for (auto& [rank, node] : ranked) {
    if (entry->second.size() >= kMostKeepers) break;
    entry->second.push_back(std::move(node));
  }
  return entry->second;
}

bool KeeperChoice::silent(MonotonicTime now, const NodeId& node) const {
  const auto found = this->contacts.find(node);
  return found != this->contacts.end() && now - found->second.unanswered_since > kKeeperSilence;
}

std::optional<NodeId> KeeperChoice::keeper(MonotonicTime now, const EngineId& engine) {
  for (const NodeId& node : this->order(engine)) {
    if (node == this->self || !this->silent(now, node)) return node;
  }
  return std::nullopt;
}

bool KeeperChoice::is_first(const EngineId& engine) {
  const std::vector<NodeId>& ranked = this->order(engine);
  return ranked.empty() || ranked.front() == this->self;
}

void KeeperChoice::on_asked(MonotonicTime now, const NodeId& node) {
  const auto [contact, added] = this->contacts.try_emplace(node, Contact{now, now});
  contact->second.asked_at = now;
}

std::vector<NodeId> KeeperChoice::to_ask(MonotonicTime now, const EngineId& engine) {
  std::vector<NodeId> asked;
  for (const NodeId& node : this->order(engine)) {
    if (node == this->self) break;
    const auto contact = this->contacts.find(node);
    const bool passed_over = this->silent(now, node);
    const Duration pause = passed_over ? kAskSilentAgain : kAskKeeperAgain;
    const bool waits = contact != this->contacts.end() && now - contact->second.asked_at >= pause;
    if (waits) asked.push_back(node);
    if (!passed_over) break;
  }
  return asked;
}

}  // namespace shuntbank::relay
