/// @file
/// Admission control of a model service whose capacity is short: whether a request is sent, held,
/// served late or refused, and when a refused caller should return.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/relay/dispatch_plan.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/request_identity.hpp"

namespace shuntbank::relay {

/// Tunables of admission control.
struct AdmissionSettings {
  bool enabled = true;
  /// A request is refused if its first token is expected later than its time left times this.
  /// Behind other work, prompts were read in 0.70 to 0.80 of the expected time.
  double refusal_margin = 1.25;
  /// While no late request of a route has got its first token for `starving_after`, one of so many
  /// that would be refused is sent ahead instead, so that no kind of request starves: large prompts
  /// are never expected in time while the shortage lasts.
  std::uint32_t sent_ahead_every = 8;
  /// A node sees a late request of a route every second or two.
  Duration starving_after = std::chrono::seconds(5);
  /// A tenant that has got less of its fair share has requests that would be refused sent ahead:
  /// those of others that can be in time may leave nothing to late ones.
  double protected_share_ratio = 0.5;
  /// A shortage counts as ended this long after a node last saw one: a node sees a few requests a
  /// second, and not each of them meets the wait.
  Duration shortage_memory = std::chrono::seconds(1);
  /// Window of the rate at which slots become free; some ten requests of a node.
  Duration rate_window = std::chrono::seconds(2);
  /// Longest time between two scheduled returns, for while no slot has become free.
  Duration max_return_interval = std::chrono::milliseconds(250);
  /// Callers wait at most this share of their time left.
  double usable_share = 1.0 / 3;
  /// For how long a refused request is recognized; callers return once, within a third of the time
  /// that they have left.
  Duration refusal_memory = std::chrono::seconds(10);
  std::size_t max_remembered_refusals = 4096;
};

/// Requests at those engines of a service that accept requests.
struct ServiceOccupancy {
  double slots = 0;
  double taken = 0;    ///< Of `slots`.
  double waiting = 0;  ///< Requests beyond the slots of their engine.

  /// @return whether fewer than half of the slots are taken and nothing waits.
  bool has_spare_slots() const { return this->taken < this->slots / 2 && this->waiting <= 0; }
};

/// @return the occupancy of a service's engines of all stages.
ServiceOccupancy occupancy_of(MonotonicTime now, const EngineDirectory& engines,
                              const ServiceName& service);

/// @return the part of a plan's expected time that is the request's own work rather than waiting.
Duration own_work(const DispatchPlan& plan, const EngineModel& model, const ModelServing& serving,
                  std::uint64_t prompt_tokens);

/// @return the prefill time of the deferred prompts at an engine.
Duration late_work(const EngineView& engine, const EngineModel& model);

enum class AdmissionAction {
  kSendNow,
  kSendAhead,  ///< Expected too late, but sent at the urgency of its route; see AdmissionSettings.
  kWait,       ///< Held until an engine accepts requests.
  kServeLate,  ///< Sent behind all requests that can be in time.
  kYield,      ///< The same, though it might be in time: its tenant is above its fair share.
  kRefuse,
};

/// @return the action as in logs and metrics.
const char* to_text(AdmissionAction action);

/// Input of `AdmissionControl::decide`.
struct AdmissionQuery {
  /// Expected time to the first token; unset: no engine can be chosen.
  std::optional<Duration> expected;
  Duration own_work = Duration::zero();  ///< Of `expected`.
  bool late = false;                     ///< Not expected within the objective.
  /// Work of late requests at the engine, if `expected` leaves it out. Shows a shortage to nodes
  /// whose own requests are in time.
  Duration late_work = Duration::zero();
  /// If no engine can be chosen: when one can, if the request is then expected in time.
  std::optional<Duration> slot_in;
  Duration time_to_objective = Duration::max();  ///< May be negative.
  Duration time_left = Duration::max();          ///< To the deadline and the route's timeout.
  ServiceOccupancy occupancy;
  bool refusable = true;   ///< It has not run, and nothing was prefilled or answered for it.
  bool returning = false;  ///< It was refused before.
  /// Share of the usable wait that is left to the tenant's requests in a shortage; see
  /// `FairShares::wait_share`.
  double wait_share = 1;
  /// What the tenant has got over its fair share. Late requests of tenants above their share are
  /// served behind those of tenants below it, though `expected` counts them.
  double share_ratio = 1;
};

struct AdmissionDecision {
  AdmissionAction action = AdmissionAction::kSendNow;
  const char* why = "";
};

/// A refused caller.
struct ReturnQuery {
  int priority = 0;          ///< 0 is the most urgent.
  bool above_share = false;  ///< Of the tenant's fair share.
  Duration not_before{};     ///< No engine accepts requests earlier.
  Duration slot_expected{};  ///< When a slot is expected for the request.
  Duration time_left{};      ///< Of the caller.
};

/// A request that is served late.
struct LateRequest {
  MonotonicTime sent_at{};
  Duration own_work{};
  Duration expected_wait{};  ///< Behind the work that was known when it was sent.
  bool out_of_time = false;  ///< It has not got its first token.
};

/// Actual over expected wait of requests that are served late. Requests that are sent after them
/// and can be in time pass them, so that they wait for longer than the work ahead of them takes.
class LateWaitFactor {
 public:
  /// @param waited until the first token, or until the request ran out of time.
  void observe(MonotonicTime now, Duration expected, Duration waited);

