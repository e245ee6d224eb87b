#include "core/relay/collector_selector.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/hash.hpp"

namespace shuntbank::relay {

std::vector<NodeId> collector_order(const PeerRecords& nodes, const ZoneName& zone) {
  std::vector<std::tuple<double, std::uint64_t, NodeId>> ranked;
  for (const auto& [node, record] : nodes) {
    if (record.zone != zone) continue;
    ranked.emplace_back(-record.capacity, hash64(node.value()), node);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<NodeId> order;
  order.reserve(ranked.size());
  for (auto& entry : ranked) order.push_back(std::move(std::get<NodeId>(entry)));
  return order;
}

void CollectorSelector::set_order(std::vector<NodeId> nodes) {
  this->order = std::move(nodes);
  const bool known = this->current && std::find(this->order.begin(), this->order.end(),
                                                *this->current) != this->order.end();
  if (!known) this->current.reset();
}

void CollectorSelector::on_view(MonotonicTime now, const NodeId& collector) {
  if (this->current == collector) this->last_view_at = now;
}

bool CollectorSelector::is_suspect(MonotonicTime now, const NodeId& node) const {
  const auto found = this->suspect_until.find(node);
  return found != this->suspect_until.end() && found->second > now;
}

std::optional<NodeId> CollectorSelector::poll(MonotonicTime now) {
  std::optional<NodeId> replaced;
  if (this->current && now - this->last_view_at > this->settings.view_timeout) {
    this->suspect_until[*this->current] = now + this->settings.suspect_duration;
    replaced = std::exchange(this->current, std::nullopt);
  }
  if (!this->current) this->select(now);
  return replaced;
}

void CollectorSelector::select(MonotonicTime now) {
  if (this->order.empty()) return;
  const auto responsive =
      std::find_if(this->order.begin(), this->order.end(),
                   [&](const NodeId& node) { return !this->is_suspect(now, node); });
  // If all are suspect, this node itself was probably partitioned or stalled.
  if (responsive == this->order.end()) this->suspect_until.clear();
  this->current = responsive == this->order.end() ? this->order.front() : *responsive;
  this->last_view_at = now;
}

std::vector<NodeId> CollectorSelector::report_targets(MonotonicTime now) const {
  std::vector<NodeId> nodes;
  if (!this->current) return nodes;
  nodes.push_back(*this->current);
  // Suspects fill up the list only after all others.
  for (const bool suspect : {false, true}) {
    for (const NodeId& node : this->order) {
      if (nodes.size() >= this->settings.report_count) return nodes;
      if (node != *this->current && this->is_suspect(now, node) == suspect) nodes.push_back(node);
    }
  }
  return nodes;
}

}  // namespace shuntbank::relay
