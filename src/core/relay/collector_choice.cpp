#include "core/relay/collector_choice.hpp"

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

void CollectorChoice::set_order(std::vector<NodeId> nodes) {
  this->order = std::move(nodes);
  const bool known = this->chosen && std::find(this->order.begin(), this->order.end(),
                                               *this->chosen) != this->order.end();
  if (!known) this->chosen.reset();
}

void CollectorChoice::on_view(MonotonicTime now, const NodeId& collector) {
  if (this->chosen == collector) this->heard_at = now;
}

bool CollectorChoice::suspected(MonotonicTime now, const NodeId& node) const {
  const auto found = this->suspected_until.find(node);
  return found != this->suspected_until.end() && found->second > now;
}

std::optional<NodeId> CollectorChoice::poll(MonotonicTime now) {
  std::optional<NodeId> given_up;
  if (this->chosen && now - this->heard_at > this->settings.silence) {
    this->suspected_until[*this->chosen] = now + this->settings.suspicion;
    given_up = std::exchange(this->chosen, std::nullopt);
  }
  if (!this->chosen) this->choose(now);
  return given_up;
}

void CollectorChoice::choose(MonotonicTime now) {
  if (this->order.empty()) return;
  const auto sound = std::find_if(this->order.begin(), this->order.end(),
                                  [&](const NodeId& node) { return !this->suspected(now, node); });
  // Where all are suspected, it is rather this node that was cut off or stood still.
  if (sound == this->order.end()) this->suspected_until.clear();
  this->chosen = sound == this->order.end() ? this->order.front() : *sound;
  this->heard_at = now;
}

std::vector<NodeId> CollectorChoice::told(MonotonicTime now) const {
  std::vector<NodeId> nodes;
  if (!this->chosen) return nodes;
  nodes.push_back(*this->chosen);
  // Suspected ones only where no others are left: they may be back.
  for (const bool suspects : {false, true}) {
    for (const NodeId& node : this->order) {
      if (nodes.size() >= this->settings.told) return nodes;
      if (node != *this->chosen && this->suspected(now, node) == suspects) nodes.push_back(node);
    }
  }
  return nodes;
}

}  // namespace shuntbank::relay
