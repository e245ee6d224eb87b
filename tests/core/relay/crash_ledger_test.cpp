#include "core/relay/crash_ledger.hpp"

#include <criterion/criterion.h>

#include "core/relay/part_history.hpp"
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
struct LedgerFixture {
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
  LedgerFixture fixture;
  fixture.crash_engine(1, {kCulprit});
  cr_assert_not(fixture.is_quarantined(kCulprit), "one crash may be coincidence");
  fixture.crash_engine(2, {kCulprit});
  cr_assert_not(fixture.is_quarantined(kCulprit));
  fixture.crash_engine(3, {kCulprit});
  cr_assert(fixture.is_quarantined(kCulprit));
  const auto quarantines = fixture.ledger.take_new_quarantines(fixture.now);
  cr_assert_eq(quarantines.size(), 1U);
  cr_assert_eq(quarantines.front().crashed_engines.size(), 3U, "lists the crashed engines");
  cr_assert(fixture.ledger.take_new_quarantines(fixture.now).empty(), "each is returned once");
}

Test(crash_ledger, counts_each_engine_once) {
  LedgerFixture fixture;
  for (int i = 0; i < 5; ++i) fixture.crash_engine(1, {kCulprit});
  cr_assert_eq(status(fixture.ledger, fixture.now, kCulprit).crashes, 1U);
}

Test(crash_ledger, ignores_an_interruption_when_the_engine_is_alive) {
  LedgerFixture fixture;
  for (const EngineKey engine : {1, 2, 3, 4}) {
    fixture.ledger.on_interrupted(fixture.now, interruption(kOther, engine));
  }
  cr_assert_eq(fixture.ledger.take_liveness_checks(fixture.now).size(), 4U, "all are checked");
  cr_assert(fixture.ledger.take_liveness_checks(fixture.now).empty(),
            "not again within the interval");
  for (const EngineKey engine : {1, 2, 3, 4}) {
    fixture.ledger.on_engine_answered(fixture.now + 1ms, engine);
  }
  cr_assert_not(status(fixture.ledger, fixture.now, kOther).is_suspect());
}

Test(crash_ledger, ignores_a_repeated_report_that_an_answer_disproved) {
  // Nodes send each report several times, as messages may be lost.
  LedgerFixture fixture;
  const InterruptedRequest report{{kOther, kCaller}, 1, false, true};
  fixture.ledger.on_interrupted(fixture.now, report);
  fixture.ledger.on_engine_answered(fixture.now + 1ms, 1);
  fixture.ledger.on_interrupted(fixture.now, report);
  cr_assert_not(status(fixture.ledger, fixture.now, kOther).is_suspect());
}

Test(crash_ledger, checks_only_engines_that_interrupted_own_requests) {
  LedgerFixture fixture;
  fixture.ledger.on_interrupted(fixture.now, {{kOther, kCaller}, 1, false, true});
  fixture.ledger.on_interrupted(fixture.now, interruption(kOther, 2));
  const auto checks = fixture.ledger.take_liveness_checks(fixture.now);
  cr_assert_eq(checks.size(), 1U);
  cr_assert_eq(checks.front(), 2U);
}

Test(crash_ledger, ignores_an_answer_to_a_request_sent_before_the_crash) {
  LedgerFixture fixture;
  const MonotonicTime sent = fixture.now;
  fixture.crash_engine(1, {kCulprit});
  fixture.ledger.on_engine_answered(sent, 1);
  cr_assert_eq(status(fixture.ledger, fixture.now, kCulprit).crashes, 1U);
}

Test(crash_ledger, drops_unconfirmed_interruptions) {
  LedgerFixture fixture;
  for (const EngineKey engine : {1, 2, 3})
    fixture.ledger.on_interrupted(fixture.now, interruption(kOther, engine));
  fixture.advance(CrashLedgerSettings().confirmation_timeout + 1s);
  cr_assert_not(status(fixture.ledger, fixture.now, kOther).is_suspect());
}

