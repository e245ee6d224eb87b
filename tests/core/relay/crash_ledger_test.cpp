#include "core/relay/crash_ledger.hpp"

#include <criterion/criterion.h>

#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;
using relay::CallerAddressHash;
using relay::CrashLedger;
using relay::CrashLedgerSettings;
using relay::EngineKey;
using relay::InterruptedRequest;
using relay::RequestIdentity;
using relay::SuspectStatus;

namespace {

constexpr RequestIdentity kCulprit{1, 1};
constexpr RequestIdentity kBystander{2, 2};
constexpr RequestIdentity kOther{3, 3};
constexpr CallerAddressHash kCaller = 70;
constexpr CallerAddressHash kOtherCaller = 71;

InterruptedRequest interruption(const RequestIdentity& request, EngineKey engine,
                                bool silent = false) {
  return {{request, kCaller}, engine, silent, false};
}

SuspectStatus status(const CrashLedger& ledger, MonotonicTime now, const RequestIdentity& request) {
  return ledger.status(now, {request, kCaller});
}

/// A ledger with a manual clock.
struct Scene {
  /// Crashes an engine that runs these requests.
  void crash_engine(EngineKey engine, const std::vector<RequestIdentity>& requests) {
    this->now += 100ms;
    for (const RequestIdentity& request : requests) {
      this->ledger.on_interrupted(this->now, interruption(request, engine));
    }
    this->ledger.on_engine_crashed(this->now, engine);
  }

  bool is_quarantined(const RequestIdentity& request) const {
    return status(this->ledger, this->now, request).quarantine_left.has_value();
  }

  void advance(Duration duration) {
    this->now += duration;
    this->ledger.expire(this->now);
  }

  CrashLedger ledger;
  MonotonicTime now{1000s};
};

}  // namespace

Test(crash_ledger, quarantines_a_request_after_exactly_three_crashes) {
  Scene scene;
  scene.crash_engine(1, {kCulprit});
  cr_assert_not(scene.is_quarantined(kCulprit), "one crash may be coincidence");
  scene.crash_engine(2, {kCulprit});
  cr_assert_not(scene.is_quarantined(kCulprit));
  scene.crash_engine(3, {kCulprit});
  cr_assert(scene.is_quarantined(kCulprit));
  const auto quarantines = scene.ledger.take_new_quarantines(scene.now);
  cr_assert_eq(quarantines.size(), 1U);
  cr_assert_eq(quarantines.front().crashed_engines.size(), 3U, "lists the crashed engines");
  cr_assert(scene.ledger.take_new_quarantines(scene.now).empty(), "each is returned once");
}

Test(crash_ledger, counts_each_engine_once) {
  Scene scene;
  for (int i = 0; i < 5; ++i) scene.crash_engine(1, {kCulprit});
  cr_assert_eq(status(scene.ledger, scene.now, kCulprit).crashes, 1U);
}

Test(crash_ledger, ignores_an_interruption_when_the_engine_is_alive) {
  Scene scene;
  for (const EngineKey engine : {1, 2, 3, 4}) {
    scene.ledger.on_interrupted(scene.now, interruption(kOther, engine));
  }
  cr_assert_eq(scene.ledger.take_liveness_checks(scene.now).size(), 4U, "all are checked");
  cr_assert(scene.ledger.take_liveness_checks(scene.now).empty(), "not again within the interval");
  for (const EngineKey engine : {1, 2, 3, 4}) {
    scene.ledger.on_engine_answered(scene.now + 1ms, engine);
  }
  cr_assert_not(status(scene.ledger, scene.now, kOther).is_suspect());
}

Test(crash_ledger, ignores_a_repeated_report_that_an_answer_disproved) {
  // Reports are repeated.
  Scene scene;
  const InterruptedRequest report{{kOther, kCaller}, 1, false, true};
  scene.ledger.on_interrupted(scene.now, report);
  scene.ledger.on_engine_answered(scene.now + 1ms, 1);
  scene.ledger.on_interrupted(scene.now, report);
  cr_assert_not(status(scene.ledger, scene.now, kOther).is_suspect());
}

Test(crash_ledger, checks_only_engines_that_interrupted_own_requests) {
  Scene scene;
  scene.ledger.on_interrupted(scene.now, {{kOther, kCaller}, 1, false, true});
  scene.ledger.on_interrupted(scene.now, interruption(kOther, 2));
  const auto checks = scene.ledger.take_liveness_checks(scene.now);
  cr_assert_eq(checks.size(), 1U);
  cr_assert_eq(checks.front(), 2U);
}

