// Tests that an answer which never ends is cut off once it is known to be unusable.
#include <criterion/criterion.h>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;

namespace {

constexpr std::size_t kPieceSize = 64UL << 10U;
constexpr std::size_t kMegabyte = 1UL << 20U;

/// Sends a body without end. @return the bytes that were sent until the node closed the connection,
/// or `max` if it did not.
std::size_t send_without_end(RelayFixture& site, std::size_t index, std::size_t max,
                             const std::string& piece = std::string(kPieceSize, 'x')) {
  std::size_t sent = 0;
  while (!site.http.at(index).cancelled && sent < max) {
    site.http.piece(index, piece);
    sent += piece.size();
  }
  return sent;
}

/// A site with two engines of a service.
struct TwoEngines : RelayFixture {
  explicit TwoEngines(const std::string& service) {
    const EngineStage stage = service == "model" ? EngineStage::kDecode : EngineStage::kNone;
    for (const char* id : {"a", "b"}) this->add_engine(id, service, stage);
  }
};

}  // namespace

// Guards against a body that is read until the route's timeout, whatever its size.
Test(endless_answer, a_body_without_end_is_cut_off_and_another_engine_asked) {
  TwoEngines site("plain");
  const auto reply = site.request("/safe/a");
  site.http.begin(0, 200, RelayFixture::sealed_headers());
  cr_assert_lt(send_without_end(site, 0, 32 * kMegabyte), 9 * kMegabyte);
  cr_assert_eq(site.http.count(), 2);
  site.http.answer(1, 200, RelayFixture::sealed_headers(), "whole");
  cr_assert_eq(reply->body, "whole");
}

// The same for a request that may run only once: it is answered at once.
Test(endless_answer, a_body_without_end_fails_a_request_that_runs_once) {
  TwoEngines site("plain");
  const auto reply = site.request("/once/a");
  site.http.begin(0, 200, RelayFixture::sealed_headers());
  cr_assert_lt(send_without_end(site, 0, 32 * kMegabyte), 9 * kMegabyte);
  cr_assert_eq(site.http.count(), 1);
  cr_assert_eq(reply->status, 502);
}

// Guards against reading the body of a success that its engine has not signed.
Test(endless_answer, a_success_without_seal_is_cut_off_at_its_head) {
  TwoEngines site("plain");
  site.request("/safe/a");
  site.http.begin(0, 200, {{"id", "r1"}});
  cr_assert(site.http.at(0).cancelled);
  cr_assert_eq(site.http.count(), 2);
}

// Guards against a refusal whose body never ends. It is not a whole answer, so the engine may run
// the request.
Test(endless_answer, a_refusal_without_end_is_cut_off_and_its_outcome_unknown) {
  TwoEngines site("plain");
  const auto reply = site.request("/once/a");
  site.http.begin(0, 503, {{"id", "r1"}, {"refused", "1"}});
  cr_assert_lt(send_without_end(site, 0, 32 * kMegabyte), kMegabyte);
  cr_assert_eq(site.http.count(), 1);
  cr_assert_eq(reply->status, 502);
}

Test(endless_answer, a_prefill_answer_without_end_is_cut_off) {
  RelayFixture site;
  for (const char* id : {"p", "q"}) site.add_engine(id, "model", EngineStage::kPrefill);
  for (const char* id : {"d", "e"}) site.add_engine(id, "model", EngineStage::kDecode);
  site.request("/resumable/a", {{"tokens", "20000"}});
  cr_assert_eq(site.http.at(0).request.headers.get("stage"), "read");
  site.http.begin(0, 200, {{"id", "r1"}});
  cr_assert_lt(send_without_end(site, 0, 32 * kMegabyte), kMegabyte);
  cr_assert_eq(site.http.count(), 2);
}

// Guards against an event that is buffered until the route's timeout, also after good ones.
Test(endless_answer, an_event_without_end_is_cut_off_and_the_stream_continued) {
  TwoEngines site("model");
  const auto reply = site.request("/resumable/a", {{"tokens", "100"}});
  site.http.begin(0, 200, RelayFixture::sealed_headers());
  site.http.piece(0, "id: 1\ndata: a\n\n");
  cr_assert_lt(send_without_end(site, 0, 32 * kMegabyte), 2 * kMegabyte);
  cr_assert_eq(site.http.count(), 2);
  cr_assert_eq(site.http.at(1).request.headers.get("last-event"), "1");
  site.http.answer(1, 200, RelayFixture::sealed_headers(), "id: 2\ndata: b\n\n");
  cr_assert_eq(reply->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against reading on after an event that repeats or precedes one that was forwarded.
Test(endless_answer, a_stream_out_of_order_is_cut_off_and_continued) {
  TwoEngines site("model");
  site.request("/resumable/a", {{"tokens", "100"}});
  site.http.begin(0, 200, RelayFixture::sealed_headers());
  site.http.piece(0, "id: 2\ndata: a\n\nid: 1\ndata: b\n\n");
  cr_assert(site.http.at(0).cancelled);
  cr_assert_eq(site.http.count(), 2);
  cr_assert_eq(site.http.at(1).request.headers.get("last-event"), "2");
}

// Guards against answers that are each within the bound and together exhaust the node's memory.
Test(endless_answer, all_buffered_answers_together_are_bounded) {
  TwoEngines site("plain");
  constexpr std::size_t kRequests = 60;
  std::size_t buffered = 0;
  for (std::size_t i = 0; i < kRequests; ++i) {
    site.request("/once/" + std::to_string(i), {{"id", "r" + std::to_string(i)}});
    const std::size_t index = site.http.count() - 1;
    site.http.begin(index, 200, RelayFixture::sealed_headers("r" + std::to_string(i)));
    const std::size_t sent = send_without_end(site, index, 4 * kMegabyte);
    if (!site.http.at(index).cancelled) buffered += sent;
  }
  cr_assert_gt(buffered, 0);
  cr_assert_leq(buffered, 64 * kMegabyte, "%zu bytes are buffered", buffered);
  site.runtime.advance(10s);
  const auto reply = site.request("/once/later", {{"id", "later"}});
  site.http.answer(site.http.count() - 1, 200, RelayFixture::sealed_headers("later"), "whole");
  cr_assert_eq(reply->status, 200, "the memory is available again");
}