  /// @return the factor, at least 1. Approaches 1 while there are no observations, as there are
  /// none while all such requests are refused.
  double at(MonotonicTime now) const;

 private:
  double excess = 0;  ///< Over 1, at the last observation.
  MonotonicTime updated_at{};
};

/// Moving average of the rate of events.
class EventRate {
 public:
  void add(MonotonicTime now, Duration window);
  double per_second(MonotonicTime now, Duration window) const;

 private:
  double weight = 0;
  MonotonicTime updated_at{};
};

/// Hands out return times to refused callers, one after another. Callers of a lower rank come
/// behind all those of a higher one that were refused before. Among equals the first one refused
/// returns first.
class ReturnSchedule {
 public:
  /// @param interval between two returns.
  /// @param usable the longest delay that the caller can use. Callers beyond it are spread over its
  /// later half, as they would otherwise all return at its end.
  Duration assign(MonotonicTime now, const ReturnQuery& query, Duration interval, Duration usable);

 private:
  static constexpr std::size_t kRanks = 20;  ///< Ten priorities, each below and above the share.

  std::array<MonotonicTime, kRanks> next{};
  std::uint64_t beyond = 0;  ///< Callers beyond what they can use.
};

/// The admission control of one node.
class AdmissionControl {
 public:
  AdmissionControl() : AdmissionControl(AdmissionSettings{}) {}
  explicit AdmissionControl(const AdmissionSettings& own_settings) : settings(own_settings) {}

  bool enabled() const { return this->settings.enabled; }

  AdmissionDecision decide(MonotonicTime now, const ServiceName& service, const std::string& route,
                           const AdmissionQuery& query);

  /// @return whether requests have met a wait beyond their objective lately.
  bool in_shortage(MonotonicTime now, const ServiceName& service) const;

  /// A request of this node was answered.
  void on_slot_freed(MonotonicTime now, const ServiceName& service);

  /// A request that was served late has got its first token or run out of time.
  void on_late_result(MonotonicTime now, const ServiceName& service, const std::string& route,
                      const LateRequest& request);

  /// @return the expected wait times this for a request that is served late.
  double late_wait_factor(MonotonicTime now, const ServiceName& service) const;

  /// @return when a refused caller should return.
  Duration return_delay(MonotonicTime now, const ServiceName& service, const ReturnQuery& query);

  /// Remembers a refused request. Other nodes do not know of it.
  void on_refused(MonotonicTime now, const RequestIdentity& request);

  /// @return whether this node has refused the request lately.
  bool was_refused(MonotonicTime now, const RequestIdentity& request) const;

 private:
  struct RouteState {
    std::uint32_t unservable = 0;  ///< Requests not expected before their deadline.
    /// When a late request last got its first token, or the first was refused.
    std::optional<MonotonicTime> late_served_at;
  };
  struct ServiceState {
    MonotonicTime shortage_until{};
    EventRate freed_slots;
    LateWaitFactor late_wait;
    ReturnSchedule returns;
    std::map<std::string, RouteState> routes;
  };

  bool starving(MonotonicTime now, RouteState& route) const;
  void observe_shortage(MonotonicTime now, ServiceState& state, const AdmissionQuery& query) const;

  AdmissionSettings settings;
  std::map<ServiceName, ServiceState> services;
  std::map<RequestIdentity, MonotonicTime> refusals;
};

}  // namespace shuntbank::relay
