#include "core/relay/admission.hpp"

#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <vector>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};
const ServiceName kService("model");
constexpr const char* kRoute = "chat";

/// A request that can't be answered in time because all slots are taken.
AdmissionQuery unservable_query() {
  AdmissionQuery query;
  query.expected = 4s;
  query.own_work = 100ms;
  query.late = true;
  query.time_to_objective = 500ms;
  query.time_left = 2s;
  query.occupancy = {16, 16, 30};
  return query;
}

AdmissionAction action_of(const AdmissionQuery& query) {
  AdmissionControl control;
  return control.decide(kNow, kService, kRoute, query).action;
}

ReturnQuery refused_caller(Duration time_left = 3s) {
  ReturnQuery query;
  query.time_left = time_left;
  query.slot_expected = 100ms;
  return query;
}

EngineRecord engine_record(const std::string& id) {
  EngineRecord record;
  record.id = EngineId(id);
  record.service = kService;
  record.slots = 4;
  return record;
}

}  // namespace

Test(admission, sends_what_is_expected_in_time) {
  AdmissionQuery query = unservable_query();
  query.expected = 300ms;
  query.late = false;
  cr_assert(action_of(query) == AdmissionAction::kSendNow);
}

// Guards against refusing what would be answered late, but before its deadline.
Test(admission, serves_late_what_is_expected_before_the_deadline) {
  AdmissionQuery query = unservable_query();
  query.expected = 1900ms;
  cr_assert(action_of(query) == AdmissionAction::kServeLate);
  query.expected = 2400ms;
  cr_assert(action_of(query) == AdmissionAction::kServeLate, "within the error of the estimate");
}

Test(admission, refuses_what_is_not_expected_before_the_deadline) {
  cr_assert(action_of(unservable_query()) == AdmissionAction::kRefuse);
}

// Guards against refusals caused by a wrong estimate while the engines are idle.
Test(admission, never_refuses_while_half_of_the_slots_are_free_and_nothing_waits) {
  AdmissionQuery query = unservable_query();
  query.occupancy = {16, 7, 0};
  cr_assert(action_of(query) == AdmissionAction::kServeLate);
  query.occupancy = {16, 7, 1};
  cr_assert(action_of(query) == AdmissionAction::kRefuse);
}

// Guards the promise that 503 is answered only if the request has not run.
Test(admission, never_refuses_what_may_have_run) {
  AdmissionQuery query = unservable_query();
  query.refusable = false;
  cr_assert(action_of(query) == AdmissionAction::kServeLate);
}

// A second refusal is worse for the caller than a late answer.
Test(admission, does_not_refuse_a_returning_request_again) {
  AdmissionQuery query = unservable_query();
  query.returning = true;
  cr_assert(action_of(query) == AdmissionAction::kServeLate);
}

// Guards tenants below their share against refusals because of what others have sent: late requests
// of tenants above their share are served after theirs.
Test(admission, does_not_refuse_tenants_below_their_share) {
  AdmissionQuery query = unservable_query();
  query.share_ratio = 0.9;
  cr_assert(action_of(query) == AdmissionAction::kServeLate);
  query.share_ratio = 0.4;
  cr_assert(action_of(query) == AdmissionAction::kSendAhead);
}

Test(admission, holds_a_request_only_for_an_engine_that_is_back_in_time) {
  AdmissionQuery query = unservable_query();
  query.expected.reset();
  cr_assert(action_of(query) == AdmissionAction::kRefuse);
  query.slot_in = 200ms;
  cr_assert(action_of(query) == AdmissionAction::kWait);
}

// Guards against a kind of request that is refused for as long as the shortage lasts, and against
// sending requests ahead of others while late ones are served.
Test(admission, sends_some_requests_of_a_starving_route_ahead) {
  AdmissionControl control;
  std::map<std::string, int> ahead;
  for (int i = 0; i < 160; ++i) {
    const MonotonicTime now = kNow + i * 100ms;
    control.on_late_result(now, kService, "chat", {now - 1s, 0ms, 1s});
    for (const char* route : {"chat", "large"}) {
      const auto decision = control.decide(now, kService, route, unservable_query());
      if (decision.action == AdmissionAction::kSendAhead) ++ahead[route];
    }
  }
  cr_assert_eq(ahead["chat"], 0);
  cr_assert_eq(ahead["large"], (160 - 50) / 8);
}