Test(crash_ledger, counts_a_timeout_only_after_the_crash_is_confirmed) {
  LedgerFixture fixture;
  fixture.ledger.on_interrupted(fixture.now, interruption(kCulprit, 1, true));
  cr_assert_not(status(fixture.ledger, fixture.now, kCulprit).is_suspect());
  fixture.ledger.on_engine_crashed(fixture.now + 3s, 1);
  cr_assert_eq(status(fixture.ledger, fixture.now, kCulprit).crashes, 1U);
}

Test(crash_ledger, counts_a_crash_reported_before_the_interruption) {
  LedgerFixture fixture;
  fixture.ledger.on_engine_crashed(fixture.now, 1);
  fixture.ledger.on_interrupted(fixture.now + 200ms, interruption(kCulprit, 1));
  cr_assert_eq(status(fixture.ledger, fixture.now, kCulprit).crashes, 1U);
}

Test(crash_ledger, does_not_count_crashes_that_a_quarantined_request_explains) {
  LedgerFixture fixture;
  fixture.crash_engine(1, {kCulprit, kBystander});
  fixture.crash_engine(2, {kCulprit, kBystander});
  fixture.crash_engine(3, {kCulprit});
  fixture.crash_engine(4, {kBystander});
  cr_assert(fixture.is_quarantined(kCulprit));
  cr_assert_not(fixture.is_quarantined(kBystander), "only one of its three crashes is unexplained");
}

Test(crash_ledger, quarantines_a_request_that_keeps_crashing_engines) {
  // Both ran at three crashed engines, and only one of them is quarantined at first.
  LedgerFixture fixture;
  for (const EngineKey engine : {1, 2, 3}) fixture.crash_engine(engine, {kCulprit, kBystander});
  cr_assert_neq(fixture.is_quarantined(kCulprit), fixture.is_quarantined(kBystander));
  const RequestIdentity not_yet_quarantined =
      fixture.is_quarantined(kCulprit) ? kBystander : kCulprit;
  fixture.crash_engine(4, {not_yet_quarantined});
  cr_assert(fixture.is_quarantined(not_yet_quarantined));
}

Test(crash_ledger, clears_a_request_that_completes) {
  LedgerFixture fixture;
  fixture.crash_engine(1, {kBystander});
  fixture.crash_engine(2, {kBystander});
  fixture.ledger.clear(fixture.now, kBystander);
  fixture.crash_engine(3, {kBystander});
  cr_assert_not(fixture.is_quarantined(kBystander));
  fixture.ledger.on_interrupted(fixture.now - 200ms, interruption(kBystander, 2));
  cr_assert_eq(status(fixture.ledger, fixture.now, kBystander).interruptions, 1U,
               "late reports are discarded as well");
}

Test(crash_ledger, quarantine_expires_and_returns_after_one_more_crash) {
  LedgerFixture fixture;
  for (const EngineKey engine : {1, 2, 3}) fixture.crash_engine(engine, {kCulprit});
  fixture.advance(CrashLedgerSettings().quarantine_duration - 1s);
  cr_assert(fixture.is_quarantined(kCulprit));
  fixture.ledger.extend_quarantine(fixture.now, kCulprit);
  fixture.advance(2s);
  cr_assert(fixture.is_quarantined(kCulprit), "counts from the last attempt");
  fixture.advance(CrashLedgerSettings().quarantine_duration);
  cr_assert_not(fixture.is_quarantined(kCulprit));
  fixture.crash_engine(4, {kCulprit});
  cr_assert(fixture.is_quarantined(kCulprit));
}

Test(crash_ledger, does_not_restore_a_lifted_quarantine) {
  LedgerFixture fixture;
  for (const EngineKey engine : {1, 2, 3}) fixture.crash_engine(engine, {kCulprit});
  const auto quarantined = fixture.ledger.quarantined(fixture.now);
  fixture.ledger.clear(fixture.now, kCulprit);
  fixture.ledger.restore(fixture.now, quarantined.front());
  cr_assert_not(fixture.is_quarantined(kCulprit));
  CrashLedger restarted;
  restarted.restore(fixture.now, quarantined.front());
  cr_assert(status(restarted, fixture.now, kCulprit).quarantine_left.has_value());
}

