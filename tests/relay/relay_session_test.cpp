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
  const auto reply = site.request("/once/a%2Fb?x=%20&y", {{"deadline", "900"}, {"own", "kept"}},
                                  "PUT", std::string("a\0b", 3));
  cr_assert_eq(site.http.count(), 1);
  const OutgoingRequest& sent = site.http.at(0).request;
  cr_assert_eq(sent.method, "PUT");
  cr_assert_eq(sent.url, "http://e1:80/once/a%2Fb?x=%20&y");
  cr_assert_eq(sent.body, std::string("a\0b", 3));
  cr_assert_eq(sent.headers.get("own"), "kept");
  cr_assert_eq(sent.headers.get("for-engine"), "e1");
  cr_assert_eq(sent.headers.get("deadline"), "900");
  site.http.answer(0, 201, RelayFixture::sealed_headers(), "made");
  cr_assert_eq(reply->status, 201);
  cr_assert_eq(reply->body, "made");
  cr_assert_eq(reply->headers.get("seal"), "s");
}

Test(relay_session, strips_reserved_and_hop_by_hop_headers) {
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
  const auto reply = site.request("/once/a", {{"id", "r1"}, {"id", "r2"}});
  cr_assert_eq(reply->status, 400);
  cr_assert_eq(site.http.count(), 0);
}

Test(relay_session, does_not_retry_an_unsafe_request_after_an_uncertain_failure) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.add_engine("e2", "plain");
  const auto reply = site.request("/once/a");
  site.http.fail(0, TransferFailure::kUncertain);
  cr_assert_eq(site.http.count(), 1);
  cr_assert_eq(reply->status, 502);
}

Test(relay_session, retries_elsewhere_when_not_sent_or_refused) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.add_engine("e2", "plain");
  site.add_engine("e3", "plain");
  const auto reply = site.request("/once/a");
  site.http.fail(0, TransferFailure::kNothingSent);
  site.http.answer(1, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  cr_assert_eq(site.http.count(), 3);
  cr_assert_neq(site.http.at(2).request.headers.get("for-engine"),
                site.http.at(0).request.headers.get("for-engine"));
  site.http.answer(2, 200, RelayFixture::sealed_headers(), "whole");
  cr_assert_eq(reply->status, 200);
}

Test(relay_session, sends_retry_after_with_a_refusal) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  const auto reply = site.request("/once/a");
  site.http.answer(0, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  cr_assert_eq(reply->status, 503);
  cr_assert_not(reply->headers.get("Retry-After").empty());
}

Test(relay_session, retries_a_safe_request_after_an_engine_error) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.add_engine("e2", "plain");
  const auto reply = site.request("/safe/a", {}, "GET", "");
  site.http.answer(0, 500, RelayFixture::sealed_headers(), "first failure");
  site.http.answer(1, 500, RelayFixture::sealed_headers(), "second failure");
  cr_assert_eq(site.http.count(), 2, "no more engines than the route allows");
  cr_assert_eq(reply->status, 500);
  cr_assert_eq(reply->body, "second failure");
}

Test(relay_session, rejects_a_success_without_seal_or_id) {
  for (const HttpHeaders& headers :
       {HttpHeaders{{"id", "r1"}}, HttpHeaders{{"seal", "s"}}, HttpHeaders{}}) {
    RelayFixture site;
    site.add_engine("e1", "plain");
    const auto reply = site.request("/once/a");
    site.http.answer(0, 200, headers, "bytes");
    cr_assert_eq(reply->status, 502);
    cr_assert(reply->body.empty());
  }
}

Test(relay_session, matches_answers_by_request_id) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.request("/once/a");
  const OutgoingRequest& sent = site.http.at(0).request;
  cr_assert(sent.accepts_answer(200, RelayFixture::sealed_headers("r1")));
  cr_assert_not(sent.accepts_answer(200, RelayFixture::sealed_headers("r0")));
  cr_assert_eq(sent.answer_id, std::optional<std::string>("r1"));
}

