#include "core/relay/request_urgency.hpp"

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <string>
#include <utility>

namespace shuntbank::relay {
namespace {

constexpr std::array<std::pair<RequestOrder, const char*>, 2> kOrders{
    {{RequestOrder::kPriority, "priority"}, {RequestOrder::kSlack, "slack"}}};

/// Share of the objective; with less slack a request goes first. Twice the share that dispatch
/// plans keep back (`PrefillSettings::in_time_share`), plus the wait behind one usual prompt.
constexpr double kTightShare = 0.3;

/// The least urgent value of a request that is not deferred.
constexpr int kLeastInTime = kLeastUrgent - 1;

int by_priority(int priority) {
  return std::clamp(priority, kMostUrgent, kLeastInTime);
}

/// With the order by slack, the most urgent value is left to requests with little slack.
int with_slack(int priority) {
  return std::min(by_priority(priority) + 1, kLeastInTime);
}

/// A request at a decode engine keeps its urgency while it streams, and may displace running
/// streams that are less urgent. It therefore does not come before those of a more urgent kind.
int with_little_slack(const UrgencyQuery& query) {
  const int most_urgent = std::min(query.priority, query.kinds.most_urgent);
  const bool of_most_urgent_kind = by_priority(query.priority) == by_priority(most_urgent);
  return query.prefill_only || of_most_urgent_kind ? kMostUrgent : with_slack(most_urgent);
}

}  // namespace

std::istream& operator>>(std::istream& in, RequestOrder& order) {
  std::string name;
  in >> name;
  for (const auto& [known, text] : kOrders) {
    if (name != text) continue;
    order = known;
    return in;
  }
  in.setstate(std::ios::failbit);
  return in;
}

std::ostream& operator<<(std::ostream& out, RequestOrder order) {
  for (const auto& [known, text] : kOrders) {
    if (known == order) return out << text;
  }
  return out;
}

int request_urgency(const UrgencyQuery& query) {
  const int late = query.before_other_late ? kLeastInTime : kLeastUrgent;
  if (query.deferred) return late;
  const bool by_slack = query.order == RequestOrder::kSlack && query.kinds.count > 1;
  if (!by_slack || query.objective_ms <= 0) return by_priority(query.priority);
  const double slack_ms = query.time_left_ms - query.own_work_ms;
  if (slack_ms < 0) return late;
  if (slack_ms < kTightShare * query.objective_ms) return with_little_slack(query);
  return with_slack(query.priority);
}

}  // namespace shuntbank::relay