// Without a shortage no tenant yields: a prompt that is long by itself is no sign of one.
Test(admission, a_tenant_above_its_share_yields_only_in_a_shortage) {
  AdmissionControl control;
  AdmissionQuery query = unservable_query();
  query.expected = 450ms;
  query.own_work = 100ms;
  query.late = false;
  query.wait_share = 0.5;
  cr_assert(control.decide(kNow, kService, kRoute, query).action == AdmissionAction::kSendNow);

  AdmissionQuery large = unservable_query();
  large.expected = 1s;
  large.own_work = 800ms;
  control.decide(kNow, kService, kRoute, large);
  cr_assert_not(control.in_shortage(kNow, kService));

  AdmissionQuery waits = unservable_query();
  waits.expected = 1s;
  control.decide(kNow, kService, kRoute, waits);
  cr_assert(control.in_shortage(kNow, kService));
  cr_assert(control.decide(kNow, kService, kRoute, query).action == AdmissionAction::kYield);
  query.expected = 250ms;
  cr_assert(control.decide(kNow, kService, kRoute, query).action == AdmissionAction::kSendNow,
            "the wait is within the tenant's part");
  cr_assert_not(control.in_shortage(kNow + 2s, kService));
}

Test(admission, counts_the_engines_that_accept_requests) {
  EngineDirectory engines;
  for (const char* id : {"e1", "e2", "e3", "e4"}) engines.upsert(engine_record(id));
  for (int i = 0; i < 6; ++i) engines.on_attempt_sent(EngineId("e1"), {});
  for (int i = 0; i < 2; ++i) engines.on_attempt_sent(EngineId("e2"), {});
  engines.on_draining(EngineId("e3"));
  engines.on_cooldown(kNow, EngineId("e4"), 1s);
  const ServiceOccupancy occupancy = occupancy_of(kNow, engines, kService);
  cr_assert_eq(occupancy.slots, 8);
  cr_assert_eq(occupancy.taken, 6);
  cr_assert_eq(occupancy.waiting, 2);
}

// Guards against refused callers that all return at the same time.
Test(return_schedule, hands_out_increasing_times_at_the_rate_of_freed_slots) {
  AdmissionControl control;
  for (int i = 0; i < 400; ++i) control.on_slot_freed(kNow - 4s + i * 10ms, kService);
  Duration last{};
  for (int i = 0; i < 20; ++i) {
    const Duration delay = control.return_delay(kNow, kService, refused_caller());
    if (i > 0) {
      cr_assert_gt((delay - last).count(), Duration(8ms).count());
      cr_assert_lt((delay - last).count(), Duration(14ms).count());
    }
    last = delay;
  }
}

Test(return_schedule, begins_anew_once_the_callers_have_returned) {
  AdmissionControl control;
  for (int i = 0; i < 3; ++i) control.return_delay(kNow, kService, refused_caller());
  cr_assert(control.return_delay(kNow + 10s, kService, refused_caller()) == 100ms);
}

// A caller waits at most a third of its time left, so that a longer delay is not kept anyway.
Test(return_schedule, spreads_callers_beyond_what_they_can_use) {
  AdmissionControl control;
  std::set<Duration> delays;
  for (int i = 0; i < 100; ++i) {
    const Duration delay = control.return_delay(kNow, kService, refused_caller());
    cr_assert_leq(delay.count(), Duration(1s).count());
    delays.insert(delay);
  }
  cr_assert_geq(delays.size(), 95);
}

Test(return_schedule, never_tells_a_time_before_the_first_engine_is_back) {
  AdmissionControl control;
  ReturnQuery query = refused_caller(300ms);
  query.not_before = 2s;
  for (int i = 0; i < 5; ++i) {
    cr_assert_geq(control.return_delay(kNow, kService, query).count(), Duration(2s).count());
  }
}

