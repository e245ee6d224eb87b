// Tests what a caller of a node gets when an engine's answer breaks off, in its head too.
#include <criterion/criterion.h>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "common/log.hpp"
#include "config/document.hpp"
#include "engine/engine_api.hpp"
#include "net/asio_runtime.hpp"
#include "net/http1_client.hpp"
#include "node/request_session.hpp"
#include "support/cutting_server.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using nlohmann::json;

namespace {

const asio::ip::tcp::endpoint kAnyPort{asio::ip::make_address("127.0.0.1"), 0};

enum class RequestKind { kPlain, kCompletion, kStream };

/// @return the fields that an engine sends on each answer.
std::string engine_fields(const HttpHead& request) {
  return "X-Attempt-Id: " + std::string(request.headers.get(engine_api::kAttemptIdHeader)) + "\r\n";
}

std::string event_stream(const std::string& attempt) {
  return "id: " + attempt + ":0\ndata: a\n\nid: " + attempt + ":1\ndata: b\n\nid: " + attempt +
         ":2\ndata: [DONE]\n\n";
}

/// What the caller has received.
struct Received {
  int status = 0;
  std::string body;
  bool whole = false;
};

/// The sessions of a node before engines whose answers the test cuts. Requests must not be repeated
/// if they may have run.
struct NodeSite {
  explicit NodeSite(std::size_t engine_count = 1) {
    cr_assert(set_log_levels("off").has_value());
    const json labels{{"s", "1"}};
    const json service{{"kind", "plain"}, {"engine_selector", {{"match_labels", labels}}}};
    std::vector<ObjectEdit> edits;
    edits.push_back(make_set_edit(ObjectKind::kService, "service", 0, service));
    for (std::size_t i = 0; i < engine_count; ++i) {
      this->engines.push_back(std::make_unique<CuttingServer>(
          this->loop, [this, i](const HttpHead& request, const std::string&) {
            return this->answer(i, request);
          }));
      const std::string name = "e" + std::to_string(i);
      const EngineId id(name);
      const json spec{
          {"address", this->engines.back()->address()}, {"zone", "z"}, {"labels", labels}};
      edits.push_back(make_set_edit(ObjectKind::kEngine, name, 0, spec));
      this->table.upsert(id, ZoneName("z"));
      this->table.apply({id, {1, 1}, 1, EngineRole::kMixed, Availability::kServing});
    }
    this->snapshot = *Snapshot::build(*apply_edits({}, edits, "w"));
  }

  static NodeSettings node_settings() {
    NodeSettings settings;
    settings.name = "n";
    settings.zone = "z";
    settings.region = "r";
    settings.platform = "127.0.0.1:1";
    return settings;
  }

  static ClusterService::Hooks hooks() {
    ClusterService::Hooks hooks;
    hooks.revision = [] { return Revision(1); };
    hooks.on_engine_facts = [](const std::vector<EngineFact>&) {};
    return hooks;
  }

  static HttpServerSettings server_settings() {
    HttpServerSettings settings;
    settings.listen = kAnyPort;
    return settings;
  }

  void handle(const std::shared_ptr<HttpResponder>& responder) {
    SessionRequest request;
    request.id = RequestId("r" + std::to_string(++this->last_id));
    request.snapshot = this->snapshot;
    request.service = ServiceName("service");
    request.plain = this->kind == RequestKind::kPlain;
    request.stream = this->kind == RequestKind::kStream;
    request.repeatable = false;
    request.path = "/v1/completions";
    request.body = json::object();
    request.arrived_at = this->runtime.now();
    request.deadline = request.arrived_at + std::chrono::minutes(1);
    this->sessions.push_back(std::make_shared<RequestSession>(
        this->context, std::move(request), responder, [](const SessionResult&) {}));
    this->sessions.back()->start();
  }

  /// Sends a request and waits for the end of its answer.
  Received send() {
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + format_endpoint(this->server.local_endpoint()) + "/";
    request.body = "{}";
    Received received;
    bool done = false;
    TransferHandlers handlers;
    handlers.on_headers = [&](int status, const HttpHeaders&) { received.status = status; };
    handlers.on_data = [&](std::string_view piece) {
      received.body += piece;
      return true;
    };
    handlers.on_done = [&](const tl::expected<void, TransferError>& result) {
      received.whole = result.has_value();
      done = true;
    };
    this->client.start(std::move(request), std::move(handlers));
    while (!done) this->loop.run_one();
    // Ends the backoff of the engines.
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      this->table.on_success(EngineId("e" + std::to_string(i)));
    }
    return received;
  }

  std::size_t received_requests() const {
    std::size_t count = 0;
    for (const auto& engine : this->engines) count += engine->requests;
    return count;
  }

  asio::io_context loop;
  AsioRuntime runtime{loop};
  NodeSettings settings = node_settings();
  CurlHttpClient http{loop};
  EngineTable table;
  Router router{RoutingSettings{}, 1};
  RetryBudget retry_budget{1, 1000};
  Metrics metrics;
  ObjectClient platform{http, settings.platform};
  std::unique_ptr<PeerTransport> peers = make_peer_transport(loop, kAnyPort, 1000);
  ClusterService cluster{runtime, *peers, {}, 1, hooks()};
  ClaimService claims{runtime, platform, cluster, RegionName("r"), std::chrono::minutes(1)};
  ServingContext context{runtime, settings, http, table, router, retry_budget, metrics, claims};
  std::vector<std::unique_ptr<CuttingServer>> engines;
  /// Returns the whole answer of an engine to a request.
  std::function<std::string(std::size_t engine, const HttpHead& request)> answer;
  SnapshotPointer snapshot;
  RequestKind kind = RequestKind::kPlain;
  int last_id = 0;
  std::vector<std::shared_ptr<RequestSession>> sessions;
  PooledHttpClient client{loop, {}};
  HttpServer server{loop, server_settings(),
                    [this](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
                      this->handle(responder);
                    }};
};