Test(crash_ledger, ignores_an_answer_to_a_request_sent_before_the_crash) {
  Scene scene;
  const MonotonicTime sent = scene.now;
  scene.crash_engine(1, {kCulprit});
  scene.ledger.on_engine_answered(sent, 1);
  cr_assert_eq(status(scene.ledger, scene.now, kCulprit).crashes, 1U);
}

Test(crash_ledger, drops_unconfirmed_interruptions) {
  Scene scene;
  for (const EngineKey engine : {1, 2, 3})
    scene.ledger.on_interrupted(scene.now, interruption(kOther, engine));
  scene.advance(CrashLedgerSettings().confirmation_timeout + 1s);
  cr_assert_not(status(scene.ledger, scene.now, kOther).is_suspect());
}

Test(crash_ledger, counts_a_timeout_only_after_the_crash_is_confirmed) {
  Scene scene;
  scene.ledger.on_interrupted(scene.now, interruption(kCulprit, 1, true));
  cr_assert_not(status(scene.ledger, scene.now, kCulprit).is_suspect());
  scene.ledger.on_engine_crashed(scene.now + 3s, 1);
  cr_assert_eq(status(scene.ledger, scene.now, kCulprit).crashes, 1U);
}

Test(crash_ledger, counts_a_crash_reported_before_the_interruption) {
  Scene scene;
  scene.ledger.on_engine_crashed(scene.now, 1);
  scene.ledger.on_interrupted(scene.now + 200ms, interruption(kCulprit, 1));
  cr_assert_eq(status(scene.ledger, scene.now, kCulprit).crashes, 1U);
}

Test(crash_ledger, does_not_count_crashes_that_a_quarantined_request_explains) {
  Scene scene;
  scene.crash_engine(1, {kCulprit, kBystander});
  scene.crash_engine(2, {kCulprit, kBystander});
  scene.crash_engine(3, {kCulprit});
  scene.crash_engine(4, {kBystander});
  cr_assert(scene.is_quarantined(kCulprit));
  cr_assert_not(scene.is_quarantined(kBystander), "only one of its three crashes is unexplained");
}

Test(crash_ledger, quarantines_a_request_that_keeps_crashing_engines) {
  // Both ran at three crashed engines, and only one of them is quarantined at first.
  Scene scene;
  for (const EngineKey engine : {1, 2, 3}) scene.crash_engine(engine, {kCulprit, kBystander});
  cr_assert_neq(scene.is_quarantined(kCulprit), scene.is_quarantined(kBystander));
  const RequestIdentity unquarantined = scene.is_quarantined(kCulprit) ? kBystander : kCulprit;
  scene.crash_engine(4, {unquarantined});
  cr_assert(scene.is_quarantined(unquarantined));
}

Test(crash_ledger, clears_a_request_that_completes) {
  Scene scene;
  scene.crash_engine(1, {kBystander});
  scene.crash_engine(2, {kBystander});
  scene.ledger.clear(scene.now, kBystander);
  scene.crash_engine(3, {kBystander});
  cr_assert_not(scene.is_quarantined(kBystander));
  scene.ledger.on_interrupted(scene.now - 200ms, interruption(kBystander, 2));
  cr_assert_eq(status(scene.ledger, scene.now, kBystander).interruptions, 1U,
               "late reports are discarded as well");
}

Test(crash_ledger, quarantine_expires_and_returns_after_one_more_crash) {
  Scene scene;
  for (const EngineKey engine : {1, 2, 3}) scene.crash_engine(engine, {kCulprit});
  scene.advance(CrashLedgerSettings().quarantine_duration - 1s);
  cr_assert(scene.is_quarantined(kCulprit));
  scene.ledger.extend_quarantine(scene.now, kCulprit);
  scene.advance(2s);
  cr_assert(scene.is_quarantined(kCulprit), "counts from the last attempt");
  scene.advance(CrashLedgerSettings().quarantine_duration);
  cr_assert_not(scene.is_quarantined(kCulprit));
  scene.crash_engine(4, {kCulprit});
  cr_assert(scene.is_quarantined(kCulprit));
}