Test(crash_ledger, quarantines_a_single_caller_until_a_second_one_crashes_an_engine) {
  // Otherwise a caller could get another's request refused by sending a copy.
  LedgerFixture fixture;
  for (const EngineKey engine : {1, 2, 3}) fixture.crash_engine(engine, {kCulprit});
  const auto other = [&] { return fixture.ledger.status(fixture.now, {kCulprit, kOtherCaller}); };
  cr_assert(fixture.is_quarantined(kCulprit));
  cr_assert_not(other().quarantine_left);
  cr_assert_not(fixture.ledger.take_new_quarantines(fixture.now).front().applies_to_all_callers());
  fixture.ledger.on_interrupted(fixture.now, {{kCulprit, kOtherCaller}, 4, false, false});
  fixture.ledger.on_engine_crashed(fixture.now, 4);
  cr_assert(other().quarantine_left.has_value());
  cr_assert(fixture.ledger.take_new_quarantines(fixture.now).front().applies_to_all_callers());
  cr_assert(fixture.ledger.status(fixture.now, {kCulprit, 72}).quarantine_left.has_value());
}

Test(crash_ledger, quarantines_all_callers_if_several_crash_engines) {
  LedgerFixture fixture;
  for (const EngineKey engine : {1, 2, 3}) {
    fixture.ledger.on_interrupted(fixture.now,
                                  {{kCulprit, kCaller + engine}, engine, false, false});
    fixture.ledger.on_engine_crashed(fixture.now, engine);
  }
  cr_assert(fixture.ledger.status(fixture.now, {kCulprit, 99}).quarantine_left.has_value());
}

