/// @file
/// Urgency of a request, as sent to engines. They admit more urgent requests first, and displace
/// running ones that are less urgent when their memory runs out.
#pragma once

#include <iosfwd>

namespace shuntbank::relay {

constexpr int kMostUrgent = 0;
constexpr int kLeastUrgent = 9;

/// What the urgency of requests follows from.
enum class RequestOrder {
  kPriority,  ///< The priority of the route or tenant alone.
  kSlack,     ///< Also the time that is left to the objective.
};

/// Reads and writes the names `priority` and `slack`.
std::istream& operator>>(std::istream& in, RequestOrder& order);
std::ostream& operator<<(std::ostream& out, RequestOrder order);

/// The kinds of requests of one service. Routes with equal priority and objective are one kind.
struct ServiceKinds {
  int count = 0;
  int most_urgent = 0;  ///< Lowest priority number of routes and tenants.
};

/// Input of `request_urgency`.
struct UrgencyQuery {
  RequestOrder order = RequestOrder::kSlack;
  int priority = 0;  ///< Of the tenant or route; 0 is the most urgent.
  ServiceKinds kinds;
  bool deferred = false;  ///< Planned not to meet its objective.
  /// Among those that cannot be in time, it comes before the others.
  bool before_other_late = false;
  bool prefill_only = false;  ///< Sent to a prefill engine, where no streams run.
  double objective_ms = 0;    ///< Zero: none.
  double time_left_ms = 0;    ///< To the objective; may be negative.
  double own_work_ms = 0;     ///< Expected until the first token, without waiting for others.
};

/// Requests whose slack is a small share of their objective come first, then the others by
/// priority, then those that cannot be in time. A service with one kind of requests, or requests
/// without an objective, are ordered by priority alone.
/// @return from `kMostUrgent` to `kLeastUrgent`. With less slack or a lower priority number a
/// request that can be in time is never less urgent.
int request_urgency(const UrgencyQuery& query);

}  // namespace shuntbank::relay