/// @return what is wrong about what the caller got, or empty text.
std::string judge(RequestKind kind, const FramedAnswer& answer, std::size_t cut, ConnectionEnd end,
                  const Received& received) {
  if (!received.whole) return "breaks the caller's connection";
  const bool may_be_whole = answer.may_be_whole(cut, end);
  const bool unknown = received.body.find("\"outcome\":\"unknown\"") != std::string::npos;
  if (kind == RequestKind::kStream) {
    const bool complete = received.body.find("[DONE]") != std::string::npos;
    if (complete && !may_be_whole) return "completes the stream";
    if (answer.is_whole(cut, end) && cut == answer.text().size() && !complete) return "is lost";
    return complete || unknown ? "" : "has no outcome";
  }
  if (received.status == 200 && !may_be_whole) return "is answered with 200";
  if (received.status != 200 && answer.is_whole(cut, end)) return "is lost";
  if (received.status != 200) return unknown ? "" : "has another outcome";
  const bool same = answer.ends_with_connection ? answer.body.rfind(received.body, 0) == 0
                                                : answer.body == received.body;
  return same ? "" : "has another body";
}

/// Cuts each kind of answer after each byte. @return the number of wrong answers to the caller.
std::size_t count_wrong_answers(RequestKind kind, ConnectionEnd end) {
  NodeSite site;
  site.kind = kind;
  CuttingServer& engine = *site.engines.front();
  engine.end = end;
  std::size_t wrong = 0;
  for (std::size_t framing = 0; framing < framed_answers("", "").size(); ++framing) {
    FramedAnswer answer;
    site.answer = [&](std::size_t, const HttpHead& request) {
      const std::string attempt(request.headers.get(engine_api::kAttemptIdHeader));
      const std::string body = kind == RequestKind::kStream ? event_stream(attempt) : "the body";
      answer = framed_answers(engine_fields(request), body)[framing];
      return answer.text();
    };
    bool last = false;
    for (engine.cut = 0; !last; ++engine.cut) {
      const std::size_t before = engine.requests;
      const Received received = site.send();
      last = engine.cut >= answer.text().size();
      std::string fault = judge(kind, answer, engine.cut, end, received);
      if (engine.requests != before + 1) fault = "is sent again";
      if (fault.empty()) continue;
      ++wrong;
      cr_log_error("%s cut at %zu %s: %d %s", answer.name.c_str(), engine.cut, fault.c_str(),
                   received.status, received.body.c_str());
    }
  }
  return wrong;
}

}  // namespace

// Guards against a caller that gets part of an engine's answer as whole, or an answer without
// status.
Test(cut_answer, a_plain_answer_that_breaks_off_is_no_success) {
  cr_assert_eq(count_wrong_answers(RequestKind::kPlain, ConnectionEnd::kClose), 0);
  cr_assert_eq(count_wrong_answers(RequestKind::kPlain, ConnectionEnd::kReset), 0);
}

Test(cut_answer, a_completion_that_breaks_off_is_no_success) {
  cr_assert_eq(count_wrong_answers(RequestKind::kCompletion, ConnectionEnd::kClose), 0);
  cr_assert_eq(count_wrong_answers(RequestKind::kCompletion, ConnectionEnd::kReset), 0);
}

Test(cut_answer, a_stream_that_breaks_off_has_no_end_marker) {
  cr_assert_eq(count_wrong_answers(RequestKind::kStream, ConnectionEnd::kClose), 0);
  cr_assert_eq(count_wrong_answers(RequestKind::kStream, ConnectionEnd::kReset), 0);
}

// Guards against an earlier engine's refusal that passes for the answer of one which broke off, so
// that a request which may have run is sent to a third engine.
Test(cut_answer, a_refusal_before_does_not_excuse_an_answer_that_breaks_off) {
  NodeSite site(3);
  std::size_t cut = 0;
  std::size_t size = 1;
  bool refused = false;
  site.answer = [&](std::size_t, const HttpHead& request) -> std::string {
    const std::string fields = engine_fields(request);
    if (!std::exchange(refused, true)) {
      return "HTTP/1.1 503 Refused\r\n" + fields +
             "X-Engine-Outcome: not_run\r\nContent-Length: 0\r\n\r\n";
    }
    const std::string text = framed_answers(fields, "the body").front().text();
    size = text.size();
    return text.substr(0, cut);
  };
  std::size_t wrong = 0;
  for (; cut < size; ++cut) {
    refused = false;
    const std::size_t before = site.received_requests();
    const Received received = site.send();
    const bool unknown = received.body.find("\"outcome\":\"unknown\"") != std::string::npos;
    if (unknown && site.received_requests() == before + 2) continue;
    if (wrong++ > 0) continue;
    cr_log_error("cut at %zu: %zu engines, %d %s", cut, site.received_requests() - before,
                 received.status, received.body.c_str());
  }
  cr_assert_eq(wrong, 0, "%zu of %zu", wrong, size);
}
