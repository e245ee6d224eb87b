#include "relay/relay_session.hpp"

#include <criterion/criterion.h>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;

Test(relay_session, passes_method_target_and_body_unchanged) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  const auto seen = site.request("/once/a%2Fb?x=%20&y", {{"deadline", "900"}, {"own", "kept"}},
                                 "PUT", std::string("a\0b", 3));
  cr_assert_eq(site.http.count(), 1);
  const OutgoingRequest& sent = site.http.at(0).request;
  cr_assert_eq(sent.method, "PUT");
  cr_assert_eq(sent.url, "http://e1:80/once/a%2Fb?x=%20&y");
  cr_assert_eq(sent.body, std::string("a\0b", 3));
  cr_assert_eq(sent.headers.get("own"), "kept");
  cr_assert_eq(sent.headers.get("for-engine"), "e1");
  cr_assert_eq(sent.headers.get("deadline"), "900");
  site.http.answer(0, 201, RelayFixture::sealed(), "made");
  cr_assert_eq(seen->status, 201);
  cr_assert_eq(seen->body, "made");
  cr_assert_eq(seen->headers.get("seal"), "s");
}

Test(relay_session, removes_what_only_the_system_may_set_and_what_concerns_one_connection) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.request("/once/a", {{"for-engine", "other"},
                           {"stage", "read"},
                           {"Connection", "close, private"},
                           {"private", "1"},
                           {"Transfer-Encoding", "chunked"}});
  const HttpHeaders& headers = site.http.at(0).request.headers;
  cr_assert_eq(headers.count("for-engine"), 1);
  cr_assert_eq(headers.get("for-engine"), "e1");
  cr_assert_eq(headers.count("stage"), 0);
  cr_assert_eq(headers.count("private"), 0);
  cr_assert_eq(headers.count("Connection"), 0);
  cr_assert_eq(headers.count("Transfer-Encoding"), 0);
}

Test(relay_session, refuses_a_request_with_two_ids) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  const auto seen = site.request("/once/a", {{"id", "r1"}, {"id", "r2"}});
  cr_assert_eq(seen->status, 400);
  cr_assert_eq(site.http.count(), 0);
}

Test(relay_session, sends_what_may_run_once_nowhere_else_after_an_uncertain_end) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.add_engine("e2", "plain");
  const auto seen = site.request("/once/a");
  site.http.fail(0, TransferFailure::kUncertain);
  cr_assert_eq(site.http.count(), 1);
  cr_assert_eq(seen->status, 502);
}

Test(relay_session, tries_elsewhere_what_was_not_sent_or_was_refused) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.add_engine("e2", "plain");
  site.add_engine("e3", "plain");
  const auto seen = site.request("/once/a");
  site.http.fail(0, TransferFailure::kNothingSent);
  site.http.answer(1, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  cr_assert_eq(site.http.count(), 3);
  cr_assert_neq(site.http.at(2).request.headers.get("for-engine"),
                site.http.at(0).request.headers.get("for-engine"));
  site.http.answer(2, 200, RelayFixture::sealed(), "whole");
  cr_assert_eq(seen->status, 200);
}

Test(relay_session, tells_a_refused_caller_when_to_come_back) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  const auto seen = site.request("/once/a");
  site.http.answer(0, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  cr_assert_eq(seen->status, 503);
  cr_assert_not(seen->headers.get("Retry-After").empty());
}

Test(relay_session, repeats_a_safe_request_after_an_engines_own_failure) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.add_engine("e2", "plain");
  const auto seen = site.request("/safe/a", {}, "GET", "");
  site.http.answer(0, 500, RelayFixture::sealed(), "first failure");
  site.http.answer(1, 500, RelayFixture::sealed(), "second failure");
  cr_assert_eq(site.http.count(), 2, "no more engines than the route allows");
  cr_assert_eq(seen->status, 500);
  cr_assert_eq(seen->body, "second failure");
}

Test(relay_session, does_not_take_a_success_without_the_engines_seal_or_id) {
  for (const HttpHeaders& headers :
       {HttpHeaders{{"id", "r1"}}, HttpHeaders{{"seal", "s"}}, HttpHeaders{}}) {
    RelayFixture site;
    site.add_engine("e1", "plain");
    const auto seen = site.request("/once/a");
    site.http.answer(0, 200, headers, "bytes");
    cr_assert_eq(seen->status, 502);
    cr_assert(seen->body.empty());
  }
}

Test(relay_session, knows_which_answers_belong_to_it) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.request("/once/a");
  const auto& belongs = site.http.at(0).request.accepts_answer;
  cr_assert(belongs(200, RelayFixture::sealed("r1")));
  cr_assert_not(belongs(200, RelayFixture::sealed("r0")));
}

Test(relay_session, cancels_at_once_when_the_caller_leaves) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.request("/once/a");
  site.caller->caller_leaves();
  cr_assert(site.http.at(0).cancelled);
  cr_assert_eq(site.node->under_way(), 0);
}

