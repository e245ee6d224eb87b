#include "core/relay/load_collector.hpp"

#include <utility>

namespace shuntbank::relay {

bool LoadCollector::on_member(MonotonicTime now, const NodeId& node, MemberLoad told) {
  Member& member = this->members[node];
  if (!told.number.follows(member.told.number)) return false;
  member = {now, std::move(told)};
  return true;
}

bool LoadCollector::on_zone(MonotonicTime now, const ZoneLoad& told) {
  SumsByCollector& sums = this->zones[told.zone];
  Sum& sum = sums[told.collector];
  // Parts of one sum share its number.
  if (told.number != sum.number && !told.number.follows(sum.number)) return false;
  if (told.number.boot != sum.number.boot) sum.load.clear();
  sum.heard_at = now;
  sum.number = told.number;
  sum.nodes = told.nodes;
  sum.load.erase(sum.load.lower_bound(told.part.first), sum.load.upper_bound(told.part.last));
  sum.load.insert(told.part.load.begin(), told.part.load.end());
  const ChosenSum source = this->chosen(now, sums);
  return source && (*source)->first == told.collector;
}

void LoadCollector::expire(MonotonicTime now) {
  const auto silent = [&](const auto& entry) {
    return now - entry.second.heard_at > this->settings.member_life;
  };
  std::erase_if(this->members, silent);
  for (auto& [zone, sums] : this->zones) std::erase_if(sums, silent);
  std::erase_if(this->zones, [](const auto& entry) { return entry.second.empty(); });
}

/// Of the collectors of one zone that are heard now, the one that knows most nodes.
LoadCollector::ChosenSum LoadCollector::chosen(MonotonicTime now,
                                               const SumsByCollector& sums) const {
  ChosenSum best;
  const auto fresh = [&](const Sum& sum) { return now - sum.heard_at <= this->settings.fresh_sum; };
  for (auto it = sums.begin(); it != sums.end(); ++it) {
    const auto rank = [&](const Sum& sum) { return std::pair(fresh(sum), sum.nodes); };
    if (!best || rank(it->second) > rank((*best)->second)) best = it;
  }
  return best;
}

LoadByKey LoadCollector::zone_load() const {
  LoadByKey sum;
  for (const auto& [node, member] : this->members) add_load(sum, member.told.load);
  return sum;
}

std::vector<const LoadCollector::Sum*> LoadCollector::taken(MonotonicTime now) const {
  std::vector<const Sum*> sums;
  for (const auto& [zone, by_collector] : this->zones) {
    if (const ChosenSum source = this->chosen(now, by_collector))
      sums.push_back(&(*source)->second);
  }
  return sums;
}

std::size_t LoadCollector::fleet_nodes(MonotonicTime now) const {
  std::size_t nodes = this->members.size();
  for (const Sum* other : this->taken(now)) nodes += other->nodes;
  return nodes;
}

LoadByKey LoadCollector::fleet_load(MonotonicTime now) const {
  LoadByKey sum = this->zone_load();
  for (const Sum* other : this->taken(now)) add_load(sum, other->load);
  return sum;
}

std::vector<Subscriber> LoadCollector::subscribers() const {
  std::vector<Subscriber> nodes;
  for (const auto& [node, member] : this->members) {
    if (member.told.wants_view) nodes.push_back({node, member.told.number.sequence});
  }
  return nodes;
}

std::vector<NodeId> LoadCollector::heard_of(MonotonicTime now, const ZoneName& zone) const {
  std::vector<NodeId> nodes;
  const auto found = this->zones.find(zone);
  if (found == this->zones.end()) return nodes;
  for (const auto& [collector, sum] : found->second) {
    if (now - sum.heard_at <= this->settings.fresh_sum) nodes.push_back(collector);
  }
  return nodes;
}

}  // namespace shuntbank::relay
