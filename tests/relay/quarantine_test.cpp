#include "relay/quarantine.hpp"

#include <criterion/criterion.h>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::CrashEvent;
using relay::RequestIdentity;

namespace {

constexpr RequestIdentity kRequest{1, 1};
constexpr relay::CallerRequest kAttempt{kRequest, 5};
const std::vector<std::string> kEngines{"a", "b", "c", "d"};

/// A node with four engines.
struct QuarantineFixture {
  QuarantineFixture() {
    for (const std::string& id : kEngines) this->site.add_engine(id, "plain");
  }

  relay::Quarantine& quarantine() { return this->site.node->quarantine(); }

  /// An engine interrupts a request that it was sent just now.
  void interrupt(const std::string& engine) {
    this->quarantine().on_interrupted({kAttempt}, EngineId(engine), this->site.runtime.now());
  }

  /// Answers all liveness checks, or refuses their connections.
  void answer_liveness_checks(bool alive) {
    for (std::size_t i = 0; i < this->site.http.count(); ++i) {
      if (this->site.http.at(i).done) continue;
      if (alive) {
        this->site.http.answer(i, 200, {}, "decode");
      } else {
        this->site.http.refuse_connection(i);
      }
    }
  }

  std::vector<relay::CrashReport> reports() { return this->quarantine().take_reports(); }

  RelayFixture site;
};

}  // namespace

Test(quarantine, checks_no_engine_after_a_single_interruption) {
  QuarantineFixture fixture;
  fixture.interrupt("a");
  cr_assert_eq(fixture.site.http.count(), 0U);
  cr_assert(fixture.reports().empty(), "no report while the attempt continues");
}

// Guards against a late 421 to a caller's request that passes for the end of an engine.
Test(quarantine, accepts_no_answer_to_a_request_as_one_to_a_liveness_check) {
  QuarantineFixture fixture;
  for (const char* engine : {"a", "b", "c"}) fixture.interrupt(engine);
  cr_assert_gt(fixture.site.http.count(), 0U);
  const OutgoingRequest& call = fixture.site.http.at(0).request;
  cr_assert(call.accepts_answer(421, {}));
  cr_assert_not(call.accepts_answer(421, {{"id", "r1"}}));
  cr_assert_eq(call.answer_id, std::optional<std::string>(""));
}

Test(quarantine, clears_a_request_whose_engines_are_alive) {
  QuarantineFixture fixture;
  for (const char* engine : {"a", "b", "c"}) fixture.interrupt(engine);
  fixture.answer_liveness_checks(true);
  cr_assert_not(fixture.quarantine().status(kAttempt).is_suspect());
  fixture.site.runtime.advance(1s);
  cr_assert_eq(fixture.site.http.count(), 3U, "each engine is checked once");
}

Test(quarantine, quarantines_a_request_whose_engines_crashed) {
  QuarantineFixture fixture;
  for (const char* engine : {"a", "b", "c"}) fixture.interrupt(engine);
  cr_assert_not(fixture.quarantine().status(kAttempt).quarantine_left,
                "not before the crashes are confirmed");
  fixture.answer_liveness_checks(false);
  cr_assert(fixture.quarantine().status(kAttempt).quarantine_left.has_value());
}

Test(quarantine, ignores_draining_engines) {
  QuarantineFixture fixture;
  for (const char* engine : {"a", "b", "c"}) {
    fixture.site.add_engine(engine, "plain", relay::EngineStage::kNone, true);
    fixture.interrupt(engine);
  }
  cr_assert_not(fixture.quarantine().status(kAttempt).is_suspect());
}

Test(quarantine, ignores_requests_sent_after_the_crash) {
  // A connection may still be accepted on behalf of a crashed engine.
  QuarantineFixture fixture;
  for (const char* engine : {"a", "b", "c"})
    fixture.quarantine().on_engine_crashed(EngineId(engine));
  fixture.site.runtime.advance(1ms);
  for (const char* engine : {"a", "b", "c"}) fixture.interrupt(engine);
  cr_assert_not(fixture.quarantine().status(kAttempt).is_suspect());
}