Test(relay_session, ends_at_the_routes_timeout_with_no_promise_once_it_was_sent) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  const auto seen = site.request("/once/a", {{"deadline", "60000"}});
  cr_assert_eq(site.http.at(0).request.headers.get("deadline"), "3000",
               "an engine gets no more time than the route has");
  site.runtime.advance(3s);
  cr_assert(site.http.at(0).cancelled);
  cr_assert_eq(seen->status, 504);
}

Test(relay_session, hands_on_what_is_left_of_the_time) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.add_engine("e2", "plain");
  site.request("/safe/a", {{"deadline", "2000"}}, "GET", "");
  site.runtime.advance(700ms);
  site.http.fail(0, TransferFailure::kUncertain);
  cr_assert_eq(site.http.at(1).request.headers.get("deadline"), "1300");
}

Test(relay_session, reads_a_long_prompt_apart_and_takes_it_up_by_its_handle) {
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  const auto seen = site.request("/stream/a", {{"tokens", "20000"}});
  cr_assert_eq(site.http.at(0).request.headers.get("for-engine"), "p");
  cr_assert_eq(site.http.at(0).request.headers.get("stage"), "read");
  site.http.answer(0, 200, {{"id", "r1"}}, "h1");
  cr_assert_eq(site.http.at(1).request.headers.get("for-engine"), "d");
  cr_assert_eq(site.http.at(1).request.headers.get("source"), "p:80/h1");
  cr_assert_eq(site.http.at(1).request.headers.count("stage"), 0);
  site.http.answer(1, 200, RelayFixture::sealed(), "id: 1\ndata: a\n\n");
  cr_assert_eq(seen->body, "id: 1\ndata: a\n\n");
  cr_assert(seen->finished);
  cr_assert_eq(site.http.count(), 2, "a handle that was taken is not freed");
}

Test(relay_session, frees_the_handle_that_nobody_took_up) {
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  site.request("/stream/a", {{"tokens", "20000"}});
  site.http.answer(0, 200, {{"id", "r1"}}, "h1");
  site.caller->caller_leaves();
  cr_assert(site.http.at(1).cancelled);
  cr_assert_eq(site.http.at(2).request.method, "DELETE");
  cr_assert_eq(site.http.at(2).request.url, "http://p:80/handle/h1");
}

Test(relay_session, promises_not_run_when_only_the_prompt_was_read) {
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  const auto seen = site.request("/stream/a", {{"tokens", "20000"}});
  site.runtime.advance(3s);
  cr_assert_eq(seen->status, 503);
}