// Guards against bytes that belong to no request and promise that the one under way has not run.
Test(relay_session, takes_a_refusal_without_id_for_an_uncertain_answer) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.add_engine("e2", "plain");
  const auto reply = site.request("/once/a");
  site.http.begin(0, 503, {{"refused", "1"}});
  cr_assert_eq(site.http.count(), 1, "it may run at the engine");
  cr_assert_eq(reply->status, 502);
  cr_assert(site.http.at(0).cancelled, "its connection is closed");
}

// Guards against bytes that belong to no request and change what is known of the engine.
Test(relay_session, learns_nothing_from_an_answer_without_id) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  const EngineId engine("e1");
  site.request("/safe/a", {}, "GET", "");
  const HttpHeaders headers{{"load", "900 300"}, {"leaving", "1"}, {"rest-seconds", "9"}};
  site.http.begin(0, 503, headers);
  const MonotonicTime now = site.runtime.now();
  cr_assert_not(site.node->engines().notices().draining(engine));
  cr_assert_not(site.node->engines().notices().refuses_requests(now, engine));
  cr_assert_eq(site.node->engines().find(engine)->total_requests(now), 0);
}

Test(relay_session, cancels_at_once_when_the_caller_disconnects) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.request("/once/a");
  site.caller->disconnect();
  cr_assert(site.http.at(0).cancelled);
  cr_assert_eq(site.node->in_flight(), 0);
}

Test(relay_session, answers_504_at_the_route_timeout_once_sent) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  const auto reply = site.request("/once/a", {{"deadline", "60000"}});
  cr_assert_eq(site.http.at(0).request.headers.get("deadline"), "3000",
               "an engine gets no more time than the route has");
  site.runtime.advance(3s);
  cr_assert(site.http.at(0).cancelled);
  cr_assert_eq(reply->status, 504);
}

Test(relay_session, forwards_the_remaining_deadline) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.add_engine("e2", "plain");
  site.request("/safe/a", {{"deadline", "2000"}}, "GET", "");
  site.runtime.advance(700ms);
  site.http.fail(0, TransferFailure::kUncertain);
  cr_assert_eq(site.http.at(1).request.headers.get("deadline"), "1300");
}

Test(relay_session, prefills_a_long_prompt_remotely_and_decodes_by_its_handle) {
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  const auto reply = site.request("/stream/a", {{"tokens", "20000"}});
  cr_assert_eq(site.http.at(0).request.headers.get("for-engine"), "p");
  cr_assert_eq(site.http.at(0).request.headers.get("stage"), "read");
  site.http.answer(0, 200, {{"id", "r1"}}, "h1");
  cr_assert_eq(site.http.at(1).request.headers.get("for-engine"), "d");
  cr_assert_eq(site.http.at(1).request.headers.get("source"), "p:80/h1");
  cr_assert_eq(site.http.at(1).request.headers.count("stage"), 0);
  site.http.answer(1, 200, RelayFixture::sealed_headers(), "id: 1\ndata: a\n\n");
  cr_assert_eq(reply->body, "id: 1\ndata: a\n\n");
  cr_assert(reply->finished);
  cr_assert_eq(site.http.count(), 2, "a used handle is not released");
}

// Guards against expected times whose error an operator cannot read.
Test(relay_session, reports_actual_over_expected_times) {
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  site.request("/stream/a", {{"tokens", "20000"}});
  site.runtime.advance(505ms);  // As expected by default.
  site.http.answer(0, 200, {{"id", "r1"}}, "h1");
  site.runtime.advance(80ms);  // About ten times the default.
  site.http.answer(1, 200, RelayFixture::sealed_headers(), "id: 1\ndata: a\n\n");
  const std::string text = site.node->metrics().to_text();
  const auto at_most = [&](const std::string& stage, const std::string& bound) {
    const std::string name =
        "actual_over_expected_bucket{service=\"model\",size=\"25000\",stage=\"";
    const std::string line = name + stage + "\",le=\"" + bound + "\"} ";
    const std::size_t at = text.find(line);
    cr_assert(at != std::string::npos, "no %s", line.c_str());
    return text[at + line.size()];
  };
  cr_assert_eq(at_most("prefill", "0.9"), '0');
  cr_assert_eq(at_most("prefill", "1.1"), '1');
  cr_assert_eq(at_most("handover", "5"), '0');
  cr_assert_eq(at_most("handover", "10"), '1');
  cr_assert_eq(at_most("first_event", "1"), '0');
  cr_assert_eq(at_most("first_event", "1.25"), '1');
}

