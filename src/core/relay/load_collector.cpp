#include "core/relay/load_collector.hpp"

#include <utility>

namespace shuntbank::relay {

bool LoadCollector::on_member_load(MonotonicTime now, const NodeId& node, MemberLoad report) {
  Member& member = this->members[node];
  if (!report.number.follows(member.report.number)) return false;
  member = {now, std::move(report)};
  return true;
}

bool LoadCollector::on_zone_load(MonotonicTime now, const ZoneLoad& report) {
  SumsByCollector& sums = this->other_zone_sums[report.zone];
  Sum& sum = sums[report.collector];
  // Parts of one sum share its number.
  if (report.number != sum.number && !report.number.follows(sum.number)) return false;
  if (report.number.boot != sum.number.boot) sum.load.clear();
  sum.received_at = now;
  sum.number = report.number;
  sum.nodes = report.nodes;
  const LoadRange& part = report.part;
  if (part.first <= part.last) {
    sum.load.erase(sum.load.lower_bound(part.first), sum.load.upper_bound(part.last));
  }
  sum.load.insert(part.load.begin(), part.load.end());
  const SelectedSum source = this->select_sum(now, sums);
  return source && (*source)->first == report.collector;
}

void LoadCollector::expire(MonotonicTime now) {
  const auto expired = [&](const auto& entry) {
    return now - entry.second.received_at > this->settings.member_timeout;
  };
  std::erase_if(this->members, expired);
  for (auto& [zone, sums] : this->other_zone_sums) std::erase_if(sums, expired);
  std::erase_if(this->other_zone_sums, [](const auto& entry) { return entry.second.empty(); });
}

/// Prefers fresh sums, then the sum of the most nodes.
LoadCollector::SelectedSum LoadCollector::select_sum(MonotonicTime now,
                                                     const SumsByCollector& sums) const {
  SelectedSum best;
  const auto fresh = [&](const Sum& sum) {
    return now - sum.received_at <= this->settings.max_sum_age;
  };
  for (auto it = sums.begin(); it != sums.end(); ++it) {
    const auto rank = [&](const Sum& sum) { return std::pair(fresh(sum), sum.nodes); };
    if (!best || rank(it->second) > rank((*best)->second)) best = it;
  }
  return best;
}

LoadByKey LoadCollector::zone_load() const {
  LoadByKey sum;
  for (const auto& [node, member] : this->members) add_load(sum, member.report.load);
  return sum;
}

std::vector<const LoadCollector::Sum*> LoadCollector::selected_sums(MonotonicTime now) const {
  std::vector<const Sum*> sums;
  for (const auto& [zone, by_collector] : this->other_zone_sums) {
    if (const SelectedSum source = this->select_sum(now, by_collector))
      sums.push_back(&(*source)->second);
  }
  return sums;
}

std::size_t LoadCollector::fleet_nodes(MonotonicTime now) const {
  std::size_t nodes = this->members.size();
  for (const Sum* other : this->selected_sums(now)) nodes += other->nodes;
  return nodes;
}

LoadByKey LoadCollector::fleet_load(MonotonicTime now) const {
  LoadByKey sum = this->zone_load();
  for (const Sum* other : this->selected_sums(now)) add_load(sum, other->load);
  return sum;
}

std::vector<Subscriber> LoadCollector::subscribers() const {
  std::vector<Subscriber> nodes;
  for (const auto& [node, member] : this->members) {
    if (member.report.wants_view) nodes.push_back({node, member.report.number.sequence});
  }
  return nodes;
}

std::vector<NodeId> LoadCollector::active_collectors(MonotonicTime now,
                                                     const ZoneName& zone) const {
  std::vector<NodeId> nodes;
  const auto found = this->other_zone_sums.find(zone);
  if (found == this->other_zone_sums.end()) return nodes;
  for (const auto& [collector, sum] : found->second) {
    if (now - sum.received_at <= this->settings.max_sum_age) nodes.push_back(collector);
  }
  return nodes;
}

}  // namespace shuntbank::relay