Test(crash_ledger, does_not_restore_a_lifted_quarantine) {
  Scene scene;
  for (const EngineKey engine : {1, 2, 3}) scene.crash_engine(engine, {kCulprit});
  const auto quarantined = scene.ledger.quarantined(scene.now);
  scene.ledger.clear(scene.now, kCulprit);
  scene.ledger.restore(scene.now, quarantined.front());
  cr_assert_not(scene.is_quarantined(kCulprit));
  CrashLedger restarted;
  restarted.restore(scene.now, quarantined.front());
  cr_assert(status(restarted, scene.now, kCulprit).quarantine_left.has_value());
}

Test(crash_ledger, quarantines_a_single_caller_until_a_second_one_crashes_an_engine) {
  // Otherwise a caller could get another's request refused by sending a copy.
  Scene scene;
  for (const EngineKey engine : {1, 2, 3}) scene.crash_engine(engine, {kCulprit});
  const auto other = [&] { return scene.ledger.status(scene.now, {kCulprit, kOtherCaller}); };
  cr_assert(scene.is_quarantined(kCulprit));
  cr_assert_not(other().quarantine_left);
  cr_assert_not(scene.ledger.take_new_quarantines(scene.now).front().applies_to_all_callers());
  scene.ledger.on_interrupted(scene.now, {{kCulprit, kOtherCaller}, 4, false, false});
  scene.ledger.on_engine_crashed(scene.now, 4);
  cr_assert(other().quarantine_left.has_value());
  cr_assert(scene.ledger.take_new_quarantines(scene.now).front().applies_to_all_callers());
  cr_assert(scene.ledger.status(scene.now, {kCulprit, 72}).quarantine_left.has_value());
}

Test(crash_ledger, quarantines_all_callers_if_several_crash_engines) {
  Scene scene;
  for (const EngineKey engine : {1, 2, 3}) {
    scene.ledger.on_interrupted(scene.now, {{kCulprit, kCaller + engine}, engine, false, false});
    scene.ledger.on_engine_crashed(scene.now, engine);
  }
  cr_assert(scene.ledger.status(scene.now, {kCulprit, 99}).quarantine_left.has_value());
}

Test(crash_ledger, reports_engines_that_run_other_suspects) {
  Scene scene;
  scene.crash_engine(1, {kCulprit, kBystander});
  scene.ledger.begin_trial(scene.now, kCulprit, 2);
  cr_assert_eq(scene.ledger.trial_engines(scene.now, kBystander).count(2), 1U);
  cr_assert(scene.ledger.trial_engines(scene.now, kCulprit).empty(), "its own engine is excluded");
  cr_assert(status(scene.ledger, scene.now, kCulprit).in_flight);
  scene.crash_engine(2, {kCulprit});
  cr_assert(scene.ledger.trial_engines(scene.now, kBystander).empty());
}

Test(crash_ledger, evicts_requests_with_the_fewest_crashes_first) {
  CrashLedgerSettings settings;
  settings.max_suspects = 20;
  CrashLedger ledger(settings);
  const MonotonicTime now{1000s};
  for (const EngineKey engine : {1, 2, 3}) {
    ledger.on_interrupted(now, interruption(kCulprit, engine));
    ledger.on_engine_crashed(now, engine);
  }
  for (std::uint64_t i = 0; i < 100; ++i) {
    ledger.on_interrupted(now + std::chrono::seconds(i), interruption(RequestIdentity{100, i}, 9));
  }
  cr_assert(status(ledger, now, kCulprit).quarantine_left.has_value());
  cr_assert_not(status(ledger, now, RequestIdentity{100, 0}).is_suspect(),
                "the oldest is evicted first");
  cr_assert(status(ledger, now, RequestIdentity{100, 99}).is_suspect());
}

Test(crash_ledger, result_is_independent_of_the_order_of_reports) {
  // Nodes receive reports in different orders but must quarantine the same request.
  SHUNTBANK_PROPERTY("only the cause is quarantined", [] {
    CrashLedger ledger;
    const MonotonicTime now{1000s};
    auto events = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 9));
    for (int event = 0; event < 9; ++event) events.push_back(event);
    for (const int event : events) {
      const auto engine = static_cast<EngineKey>(event % 3);
      if (event < 3) ledger.on_interrupted(now, interruption(kCulprit, engine));
      if (event >= 3 && event < 6) ledger.on_engine_crashed(now, engine);
      if (event >= 6) ledger.on_interrupted(now, interruption(RequestIdentity{50, engine}, engine));
    }
    RC_ASSERT(status(ledger, now, kCulprit).quarantine_left.has_value());
    RC_ASSERT(ledger.quarantined(now).size() == 1U);
  });
}