// Guards against a histogram that counts each stream twice.
Test(relay_session, observes_the_first_event_of_a_stream_once) {
  RelayFixture site;
  site.add_engine("e1", "model", EngineStage::kDecode);
  site.request("/stream/a", {{"tokens", "100"}});
  site.http.answer(0, 200, RelayFixture::sealed_headers(), "id: 1\ndata: a\n\n");
  const std::string text = site.node->metrics().to_text();
  const std::string line = "first_event_seconds_count{service=\"model\"} 1\n";
  cr_assert(text.find(line) != std::string::npos, "%s", text.c_str());
}

Test(relay_session, releases_an_unused_handle) {
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  site.request("/stream/a", {{"tokens", "20000"}});
  site.http.answer(0, 200, {{"id", "r1"}}, "h1");
  site.caller->disconnect();
  cr_assert(site.http.at(1).cancelled);
  cr_assert_eq(site.http.at(2).request.method, "DELETE");
  cr_assert_eq(site.http.at(2).request.url, "http://p:80/handle/h1");
}

Test(relay_session, answers_503_when_only_the_prefill_ran) {
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  const auto reply = site.request("/stream/a", {{"tokens", "20000"}});
  site.runtime.advance(3s);
  cr_assert_eq(reply->status, 503);
}

Test(relay_session, prefills_at_the_decode_engine_when_the_handle_is_gone) {
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  site.request("/stream/a", {{"tokens", "20000"}});
  site.http.answer(0, 200, {{"id", "r1"}}, "h1");
  site.http.answer(1, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  cr_assert_eq(site.http.at(2).request.headers.get("for-engine"), "d");
  cr_assert_eq(site.http.at(2).request.headers.count("source"), 0);
}

Test(relay_session, aborts_a_stream_that_ends_inside_an_event) {
  RelayFixture site;
  site.add_engine("d", "model", EngineStage::kDecode);
  const auto reply = site.request("/stream/a", {{"tokens", "100"}});
  site.http.begin(0, 200, RelayFixture::sealed_headers());
  site.http.piece(0, "id: 1\ndata: a\n\nid: 2\nda");
  site.http.finish(0);
  cr_assert_eq(reply->body, "id: 1\ndata: a\n\n", "only complete events are forwarded");
  cr_assert(reply->aborted);
  cr_assert_not(reply->finished);
}

// Guards against a stream without a length that goes on or breaks off though it ended between two
// events, and against one that passes for whole after a reset.
Test(relay_session, takes_the_end_of_the_connection_for_the_end_of_a_stream_only_between_events) {
  for (const bool reset : {false, true}) {
    RelayFixture site;
    site.add_engine("d", "model", EngineStage::kDecode);
    const auto reply = site.request("/stream/a", {{"tokens", "100"}});
    site.http.begin(0, 200, RelayFixture::sealed_headers());
    site.http.piece(0, "id: 1\ndata: a\n\n");
    if (reset) {
      site.http.fail(0, TransferFailure::kUncertain);
    } else {
      site.http.finish(0);
    }
    cr_assert_eq(reply->body, "id: 1\ndata: a\n\n");
    cr_assert_eq(reply->finished, !reset);
    cr_assert_eq(reply->aborted, reset);
  }
}

Test(relay_session, resumes_a_stream_after_its_last_complete_event) {
  RelayFixture site;
  site.add_engine("d1", "model", EngineStage::kDecode);
  site.add_engine("d2", "model", EngineStage::kDecode);
  const auto reply = site.request("/resumable/a", {{"tokens", "100"}});
  site.http.begin(0, 200, {{"id", "r1"}, {"seal", "first"}});
  site.http.piece(0, "id: 1\ndata: a\n\nid: 2\nda");
  site.http.fail(0, TransferFailure::kUncertain);
  cr_assert_eq(site.http.count(), 2);
  cr_assert_eq(site.http.at(1).request.headers.get("last-event"), "1");
  cr_assert_neq(site.http.at(1).request.headers.get("for-engine"),
                site.http.at(0).request.headers.get("for-engine"));
  site.http.answer(1, 200, {{"id", "r1"}, {"seal", "second"}}, "id: 2\ndata: b\n\n");
  cr_assert_eq(reply->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  cr_assert_eq(reply->headers.get("seal"), "first");
  cr_assert_eq(reply->head_count, 1);
  cr_assert(reply->finished);
}

Test(relay_session, aborts_a_resumed_stream_that_repeats_events) {
  RelayFixture site;
  site.add_engine("d1", "model", EngineStage::kDecode);
  site.add_engine("d2", "model", EngineStage::kDecode);
  const auto reply = site.request("/resumable/a", {{"tokens", "100"}});
  site.http.begin(0, 200, RelayFixture::sealed_headers());
  site.http.piece(0, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  site.http.fail(0, TransferFailure::kUncertain);
  site.http.answer(1, 200, RelayFixture::sealed_headers(), "id: 1\ndata: a\n\n");
  cr_assert_eq(reply->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  cr_assert(reply->aborted);
}

Test(relay_session, charges_sends_after_a_refused_prefill_to_the_budget) {
  // Guards against sends after a refused prefill that are not charged.
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  int retries = 0;
  int direct_sends = 0;
  for (int i = 0; i < 60; ++i) {
    const std::size_t first = site.http.count();
    const auto reply = site.request("/stream/a", {{"tokens", "20000"}});
    const bool remote = !site.http.at(first).request.headers.get("stage").empty();
    const bool engine_error = i % 2 == 0;  // The others are refused.
    if (remote && engine_error) site.http.answer(first, 500, {{"id", "r1"}}, "");
    if (remote && !engine_error) site.http.answer(first, 503, {{"id", "r1"}, {"refused", "1"}}, "");
    const bool retried = site.http.count() > first + 1;
    retries += retried ? 1 : 0;
    direct_sends += remote ? 0 : 1;
    if (remote && !retried) cr_assert_eq(reply->status, 503);
    const std::size_t last = site.http.count() - 1;
    if (!remote || retried)
      site.http.answer(last, 200, RelayFixture::sealed_headers(), "id: 1\ndata: a\n\n");
    site.runtime.advance(10ms);
  }
  // This node's share: 80 / 8 of the slack, and half of a fifth of its own 60 requests.
  cr_assert_leq(retries, 10 + 6);
  cr_assert_gt(retries, 0);
  cr_assert_gt(direct_sends, 30,
               "no remote prefill at an engine that just refused once the budget is spent");
}

Test(relay_session, prefills_remotely_without_budget_and_retries_within_it) {
  // Requests in flight together must not pass the budget check together, nor reserve budget for a
  // prefill.
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  constexpr std::size_t kRequests = 30;
  for (std::size_t i = 0; i < kRequests; ++i) site.request("/stream/a", {{"tokens", "20000"}});
  std::size_t remote = 0;
  for (std::size_t i = 0; i < kRequests; ++i) {
    if (site.http.at(i).request.headers.get("stage").empty()) continue;
    ++remote;
    site.http.answer(i, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  }
  cr_assert_gt(remote, 20);
  // This node's share: 80 / 8 of the slack, and half of a fifth of its own 30 requests.
  cr_assert_leq(site.http.count(), kRequests + 10 + 3);
  cr_assert_gt(site.http.count(), kRequests);
}

Test(relay_session, decodes_only_within_the_budget_after_a_refusal) {
  RelayFixture site;
  site.settings.retry_budget.slack = 0;
  site.settings.retry_budget.ratio = 2;
  site.restart();
  for (const char* id : {"d", "e", "f"}) site.add_engine(id, "model", EngineStage::kDecode);
  // Each request earns budget for one extra send.
  for (int i = 0; i < 2; ++i) site.request("/stream/a", {{"tokens", "20000"}});
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.http.answer(0, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  cr_assert_eq(site.http.at(2).request.headers.get("stage"), "read");
  // The other request spends the remaining budget meanwhile.
  site.http.answer(1, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  cr_assert_eq(site.http.count(), 4);
  site.http.answer(2, 200, {{"id", "r1"}}, "h1");
  cr_assert_eq(site.http.count(), 5);
  cr_assert_eq(site.http.at(4).request.url, "http://p:80/handle/h1");
}

Test(relay_session, counts_extra_sends_and_exhausted_budgets) {
  RelayFixture site;
  for (const char* id : {"a", "b", "c", "d"}) site.add_engine(id, "plain", EngineStage::kNone);
  for (std::size_t i = 0; i < 30; ++i) {
    const std::size_t next = site.http.count();
    site.request("/safe/" + std::to_string(i));
    site.http.fail(next, TransferFailure::kUncertain);
  }
  const std::string text = site.node->metrics().to_text();
  const std::string service = "service=\"plain\"";
  // This node's share: 80 / 8 of the slack, and half of a fifth of the 30 requests.
  cr_assert(text.find("extra_sends_total{" + service + "} 13") != std::string::npos);
  cr_assert(text.find("budget_exhausted_total{" + service + "} 17") != std::string::npos);
}

// Guards against a long prompt that could just be in time and waits behind short ones.
Test(relay_session, orders_requests_of_several_kinds_by_slack) {
  for (const auto order : {relay::RequestOrder::kSlack, relay::RequestOrder::kPriority}) {
    RelayFixture site;
    site.settings.order = order;
    site.restart();
    auto configuration = RelayFixture::configuration(2);
    configuration.routes.back().priority = 2;
    site.node->adopt(configuration);
    site.add_engine("p", "model", EngineStage::kPrefill);
    site.add_engine("d", "model", EngineStage::kDecode);
    site.request("/resumable/a", {{"tokens", "29000"}});
    site.request("/stream/b", {{"tokens", "1000"}, {"id", "r2"}});
    site.request("/resumable/c", {{"tokens", "1000"}, {"id", "r3"}});
    const bool slack = order == relay::RequestOrder::kSlack;
    cr_assert_eq(site.http.at(0).request.headers.get("urgency"), slack ? "0" : "2");
    cr_assert_eq(site.http.at(1).request.headers.get("urgency"), slack ? "1" : "0");
    cr_assert_eq(site.http.at(2).request.headers.get("urgency"), slack ? "3" : "2");
  }
}

// Guards against handovers that have become late and delay those that can still be in time, or
// raise the expected handover of the latter.
Test(relay_session, orders_handovers_by_the_time_that_is_left) {
  for (const int prefill_ms : {100, 900, 1100}) {
    RelayFixture site;
    auto configuration = RelayFixture::configuration(2);
    configuration.routes.back().priority = 2;
    site.node->adopt(configuration);
    site.add_engine("p", "model", EngineStage::kPrefill);
    site.add_engine("d", "model", EngineStage::kDecode);
    site.request("/stream/a", {{"tokens", "20000"}});
    site.runtime.advance(std::chrono::milliseconds(prefill_ms));
    site.http.answer(0, 200, {{"id", "r1"}}, "h1");
    const std::string expected = prefill_ms == 100 ? "1" : prefill_ms == 900 ? "0" : "9";
    cr_assert_eq(site.http.at(1).request.headers.get("urgency"), expected, "%d", prefill_ms);
    site.runtime.advance(300ms);
    site.http.answer(1, 200, RelayFixture::sealed_headers(), "id: 1\ndata: a\n\n");
    const double handover_ms = site.node->engines().model_of(ServiceName("model")).handover_ms();
    cr_assert_eq(handover_ms < 100, prefill_ms == 1100);
  }
}

Test(relay_session, sends_late_requests_with_the_lowest_urgency) {
  RelayFixture site;
  site.add_engine("p", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  site.request("/stream/a", {{"tokens", "20000"}});
  cr_assert_eq(site.http.at(0).request.headers.get("urgency"), "0");
  for (const char* id : {"p", "d"}) {
    site.node->engines().on_attempt_sent(EngineId(id), {1000000, false});
  }
  site.request("/stream/b", {{"tokens", "20000"}});
  cr_assert_eq(site.http.at(1).request.headers.get("urgency"), "9");
  site.request("/stream/c", {{"tokens", "20000"}, {"id", "r3"}});
  cr_assert_eq(site.http.at(2).request.headers.get("urgency"), "9");
}

// Guards against announced refusals that are held against the engine: its backoff and the trouble
// reports to all nodes would outlast the change.
Test(relay_session, holds_no_announced_refusal_against_the_engine) {
  RelayFixture site;
  site.add_engine("d1", "model", EngineStage::kDecode);
  site.node->on_load_changed([] {});
  const EngineId engine("d1");
  for (int i = 0; i < 4; ++i) {
    const std::size_t sent = site.http.count();
    site.request("/stream/a", {{"tokens", "100"}});
    // The notice arrives while the request is on its way.
    site.node->queue_stage_notice({engine, {EngineStage::kPrefill, 1, 1500ms}});
    site.http.answer(sent, 503, {{"id", "r1"}, {"refused", "1"}}, "");
    cr_assert_eq(site.http.count(), sent + 1);
  }
  cr_assert_leq(site.node->engines().find(engine)->backoff_until, site.runtime.now());
  cr_assert(site.node->take_troubles().empty());
  // The same without a notice.
  site.node->queue_stage_notice({engine, {EngineStage::kDecode, 1, 0ms}});
  for (int i = 0; i < 4; ++i) {
    const std::size_t sent = site.http.count();
    site.request("/stream/a", {{"tokens", "100"}});
    site.http.answer(sent, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  }
  cr_assert_gt(site.node->engines().find(engine)->backoff_until, site.runtime.now());
  cr_assert_not(site.node->take_troubles().empty());
}

// Guards against announced refusals that are free of charge: the budget bounds all arrivals.
Test(relay_session, charges_a_send_after_an_announced_refusal) {
  for (const double slack : {80.0, 0.0}) {
    RelayFixture site;
    site.settings.retry_budget.slack = slack;
    site.settings.retry_budget.ratio = 0;
    site.restart();
    site.node->set_fleet({1, 0});
    site.runtime.advance(relay::charge_duration(site.settings.retry_budget));
    site.add_engine("e1", "model", EngineStage::kDecode);
    site.add_engine("e2", "model", EngineStage::kDecode);
    site.request("/stream/a", {{"tokens", "100"}});
    const EngineId engine(std::string(site.http.at(0).request.headers.get("for-engine")));
    site.node->queue_stage_notice({engine, {EngineStage::kPrefill, 1, 1500ms}});
    site.http.answer(0, 503, {{"id", "r1"}, {"refused", "1"}}, "");
    cr_assert_eq(site.http.count(), slack > 0 ? 2 : 1);
  }
}

// Guards against refusing a request for retries that reached no engine.
Test(relay_session, returns_the_charge_of_a_retry_that_was_not_sent) {
  RelayFixture site;
  site.settings.retry_budget.slack = 3;
  site.settings.retry_budget.ratio = 0;
  site.restart();
  site.node->set_fleet({1, 0});
  site.runtime.advance(relay::charge_duration(site.settings.retry_budget));
  for (const char* id : {"a", "b", "c"}) site.add_engine(id, "plain");
  const auto reply = site.request("/safe/x");
  site.http.fail(0, TransferFailure::kUncertain);
  site.http.refuse_connection(1);
  cr_assert_eq(site.http.count(), 3U, "the one retry of the budget is left");
  site.http.answer(2, 200, RelayFixture::sealed_headers(), "whole");
  cr_assert_eq(reply->status, 200);
}

// Guards against refusing a request at once whose caller waits for longer than any duration.
Test(relay_session, takes_a_deadline_beyond_the_timeout_of_the_route_for_that_timeout) {
  for (const char* deadline : {"3001", "9223372036854776", "9223372036854775807"}) {
    RelayFixture site;
    site.add_engine("e1", "plain");
    const auto reply = site.request("/safe/a", {{"deadline", deadline}});
    cr_assert_eq(site.http.count(), 1, "%s: status %d", deadline, reply->status);
    cr_assert_eq(site.http.at(0).request.headers.get("deadline"), "3000");
  }
}

Test(relay_session, sends_nothing_for_a_deadline_in_the_past) {
  for (const char* deadline : {"0", "-1", "-9223372036854775808"}) {
    RelayFixture site;
    site.add_engine("e1", "plain");
    cr_assert_eq(site.request("/safe/a", {{"deadline", deadline}})->status, 503);
    cr_assert_eq(site.http.count(), 0, "%s", deadline);
  }
}