Test(return_schedule, puts_less_urgent_callers_and_tenants_above_their_share_behind) {
  AdmissionControl control;
  ReturnQuery urgent = refused_caller();
  ReturnQuery above = urgent;
  above.above_share = true;
  ReturnQuery patient = urgent;
  patient.priority = 5;
  const Duration first = control.return_delay(kNow, kService, urgent);
  const Duration last = control.return_delay(kNow, kService, patient);
  const Duration third = control.return_delay(kNow, kService, above);
  const Duration second = control.return_delay(kNow, kService, urgent);
  cr_assert_lt(first.count(), second.count());
  cr_assert_leq(second.count(), third.count());
  cr_assert_leq(first.count(), last.count());
  cr_assert_lt(third.count(), control.return_delay(kNow, kService, patient).count());
}

Test(admission, recognizes_refused_requests_for_some_seconds) {
  AdmissionControl control;
  const RequestIdentity request{1, 2};
  cr_assert_not(control.was_refused(kNow, request));
  control.on_refused(kNow, request);
  cr_assert(control.was_refused(kNow + 3s, request));
  cr_assert_not(control.was_refused(kNow + 1min, request));
}

namespace {

/// Forty nodes in front of engines that are one queue: it serves the oldest request first, and what
/// is served late after all others. Half of the slots are lost for some time.
class ShortageModel {
 public:
  explicit ShortageModel(bool admission) : with_admission(admission), nodes(kNodes) {}

  void run() {
    std::mt19937 random(7);
    std::exponential_distribution<double> gap(kArrivalsPerMs);
    double next_arrival = 0;
    for (int ms = 0; ms < kEndMs; ++ms) {
      this->now = kNow + ms * 1ms;
      this->slots = ms >= kLossMs && ms < kReturnMs ? kSlots / 2 : kSlots;
      for (; next_arrival <= ms; next_arrival += gap(random)) {
        this->arrive({this->now, this->now + kDeadline, random() % kNodes, 0});
      }
      while (!this->returns.empty() && this->returns.begin()->first <= this->now) {
        const Caller caller = this->returns.begin()->second;
        this->returns.erase(this->returns.begin());
        this->arrive(caller);
      }
      this->serve();
    }
  }

  int in_time = 0;
  int late = 0;
  int expired = 0;  ///< Ran out of time in the queue.
  int refused = 0;
  int refused_twice = 0;
  int refused_while_spare = 0;
  std::map<std::int64_t, int> returns_by_time;  ///< By tenths of a second.

 private:
  static constexpr std::size_t kNodes = 40;
  static constexpr int kSlots = 40;
  static constexpr Duration kServiceTime = 100ms;
  static constexpr double kArrivalsPerMs = 0.3;
  static constexpr Duration kObjective = 500ms;
  static constexpr Duration kDeadline = 2500ms;
  static constexpr int kLossMs = 1000;
  static constexpr int kReturnMs = 9000;
  static constexpr int kEndMs = 14000;

  struct Caller {
    MonotonicTime since;
    MonotonicTime deadline;
    std::size_t node = 0;
    int refusals = 0;
    LateRequest late = {};
  };

  Duration expected_wait(std::size_t ahead) const {
    return ahead * kServiceTime / static_cast<std::int64_t>(this->slots);
  }

  void arrive(Caller caller) {
    AdmissionQuery query;
    query.own_work = kServiceTime;
    query.time_to_objective = caller.since + kObjective - this->now;
    query.time_left = caller.deadline - this->now;
    query.expected = this->expected_wait(this->urgent.size()) + kServiceTime;
    query.late = *query.expected > query.time_to_objective;
    if (query.late) {
      query.expected =
          this->expected_wait(this->urgent.size() + this->deferred.size()) + kServiceTime;
    }
    const double waiting = static_cast<double>(this->urgent.size() + this->deferred.size());
    query.occupancy = {static_cast<double>(this->slots), static_cast<double>(this->running.size()),
                       waiting};
    AdmissionControl& node = this->nodes[caller.node];
    auto action = node.decide(this->now, kService, kRoute, query).action;
    if (!this->with_admission) {
      action = query.late ? AdmissionAction::kServeLate : AdmissionAction::kSendNow;
    }
    if (action == AdmissionAction::kRefuse) return this->refuse(caller, query);
    caller.late = {this->now, query.own_work, *query.expected - query.own_work};
    (action == AdmissionAction::kServeLate ? this->deferred : this->urgent).push_back(caller);
  }

