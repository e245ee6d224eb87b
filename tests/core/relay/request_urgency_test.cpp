#include "core/relay/request_urgency.hpp"

#include <criterion/criterion.h>

#include <sstream>

using namespace shuntbank;
using namespace shuntbank::relay;

namespace {

/// A request of a service with two kinds, with an objective of 500 ms.
UrgencyQuery request(int priority, double slack_ms) {
  UrgencyQuery query;
  query.priority = priority;
  query.kinds = {2, 0};
  query.objective_ms = 500;
  query.own_work_ms = 100;
  query.time_left_ms = query.own_work_ms + slack_ms;
  return query;
}

}  // namespace

// Guards against a long prompt that misses its objective behind short ones that could wait.
Test(request_urgency, puts_a_request_with_little_slack_first) {
  UrgencyQuery tight = request(4, 50);
  tight.prefill_only = true;
  UrgencyQuery ample = request(0, 400);
  ample.prefill_only = true;
  cr_assert_lt(request_urgency(tight), request_urgency(ample));
}

Test(request_urgency, keeps_the_order_of_kinds_that_can_be_in_time) {
  for (int priority = 0; priority < 7; ++priority) {
    cr_assert_lt(request_urgency(request(priority, 400)),
                 request_urgency(request(priority + 1, 400)));
  }
}

// Guards against requests that have missed their objective and delay others that have not.
Test(request_urgency, puts_what_cannot_be_in_time_last) {
  cr_assert_eq(request_urgency(request(0, -1)), kLeastUrgent);
  UrgencyQuery deferred = request(0, 400);
  deferred.deferred = true;
  cr_assert_eq(request_urgency(deferred), kLeastUrgent);
  cr_assert_lt(request_urgency(request(1000, 400)), kLeastUrgent);
}

// Guards against a kind of little value that displaces running streams of a more valuable one when
// the memory of a decode engine runs out.
Test(request_urgency, does_not_come_before_a_more_urgent_kind_at_a_decode_engine) {
  cr_assert_eq(request_urgency(request(4, 50)), request_urgency(request(0, 400)));
  cr_assert_lt(request_urgency(request(4, 50)), request_urgency(request(4, 400)));
  cr_assert_lt(request_urgency(request(0, 50)), request_urgency(request(0, 400)));
}

Test(request_urgency, is_monotone) {
  for (const bool prefill_only : {false, true}) {
    for (int priority = -2; priority <= 12; ++priority) {
      for (double slack_ms = 0; slack_ms <= 500; slack_ms += 10) {
        UrgencyQuery query = request(priority, slack_ms);
        query.kinds.most_urgent = 1;
        query.prefill_only = prefill_only;
        UrgencyQuery less_slack = query;
        less_slack.time_left_ms -= std::min(slack_ms, 10.0);
        cr_assert_leq(request_urgency(less_slack), request_urgency(query));
        UrgencyQuery less_urgent = query;
        ++less_urgent.priority;
        cr_assert_leq(request_urgency(query), request_urgency(less_urgent));
      }
    }
  }
}

Test(request_urgency, follows_the_priority_alone_where_slack_does_not_apply) {
  for (int priority = -1; priority <= 12; ++priority) {
    const int expected = priority < 0 ? 0 : priority > 8 ? 8 : priority;
    for (const double slack_ms : {-50.0, 50.0, 400.0}) {
      UrgencyQuery single = request(priority, slack_ms);
      single.kinds.count = 1;
      cr_assert_eq(request_urgency(single), expected);
      UrgencyQuery no_objective = request(priority, slack_ms);
      no_objective.objective_ms = 0;
      cr_assert_eq(request_urgency(no_objective), expected);
      UrgencyQuery switched_off = request(priority, slack_ms);
      switched_off.order = RequestOrder::kPriority;
      cr_assert_eq(request_urgency(switched_off), expected);
    }
  }
}

Test(request_urgency, reads_and_writes_the_order) {
  RequestOrder order = RequestOrder::kSlack;
  std::istringstream("priority") >> order;
  cr_assert(order == RequestOrder::kPriority);
  std::ostringstream text;
  text << RequestOrder::kSlack;
  cr_assert_eq(text.str(), "slack");
  std::istringstream unknown("length");
  unknown >> order;
  cr_assert(unknown.fail());
}