Test(crash_ledger, reports_engines_that_run_other_suspects) {
  LedgerFixture fixture;
  fixture.crash_engine(1, {kCulprit, kBystander});
  fixture.ledger.begin_trial(fixture.now, kCulprit, 2);
  cr_assert_eq(fixture.ledger.trial_engines(fixture.now, {kBystander}).count(2), 1U);
  cr_assert(fixture.ledger.trial_engines(fixture.now, {kCulprit}).empty(),
            "its own engine is excluded");
  cr_assert(status(fixture.ledger, fixture.now, kCulprit).in_flight);
  fixture.crash_engine(2, {kCulprit});
  cr_assert(fixture.ledger.trial_engines(fixture.now, {kBystander}).empty());
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

namespace {

const RequestIdentity kPart = relay::part_identity("m", 0x29a);
const RequestIdentity kCommonPart = relay::part_identity("m", 11);

/// Lets reports of other parts arrive, and returns the verdicts.
std::size_t settle(LedgerFixture& fixture) {
  fixture.ledger.take_new_quarantines(fixture.now);
  fixture.now += 300ms;
  return fixture.ledger.take_new_quarantines(fixture.now).size();
}

}  // namespace

// Guards against a crashing part that is not found because each request with it is new.
Test(crash_ledger, quarantines_a_part_that_different_requests_have_in_common) {
  LedgerFixture fixture;
  for (EngineKey engine = 1; engine <= 3; ++engine) {
    fixture.crash_engine(engine, {RequestIdentity{engine, 0}, kPart});
  }
  cr_assert_not(fixture.is_quarantined(kPart), "others may still be reported");
  cr_assert_eq(settle(fixture), 1);
  cr_assert(fixture.is_quarantined(kPart));
  cr_assert_eq(relay::part_text(kPart), "29a");
}

// Guards against a verdict on a part that merely comes with the one that crashes engines.
Test(crash_ledger, does_not_blame_parts_that_another_part_explains) {
  LedgerFixture fixture;
  for (EngineKey engine = 1; engine <= 4; ++engine) {
    std::vector<RequestIdentity> causes{RequestIdentity{engine, 0}, kPart};
    if (engine > 1) causes.push_back(kCommonPart);
    fixture.crash_engine(engine, causes);
  }
  cr_assert_eq(settle(fixture), 1);
  cr_assert(fixture.is_quarantined(kPart));
  cr_assert_not(fixture.is_quarantined(kCommonPart));
}

// Guards against a verdict that stays on a part after another one has turned out to be the cause.
Test(crash_ledger, lifts_the_verdict_on_a_part_that_a_later_one_explains) {
  LedgerFixture fixture;
  for (EngineKey engine = 1; engine <= 3; ++engine) {
    fixture.crash_engine(engine, {RequestIdentity{engine, 0}, kCommonPart});
  }
  settle(fixture);
  cr_assert(fixture.is_quarantined(kCommonPart));
  // Reports of the other part arrive late, from another node.
  for (EngineKey engine = 1; engine <= 3; ++engine) {
    fixture.ledger.on_interrupted(fixture.now, interruption(kPart, engine));
    fixture.ledger.on_engine_crashed(fixture.now, engine);
  }
  for (EngineKey engine = 4; engine <= 6; ++engine) {
    fixture.crash_engine(engine, {RequestIdentity{engine, 0}, kPart});
  }
  settle(fixture);
  cr_assert(fixture.is_quarantined(kPart));
  cr_assert_not(fixture.is_quarantined(kCommonPart));
}

// Guards against sound requests that are refused for a part that is always beside the cause.
Test(crash_ledger, parts_that_always_come_together_are_inseparable) {
  LedgerFixture fixture;
  for (EngineKey engine = 1; engine <= 3; ++engine) {
    fixture.crash_engine(engine, {RequestIdentity{engine, 0}, kPart, kCommonPart});
  }
  cr_assert_eq(settle(fixture), 2);
  cr_assert_eq(fixture.ledger.inseparable_parts(kPart).size(), 2);
  fixture.ledger.clear(fixture.now, kCommonPart);
  cr_assert_eq(fixture.ledger.inseparable_parts(kPart).size(), 1, "a request with it completed");
  cr_assert(fixture.is_quarantined(kPart));
}

// Guards against parts that are blamed for a single request that crashes engines.
Test(crash_ledger, does_not_blame_the_parts_of_one_crashing_request) {
  LedgerFixture fixture;
  for (EngineKey engine = 1; engine <= 4; ++engine) {
    fixture.crash_engine(engine, {kCulprit, kPart});
  }
  settle(fixture);
  cr_assert(fixture.is_quarantined(kCulprit));
  cr_assert_not(fixture.is_quarantined(kPart));
}

// Guards against requests that are blamed for crashes under a part of their neighbours.
Test(crash_ledger, does_not_blame_requests_for_crashes_that_a_part_explains) {
  LedgerFixture fixture;
  for (EngineKey engine = 1; engine <= 3; ++engine) {
    fixture.crash_engine(engine, {RequestIdentity{engine, 0}, kPart});
  }
  settle(fixture);
  for (EngineKey engine = 4; engine <= 9; ++engine) {
    fixture.crash_engine(engine, {kBystander, kPart});
  }
  cr_assert_not(fixture.is_quarantined(kBystander));
}

// Guards against parts that count as sound for ever, or that take memory without bound.
Test(part_history, forgets_parts_and_is_bounded) {
  relay::PartHistory history({10s, 3});
  const MonotonicTime start{100s};
  for (std::uint64_t part = 1; part <= 5; ++part) {
    history.on_completed(start, relay::part_identity("m", part));
  }
  cr_assert_eq(history.size(), 3);
  cr_assert(history.completed_lately(start + 10s, relay::part_identity("m", 1)));
  cr_assert_not(history.completed_lately(start + 11s, relay::part_identity("m", 1)));
  cr_assert_not(history.completed_lately(start, relay::part_identity("other", 1)));
  history.expire(start + 11s);
  cr_assert_eq(history.size(), 0);
}
