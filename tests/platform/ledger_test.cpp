// The soak is worth what its ledger finds: each promise, broken on purpose.
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

struct Played {
  Played() {
    this->ledger.on_sent(once("a"));
    this->ledger.on_sent(once("b"));
    this->ledger.on_sent(stream("s"));
  }
  void run(const std::string& id) {
    const SentRequest& request = *this->ledger.find(id);
    this->ledger.on_arrival(id, request.service, false);
    this->ledger.on_run(id, request.service, request.method, request.target, request.body);
  }
  bool broke(const std::string& rule) const {
    const auto& broken = this->ledger.violations();
    return broken.size() == 1 && broken[0].rule == rule;
  }
  Ledger ledger{{0.2, 3, std::chrono::seconds(10)}};
};

}  // namespace

Test(ledger, finds_nothing_in_a_sound_day) {
  Played played;
  played.run("a");
  const std::string seal = played.ledger.seal_answer({"a", 200, "text"});
  played.ledger.on_answer_received("a", 200, seal, "text");
  played.ledger.on_answer_received("b", 503, "", "");
  played.run("s");
  for (std::uint64_t i = 1; i <= 3; ++i) {
    played.ledger.on_event_received("s", i, Ledger::event_text("s", i));
  }
  played.ledger.on_stream_end_received("s", 3);
  cr_assert(played.ledger.violations().empty());
}

Test(ledger, finds_a_request_that_ran_twice) {
  Played played;
  played.run("a");
  played.run("a");
  cr_assert(played.broke("TWICE"));
}

Test(ledger, finds_a_refusal_of_what_had_run_or_runs_later) {
  Played before;
  before.run("a");
  before.ledger.on_answer_received("a", 503, "", "");
  cr_assert(before.broke("REFUSED"));
  Played after;
  after.ledger.on_answer_received("a", 503, "", "");
  after.run("a");
  cr_assert(after.broke("REFUSED"));
}

Test(ledger, finds_mixed_answers) {
  const std::vector<std::pair<std::string, std::string>> wrong = {{"b", "text"}, {"a", "other"}};
  for (const auto& [id, body] : wrong) {
    Played played;
    const std::string seal = played.ledger.seal_answer({"a", 200, "text"});
    played.ledger.on_answer_received(id, 200, seal, body);
    cr_assert_not(played.ledger.violations().empty());
    cr_assert_eq(played.ledger.violations()[0].rule, "MIXED");
  }
  Played unsealed;
  unsealed.ledger.on_answer_received("a", 200, "", "text");
  cr_assert(unsealed.broke("MIXED"));
  Played handle;
  handle.ledger.on_handle_created("h", "a");
  handle.ledger.on_handle_used("h", "b");
  cr_assert(handle.broke("MIXED"));
}

Test(ledger, finds_streams_with_gaps_and_false_ends) {
  Played gap;
  gap.ledger.on_event_received("s", 1, Ledger::event_text("s", 2));
  cr_assert(gap.broke("ORDER"));
  Played end;
  end.ledger.on_stream_end_received("s", 2);
  cr_assert(end.broke("ORDER"));
}

Test(ledger, finds_what_nobody_asked_for) {
  Played unknown;
  unknown.ledger.on_run("x", "plain", "POST", "/once/", "body");
  cr_assert(unknown.broke("UNASKED"));
  Played changed;
  changed.ledger.on_run("a", "plain", "POST", "/once/", "other body");
  cr_assert(changed.broke("UNASKED"));
  Played elsewhere;
  elsewhere.ledger.on_run("a", "model", "POST", "/once/", "body");
  cr_assert(elsewhere.broke("ROUTE"));
}

Test(ledger, finds_two_machines_under_one_fence) {
  Played played;
  played.ledger.on_order("e", "n1/abc", 4);
  played.ledger.on_order("e", "n1/def", 4);
  cr_assert(played.ledger.violations().empty(), "two starts of one machine");
  played.ledger.on_order("e", "n2/abc", 4);
  cr_assert(played.broke("ONE"));
}

Test(ledger, finds_retries_beyond_the_bound) {
  Played played;
  for (int i = 0; i < 4; ++i) played.ledger.on_arrival("s", "model", false);
  cr_assert(played.ledger.violations().empty(), "three repeats of one request");
  played.ledger.on_arrival("s", "model", false);
  cr_assert(played.broke("BUDGET"));
}

Test(ledger, leaves_out_the_first_prompt_that_is_read_apart) {
  Played played;
  played.ledger.on_arrival("s", "model", true);
  for (int i = 0; i < 4; ++i) played.ledger.on_arrival("s", "model", false);
  cr_assert(played.ledger.violations().empty(), "three repeats of one request");
  played.ledger.on_arrival("s", "model", true);
  cr_assert(played.broke("BUDGET"), "a second prompt");
}