Test(relay_session, reads_at_the_decode_engine_when_the_handle_is_gone) {
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  site.request("/stream/a", {{"tokens", "20000"}});
  site.http.answer(0, 200, {{"id", "r1"}}, "h1");
  site.http.answer(1, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  cr_assert_eq(site.http.at(2).request.headers.get("for-engine"), "d");
  cr_assert_eq(site.http.at(2).request.headers.count("source"), 0);
}

Test(relay_session, breaks_a_stream_off_that_ends_inside_an_event) {
  RelayFixture site;
  site.add_engine("d", "model", EngineStage::kDecode);
  const auto seen = site.request("/stream/a", {{"tokens", "100"}});
  site.http.begin(0, 200, RelayFixture::sealed());
  site.http.piece(0, "id: 1\ndata: a\n\nid: 2\nda");
  site.http.finish(0);
  cr_assert_eq(seen->body, "id: 1\ndata: a\n\n", "only whole events go on");
  cr_assert(seen->aborted);
  cr_assert_not(seen->finished);
}

Test(relay_session, takes_a_resumable_stream_up_behind_its_last_whole_event) {
  RelayFixture site;
  site.add_engine("d1", "model", EngineStage::kDecode);
  site.add_engine("d2", "model", EngineStage::kDecode);
  const auto seen = site.request("/resumable/a", {{"tokens", "100"}});
  site.http.begin(0, 200, {{"id", "r1"}, {"seal", "first"}});
  site.http.piece(0, "id: 1\ndata: a\n\nid: 2\nda");
  site.http.fail(0, TransferFailure::kUncertain);
  cr_assert_eq(site.http.count(), 2);
  cr_assert_eq(site.http.at(1).request.headers.get("last-event"), "1");
  cr_assert_neq(site.http.at(1).request.headers.get("for-engine"),
                site.http.at(0).request.headers.get("for-engine"));
  site.http.answer(1, 200, {{"id", "r1"}, {"seal", "second"}}, "id: 2\ndata: b\n\n");
  cr_assert_eq(seen->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  cr_assert_eq(seen->headers.get("seal"), "first");
  cr_assert_eq(seen->heads, 1);
  cr_assert(seen->finished);
}

Test(relay_session, joins_no_stream_that_comes_before_its_place) {
  RelayFixture site;
  site.add_engine("d1", "model", EngineStage::kDecode);
  site.add_engine("d2", "model", EngineStage::kDecode);
  const auto seen = site.request("/resumable/a", {{"tokens", "100"}});
  site.http.begin(0, 200, RelayFixture::sealed());
  site.http.piece(0, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  site.http.fail(0, TransferFailure::kUncertain);
  site.http.answer(1, 200, RelayFixture::sealed(), "id: 1\ndata: a\n\n");
  cr_assert_eq(seen->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  cr_assert(seen->aborted);
}

Test(relay_session, spends_the_budget_for_what_follows_a_refused_prompt) {
  // Once 358 extra sends where 186 were allowed: what followed refused prompts was not counted.
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  int sent_again = 0;
  int read_directly = 0;
  for (int i = 0; i < 60; ++i) {
    const std::size_t first = site.http.count();
    const auto seen = site.request("/stream/a", {{"tokens", "20000"}});
    const bool apart = !site.http.at(first).request.headers.get("stage").empty();
    const bool fails = i % 2 == 0;  // The others are refused.
    if (apart && fails) site.http.answer(first, 500, {{"id", "r1"}}, "");
    if (apart && !fails) site.http.answer(first, 503, {{"id", "r1"}, {"refused", "1"}}, "");
    const bool again = site.http.count() > first + 1;
    sent_again += again ? 1 : 0;
    read_directly += apart ? 0 : 1;
    if (apart && !again) cr_assert_eq(seen->status, 503);
    const std::size_t last = site.http.count() - 1;
    if (!apart || again) site.http.answer(last, 200, RelayFixture::sealed(), "id: 1\ndata: a\n\n");
    site.runtime.advance(10ms);
  }
  // The share of one of 8 nodes: 80 / 8 and half of a fifth of its own 60 requests.
  cr_assert_leq(sent_again, 10 + 6);
  cr_assert_gt(sent_again, 0);
  cr_assert_gt(read_directly, 30, "what has just refused gets no prompt once the budget is spent");
}

Test(relay_session, reads_prompts_apart_without_budget_and_sends_again_within_it) {
  // An overload at 66 nodes broke the bound: while one answer was awaited, others passed the check.
  // Later each prompt under way had budget set aside, and others waited for it: a trial lost 0.02
  // of the worth of the days with trouble.
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  constexpr std::size_t kRequests = 30;
  for (std::size_t i = 0; i < kRequests; ++i) site.request("/stream/a", {{"tokens", "20000"}});
  std::size_t apart = 0;
  for (std::size_t i = 0; i < kRequests; ++i) {
    if (site.http.at(i).request.headers.get("stage").empty()) continue;
    ++apart;
    site.http.answer(i, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  }
  cr_assert_gt(apart, 20);
  // The share of one of 8 nodes: 80 / 8 and half of a fifth of its own 30 requests.
  cr_assert_leq(site.http.count(), kRequests + 10 + 3);
  cr_assert_gt(site.http.count(), kRequests);
}

Test(relay_session, takes_a_prompt_up_only_within_the_budget_once_an_engine_has_refused) {
  RelayFixture site;
  site.settings.retry_budget.slack = 0;
  site.settings.retry_budget.ratio = 2;
  site.start_anew();
  for (const char* id : {"d", "e", "f"}) site.add_engine(id, "model", EngineStage::kDecode);
  // Each request is worth one extra send.
  for (int i = 0; i < 2; ++i) site.request("/stream/a", {{"tokens", "20000"}});
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.http.answer(0, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  cr_assert_eq(site.http.at(2).request.headers.get("stage"), "read");
  // The other request spends what was left meanwhile.
  site.http.answer(1, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  cr_assert_eq(site.http.count(), 4);
  site.http.answer(2, 200, {{"id", "r1"}}, "h1");
  cr_assert_eq(site.http.count(), 5);
  cr_assert_eq(site.http.at(4).request.url, "http://p:80/handle/h1");
}

Test(relay_session, counts_what_the_retry_budget_paid_for_and_what_it_forbade) {
  RelayFixture site;
  for (const char* id : {"a", "b", "c", "d"}) site.add_engine(id, "plain", EngineStage::kNone);
  for (std::size_t i = 0; i < 30; ++i) {
    const std::size_t next = site.http.count();
    site.request("/safe/" + std::to_string(i));
    site.http.fail(next, TransferFailure::kUncertain);
  }
  const std::string text = site.node->metrics().to_text();
  const std::string service = "service=\"plain\"";
  // The share of one of 8 nodes: 80 / 8, and half of a fifth of the 30 requests.
  cr_assert(text.find("extra_sends_total{" + service + "} 13") != std::string::npos);
  cr_assert(text.find("budget_exhausted_total{" + service + "} 17") != std::string::npos);
}

Test(relay_session, gives_what_cannot_be_in_time_the_least_urgency) {
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  site.request("/stream/a", {{"tokens", "20000"}});
  cr_assert_eq(site.http.at(0).request.headers.get("urgency"), "0");
  for (const char* id : {"p", "d"}) {
    site.node->engines().on_sent(EngineId(id), {1000000, false});
  }
  site.request("/stream/b", {{"tokens", "20000"}});
  cr_assert_eq(site.http.at(1).request.headers.get("urgency"), "9");
  site.request("/stream/c", {{"tokens", "20000"}, {"id", "r3"}});
  cr_assert_eq(site.http.at(2).request.headers.get("urgency"), "9");
}