Test(quarantine, detects_crashes_by_the_engine_list_and_by_a_reused_address) {
  QuarantineFixture fixture;
  for (const char* engine : {"a", "b"}) fixture.interrupt(engine);
  fixture.site.node->remove_engine("a");
  cr_assert_eq(fixture.quarantine().status(kAttempt).crashes, 1U);
  relay::EngineRecord next;
  next.id = EngineId("b2");
  next.service = ServiceName("plain");
  next.address = "b:80";
  fixture.site.node->set_engine(next);
  cr_assert_eq(fixture.quarantine().status(kAttempt).crashes, 2U);
}

Test(quarantine, clears_a_request_when_its_engine_is_listed_again) {
  // The store was unavailable for a while, and the engine's record with it.
  QuarantineFixture fixture;
  fixture.interrupt("a");
  fixture.site.node->remove_engine("a");
  fixture.site.runtime.advance(1s);
  fixture.site.add_engine("a", "plain");
  cr_assert_not(fixture.quarantine().status(kAttempt).is_suspect());
}

Test(quarantine, reports_a_failed_attempt_several_times) {
  QuarantineFixture fixture;
  fixture.interrupt("a");
  fixture.quarantine().on_attempt_failed(kRequest);
  int report_count = 0;
  for (int i = 0; i < 20; ++i) {
    for (const relay::CrashReport& report : fixture.reports()) {
      cr_assert(report.event == CrashEvent::kInterrupted);
      cr_assert(report.request == kRequest);
      ++report_count;
    }
    fixture.site.runtime.advance(100ms);
  }
  cr_assert_eq(report_count, 4);
}

Test(quarantine, reports_an_unresponsive_engine_once_its_crash_is_confirmed) {
  QuarantineFixture fixture;
  fixture.quarantine().on_unresponsive(kAttempt, EngineId("a"), fixture.site.runtime.now());
  fixture.quarantine().on_attempt_failed(kRequest);
  cr_assert(fixture.reports().empty(), "unresponsiveness alone is not reported");
  fixture.site.node->remove_engine("a");
  const auto reports = fixture.reports();
  cr_assert_eq(reports.size(), 1U);
  cr_assert(reports.front().event == CrashEvent::kCrashed);
}

Test(quarantine, reports_completion_only_if_peers_suspect_the_request) {
  QuarantineFixture fixture;
  fixture.interrupt("a");
  fixture.quarantine().on_completed(kRequest);
  cr_assert(fixture.reports().empty());
  fixture.site.runtime.advance(1ms);
  fixture.interrupt("b");
  fixture.quarantine().on_attempt_failed(kRequest);
  fixture.reports();
  fixture.quarantine().on_completed(kRequest);
  const auto reports = fixture.reports();
  cr_assert(reports.back().event == CrashEvent::kCleared);
}

Test(quarantine, reports_completion_of_a_request_that_a_peer_reported) {
  QuarantineFixture fixture;
  fixture.quarantine().on_peer_reports({{CrashEvent::kCrashed, kRequest, 1, 5, 100}});
  cr_assert(fixture.reports().empty(), "only nodes with evidence of their own report");
  fixture.quarantine().on_completed(kRequest);
  const auto reports = fixture.reports();
  cr_assert_eq(reports.size(), 1U);
  cr_assert(reports.front().event == CrashEvent::kCleared);
}

Test(quarantine, releases_a_request_for_an_operator) {
  QuarantineFixture fixture;
  for (const char* engine : {"a", "b", "c"}) fixture.interrupt(engine);
  fixture.answer_liveness_checks(false);
  cr_assert_eq(fixture.quarantine().quarantined().size(), 1U);
  cr_assert(fixture.quarantine().release(kRequest));
  cr_assert(fixture.quarantine().quarantined().empty());
  cr_assert_not(fixture.quarantine().release(kRequest), "released only once");
}
