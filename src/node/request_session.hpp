/// @file
/// The life of one admitted request on this node: choose an engine, dispatch, relay the answer,
/// retry elsewhere, and tell the caller the outcome.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/runtime.hpp"
#include "config/snapshot.hpp"
#include "core/requests/request_progress.hpp"
#include "core/requests/retry_budget.hpp"
#include "core/routing/engine_table.hpp"
#include "core/routing/router.hpp"
#include "engine/event_stream.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "node/claim_service.hpp"
#include "node/error_reply.hpp"
#include "node/metrics.hpp"
#include "node/settings.hpp"

namespace shuntbank {

/// What all sessions of a node share.
struct ServingContext {
  Runtime& runtime;
  const NodeSettings& settings;
  HttpClient& http;
  EngineTable& engines;
  Router& router;
  RetryBudget& retries;
  Metrics& metrics;
  ClaimService& claims;
};

/// One admitted request.
struct SessionRequest {
  RequestId id;
  TenantName tenant;
  SnapshotPointer snapshot;  ///< Configuration that it is served under, to its end.
  ServiceName service;
  bool plain = false;
  bool repeatable = true;
  std::optional<ClaimKey> claim;  ///< Held by replicas before the first dispatch.
  bool stream = false;
  bool wants_usage = false;
  std::string method = "POST";
  std::string path;  ///< At the engine.
  std::string content_type;
  nlohmann::json body;   ///< Of a model request.
  std::string raw_body;  ///< Of a plain request.
  std::uint64_t prompt_tokens = 1;
  std::uint32_t max_output_tokens = 1;
  std::vector<std::uint64_t> prefix;
  std::int32_t priority = 0;
  MonotonicTime arrived{};
  MonotonicTime deadline{};
};

/// How a session ended.
struct SessionResult {
  std::string result;    ///< As in `Metrics::count_request`.
  bool started = false;  ///< It was dispatched, or tried to be.
  double tokens = 0;     ///< Prompt and output tokens that it used; estimated without a stream.
};

/// Serves one request. Keeps itself alive until it has ended.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
 public:
  using EndHandler = std::function<void(const SessionResult&)>;

  RequestSession(ServingContext& context, SessionRequest request,
                 std::shared_ptr<HttpResponder> responder, EndHandler on_end);

  /// Dispatches for the first time.
  void start();

  /// Sets what is called when the caller goes away before `start`.
  void watch_while_waiting(std::function<void()> on_gone);

  /// Answers with an error before anything was dispatched.
  void refuse(const CallerError& error);

  const SessionRequest& request() const { return request_; }

 private:
  enum class Step { kPrefill, kAnswer };

  void claim_then_dispatch();
  void on_claim(ClaimVerdict verdict);
  void dispatch();
  bool choose_engines();
  std::optional<EngineId> choose(EngineRole role, bool any_role);
  void send(const EngineId& engine, Step step);
  OutgoingRequest outgoing(const EngineId& engine, Step step) const;
  std::string body_for(Step step) const;
  void on_headers(int status, const HttpHeaders& headers);
  bool on_data(std::string_view piece);
  void on_event(const ServerSentEvent& event);
  void deliver(const ServerSentEvent& event, const ChunkId& place);
  void on_done(const tl::expected<void, TransferError>& result);
  void on_prefill_done();
  void on_whole_answer();
  void on_stream_end();
  void attempt_failed(AttemptFailure failure);
  bool decode_elsewhere();
  void release_engine();
  void give_up(RequestOutcome outcome);
  void on_deadline();
  void caller_gone();
  void abandon_transfer();
  double tokens_used() const;
  void end(const std::string& result);
  void begin_stream();
  void respond_error(const CallerError& error);

  ServingContext& context_;
  SessionRequest request_;
  std::shared_ptr<HttpResponder> responder_;
  EndHandler on_end_;
  RequestProgress progress_;
  std::unique_ptr<Timer> timer_;
  std::optional<EngineId> prefill_engine_;
  EngineId answer_engine_;
  std::optional<EngineId> engine_;  ///< That the transfer under way goes to.
  Step step_ = Step::kAnswer;
  std::string kv_handle_;
  std::vector<EngineId> failed_engines_;  ///< Avoided while another is eligible.
  std::optional<TransferId> transfer_;
  EventStreamSplitter splitter_;
  int status_ = 0;
  HttpHeaders headers_;
  std::string collected_;  ///< Body of a reply that is not relayed piece by piece.
  bool overflow_ = false;
  bool broken_ = false;  ///< A chunk was lost or an event was too large.
  bool done_marker_ = false;
  bool stream_begun_ = false;
  bool first_token_seen_ = false;
  bool started_ = false;
  bool ended_ = false;
};

}  // namespace shuntbank