  void refuse(Caller caller, const AdmissionQuery& query) {
    ++this->refused;
    if (query.occupancy.has_spare_slots()) ++this->refused_while_spare;
    if (++caller.refusals > 1) {
      ++this->refused_twice;
      return;
    }
    ReturnQuery returning;
    returning.slot_expected = std::max<Duration>(250ms, *query.expected - query.time_left);
    returning.time_left = query.time_left;
    const Duration told = this->nodes[caller.node].return_delay(this->now, kService, returning);
    const MonotonicTime at = this->now + std::min(told, query.time_left / 3);
    ++this->returns_by_time[whole_ms(at - kNow) / 100];
    this->returns.emplace(at, caller);
  }

  void serve() {
    while (!this->running.empty() && this->running.top().first <= this->now) {
      const auto [end, node] = this->running.top();
      this->running.pop();
      this->nodes[node].on_slot_freed(this->now, kService);
    }
    while (!this->deferred.empty() && this->deferred.front().deadline < this->now + kServiceTime) {
      this->deferred.front().late.out_of_time = true;
      this->report_late(this->deferred.front());
      this->deferred.pop_front();
      ++this->expired;
    }
    while (static_cast<int>(this->running.size()) < this->slots) {
      std::deque<Caller>& queue = this->urgent.empty() ? this->deferred : this->urgent;
      if (queue.empty()) return;
      const Caller caller = queue.front();
      if (this->urgent.empty()) this->report_late(caller);
      queue.pop_front();
      const MonotonicTime end = this->now + kServiceTime;
      if (end > caller.deadline) {
        ++this->expired;
        continue;
      }
      ++(end <= caller.since + kObjective ? this->in_time : this->late);
      this->running.emplace(end, caller.node);
    }
  }

  /// The first token comes at the end of the service time.
  void report_late(const Caller& caller) {
    this->nodes[caller.node].on_late_result(this->now + kServiceTime, kService, kRoute,
                                            caller.late);
  }

  bool with_admission;
  MonotonicTime now{};
  int slots = kSlots;
  std::vector<AdmissionControl> nodes;
  std::deque<Caller> urgent;
  std::deque<Caller> deferred;
  using Run = std::pair<MonotonicTime, std::size_t>;
  std::priority_queue<Run, std::vector<Run>, std::greater<>> running;
  std::multimap<MonotonicTime, Caller> returns;
};

}  // namespace

// Guards against late requests that are kept until their deadline: the work known ahead of them is
// not all that they wait for.
Test(admission, expects_late_requests_to_be_passed_by_others) {
  AdmissionControl control;
  AdmissionQuery query = unservable_query();
  query.expected = 1100ms;
  query.own_work = 100ms;
  cr_assert(control.decide(kNow, kService, kRoute, query).action == AdmissionAction::kServeLate);
  for (int i = 0; i < 30; ++i) control.on_late_result(kNow, kService, kRoute, {kNow - 4s, 0ms, 1s});
  cr_assert_gt(control.late_wait_factor(kNow, kService), 3.5);
  cr_assert(control.decide(kNow, kService, kRoute, query).action == AdmissionAction::kRefuse);
  cr_assert_lt(control.late_wait_factor(kNow + 20s, kService), 1.01, "no lasting refusals");
}

// Guards what callers get in a shortage: refusals cost hardly an answer, fewer callers are left to
// run out of time in a queue, and refused ones return spread over time.
Test(admission, a_loss_of_half_of_the_slots_is_spread_over_the_callers) {
  ShortageModel without(false);
  without.run();
  ShortageModel with(true);
  with.run();
  cr_log_info("in time %d (without: %d), late %d (%d), expired %d (%d), refused %d, twice %d",
              with.in_time, without.in_time, with.late, without.late, with.expired, without.expired,
              with.refused, with.refused_twice);
  cr_assert_gt(without.expired, 200, "the model has a shortage");
  cr_assert_lt(with.expired * 10, without.expired * 8);
  cr_assert_geq(with.in_time * 100, without.in_time * 99);
  cr_assert_geq((with.in_time + with.late) * 100, (without.in_time + without.late) * 99);
  cr_assert_gt(with.refused, 0);
  cr_assert_eq(with.refused_while_spare, 0);
  for (const auto& [tenth, callers] : with.returns_by_time) {
    cr_assert_lt(callers, 60, "%d callers return within one tenth of a second", callers);
  }
}
