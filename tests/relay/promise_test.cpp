// Tests that a status which promises that a request has not run is true, whatever engines answer.
#include <algorithm>

#include "relay/support/fakes.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;

namespace {

constexpr int kPromises[] = {408, 421, 429, 503};

bool promises_not_run(int status) {
  return std::count(std::begin(kPromises), std::end(kPromises), status) > 0;
}

HttpHeaders refusal() {
  return {{"id", "r1"}, {"refused", "1"}};
}

/// A site with engines of each kind.
struct MixedSite : RelayFixture {
  MixedSite() {
    for (const char* id : {"a", "b", "c"}) this->add_engine(id, "plain");
    for (const char* id : {"p", "q"}) this->add_engine(id, "model", EngineStage::kPrefill);
    for (const char* id : {"d", "e"}) this->add_engine(id, "model", EngineStage::kDecode);
  }
};

/// All engines that get the request answer it with a status that is a promise, but do not say that
/// they did not run it.
void expect_bad_gateway(const std::string& path, const HttpHeaders& fields) {
  for (const int status : kPromises) {
    MixedSite site;
    const auto reply = site.request(path, fields);
    for (std::size_t i = 0; i < site.http.count(); ++i) {
      site.http.answer(i, status, RelayFixture::sealed_headers(), "busy");
    }
    cr_assert(reply->finished);
    cr_assert_eq(reply->status, 502, "%s got %d for %d", path.c_str(), reply->status, status);
    cr_assert(reply->headers.get("seal").empty(), "the seal belongs to another status");
    cr_assert(reply->body.empty());
  }
}

/// A request that meets random answers, failures and delays.
class RandomRequest {
 public:
  explicit RandomRequest(const std::string& route) {
    const bool model = route == "stream" || route == "resumable";
    const HttpHeaders fields = model ? HttpHeaders{{"tokens", "20000"}} : HttpHeaders{};
    this->reply = this->site.request("/" + route + "/a", fields);
  }

  bool ended() const { return this->reply->finished || this->reply->aborted; }

  void step() {
    const auto pending = this->pending_send();
    if (!pending || *rc::gen::inRange(0, 4) == 0) {
      return this->site.runtime.advance(*rc::gen::element(1ms, 60ms, 700ms, 3000ms));
    }
    const std::size_t index = *pending;
    const int kind = *rc::gen::inRange(0, 10);
    if (kind < 4) this->not_run.insert(index);
    switch (kind) {
      case 0:
        return this->site.http.fail(index, TransferFailure::kNothingSent);
      case 1:
        return this->site.http.fail(index, TransferFailure::kWithdrawn);
      case 2:
      case 3:
        return this->site.http.answer(index, *rc::gen::element(503, 429, 421), refusal(), "");
      case 4:
        return this->site.http.begin(index, 503, refusal());
      case 5:
        return this->site.http.begin(index, 503, {{"refused", "1"}});
      case 6:
        return this->site.http.fail(index, TransferFailure::kUncertain);
      case 7:
        return this->site.http.answer(index, 200, {{"id", "r1"}}, "handle");
      case 8:
        this->site.http.begin(index, 200, RelayFixture::sealed_headers());
        this->site.http.piece(index, "id: 1\ndata: a\n\n");
        return this->site.http.fail(index, TransferFailure::kUncertain);
      default:
        return this->site.http.answer(index, *rc::gen::element(200, 404, 408, 421, 429, 500, 503),
                                      RelayFixture::sealed_headers(), "id: 1\n\n");
    }
  }

  void stop_node() { this->site.node->abort_all(); }

  void check() {
    RC_ASSERT(this->reply->head_count <= 1);
    if (!promises_not_run(this->reply->status)) return;
    RC_ASSERT_FALSE(this->may_have_run());
    this->site.runtime.advance(10s);
    RC_ASSERT_FALSE(this->may_have_run());
  }

 private:
  /// @return the first send that has not ended.
  std::optional<std::size_t> pending_send() const {
    for (std::size_t i = 0; i < this->site.http.count(); ++i) {
      const SentRequest& sent = *this->site.http.sent[i];
      if (sent.request.method == "POST" && !sent.done && !sent.cancelled) return i;
    }
    return std::nullopt;
  }

  bool may_have_run() const {
    for (std::size_t i = 0; i < this->site.http.count(); ++i) {
      const OutgoingRequest& request = this->site.http.sent[i]->request;
      const bool prefill = request.headers.count("stage") > 0;
      if (request.method == "POST" && !prefill && this->not_run.count(i) == 0) return true;
    }
    return false;
  }

  MixedSite site;
  std::shared_ptr<RecordedReply> reply;
  std::set<std::size_t> not_run;  ///< Sends whose outcome shows that the engine did not run them.
};

}  // namespace

// Guards against handing on an engine's 408, 421, 429 or 503 that does not say that the engine did
// not run the request, which may have run.
Test(promise, an_unmarked_status_of_an_engine_is_not_a_refusal_of_a_request_that_runs_once) {
  expect_bad_gateway("/once/a", {});
}

// The same for a stream, at an engine that prefills the prompt itself.
Test(promise, an_unmarked_status_of_an_engine_is_not_a_refusal_of_a_stream) {
  expect_bad_gateway("/stream/a", {{"tokens", "100"}});
}

// The same for a failure that is kept while other engines are tried.
Test(promise, an_unmarked_status_of_the_last_engine_is_not_a_refusal_of_a_repeatable_request) {
  expect_bad_gateway("/safe/a", {});
  expect_bad_gateway("/resumable/a", {{"tokens", "100"}});
}

// Guards against an answer with a head of its own inside a stream that the caller already receives.
Test(promise, an_engines_answer_to_a_continued_stream_is_not_passed_on) {
  for (const int status : {404, 408, 421, 429, 500, 503}) {
    MixedSite site;
    const auto reply = site.request("/resumable/a", {{"tokens", "100"}});
    site.http.begin(0, 200, RelayFixture::sealed_headers());
    site.http.piece(0, "id: 1\ndata: a\n\n");
    site.http.fail(0, TransferFailure::kUncertain);
    cr_assert_eq(site.http.count(), 2);
    site.http.answer(1, status, RelayFixture::sealed_headers(), "no");
    cr_assert_eq(reply->head_count, 1, "a second head with %d", status);
    cr_assert(reply->aborted);
  }
}

// Guards against a refusal, or a second head, after any order of events in which an engine may have
// run the request.
Test(promise, holds_after_random_events) {
  SHUNTBANK_PROPERTY("a refused request has not run and never will", [] {
    const std::string route = *rc::gen::element("once", "safe", "stream", "resumable");
    RandomRequest request(route);
    const int steps = *rc::gen::inRange(1, 25);
    for (int i = 0; i < steps && !request.ended(); ++i) request.step();
    request.stop_node();
    request.check();
  });
}
