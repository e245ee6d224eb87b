// Guards against a ledger that misses violations: breaks each guarantee on purpose.
#include "platform/support/ledger.hpp"

#include <criterion/criterion.h>

using namespace shuntbank::testing;

namespace {

SentRequest once(const std::string& id) {
  return {id, "POST", "/once/", "body", "plain", false, 0};
}

SentRequest stream(const std::string& id) {
  return {id, "POST", "/stream/", "body", "model", true, 3};
}

struct LedgerFixture {
  LedgerFixture() {
    this->ledger.on_sent(once("a"));
    this->ledger.on_sent(once("b"));
    this->ledger.on_sent(stream("s"));
  }
  void run(const std::string& id) {
    const SentRequest& request = *this->ledger.find(id);
    this->ledger.on_arrival(id, request.service, false);
    this->ledger.on_run(id, request.service, request.method, request.target, request.body);
  }
  bool only_violation_is(const std::string& rule) const {
    const auto& violations = this->ledger.violations();
    return violations.size() == 1 && violations[0].rule == rule;
  }
  Ledger ledger{{0.2, 3, std::chrono::seconds(10)}};
};

}  // namespace

Test(ledger, accepts_a_run_without_violations) {
  LedgerFixture fixture;
  fixture.run("a");
  const std::string seal = fixture.ledger.seal_answer({"a", 200, "text"});
  fixture.ledger.on_answer_received("a", 200, seal, "text");
  fixture.ledger.on_answer_received("b", 503, "", "");
  fixture.run("s");
  for (std::uint64_t i = 1; i <= 3; ++i) {
    fixture.ledger.on_event_received("s", i, Ledger::event_text("s", i));
  }
  fixture.ledger.on_stream_end_received("s", 3);
  cr_assert(fixture.ledger.violations().empty());
}

Test(ledger, finds_a_request_that_ran_twice) {
  LedgerFixture fixture;
  fixture.run("a");
  fixture.run("a");
  cr_assert(fixture.only_violation_is("TWICE"));
}

Test(ledger, finds_a_refused_request_that_ran) {
  LedgerFixture before;
  before.run("a");
  before.ledger.on_answer_received("a", 503, "", "");
  cr_assert(before.only_violation_is("REFUSED"));
  LedgerFixture after;
  after.ledger.on_answer_received("a", 503, "", "");
  after.run("a");
  cr_assert(after.only_violation_is("REFUSED"));
}

Test(ledger, finds_mixed_answers) {
  const std::vector<std::pair<std::string, std::string>> wrong = {{"b", "text"}, {"a", "other"}};
  for (const auto& [id, body] : wrong) {
    LedgerFixture fixture;
    const std::string seal = fixture.ledger.seal_answer({"a", 200, "text"});
    fixture.ledger.on_answer_received(id, 200, seal, body);
    cr_assert_not(fixture.ledger.violations().empty());
    cr_assert_eq(fixture.ledger.violations()[0].rule, "MIXED");
  }
  LedgerFixture unsealed;
  unsealed.ledger.on_answer_received("a", 200, "", "text");
  cr_assert(unsealed.only_violation_is("MIXED"));
  LedgerFixture handle;
  handle.ledger.on_handle_created("h", "a");
  handle.ledger.on_handle_used("h", "b");
  cr_assert(handle.only_violation_is("MIXED"));
}

Test(ledger, finds_streams_with_gaps_and_false_ends) {
  LedgerFixture gap;
  gap.ledger.on_event_received("s", 1, Ledger::event_text("s", 2));
  cr_assert(gap.only_violation_is("ORDER"));
  LedgerFixture end;
  end.ledger.on_stream_end_received("s", 2);
  cr_assert(end.only_violation_is("ORDER"));
}

Test(ledger, finds_unrequested_and_misrouted_executions) {
  LedgerFixture unknown;
  unknown.ledger.on_run("x", "plain", "POST", "/once/", "body");
  cr_assert(unknown.only_violation_is("UNASKED"));
  LedgerFixture changed;
  changed.ledger.on_run("a", "plain", "POST", "/once/", "other body");
  cr_assert(changed.only_violation_is("UNASKED"));
  LedgerFixture elsewhere;
  elsewhere.ledger.on_run("a", "model", "POST", "/once/", "body");
  cr_assert(elsewhere.only_violation_is("ROUTE"));
}

Test(ledger, finds_two_machines_under_one_fence) {
  LedgerFixture fixture;
  fixture.ledger.on_order("e", "n1/abc", 4);
  fixture.ledger.on_order("e", "n1/def", 4);
  cr_assert(fixture.ledger.violations().empty(), "the same machine after a restart");
  fixture.ledger.on_order("e", "n2/abc", 4);
  cr_assert(fixture.only_violation_is("ONE"));
}

Test(ledger, finds_retries_beyond_the_bound) {
  LedgerFixture fixture;
  for (int i = 0; i < 4; ++i) fixture.ledger.on_arrival("s", "model", false);
  cr_assert(fixture.ledger.violations().empty(), "three retries of one request");
  fixture.ledger.on_arrival("s", "model", false);
  cr_assert(fixture.only_violation_is("BUDGET"));
}

Test(ledger, does_not_count_the_first_remote_prefill_as_a_retry) {
  LedgerFixture fixture;
  fixture.ledger.on_arrival("s", "model", true);
  for (int i = 0; i < 4; ++i) fixture.ledger.on_arrival("s", "model", false);
  cr_assert(fixture.ledger.violations().empty(), "three retries of one request");
  fixture.ledger.on_arrival("s", "model", true);
  cr_assert(fixture.only_violation_is("BUDGET"), "a second remote prefill");
}
