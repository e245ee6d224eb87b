/// @file
/// Serves one admitted request: chooses an engine, dispatches, relays the answer, retries on other
/// engines, and reports the outcome to the caller.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/runtime.hpp"
#include "config/snapshot.hpp"
#include "core/answer_memory.hpp"
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

/// Dependencies shared by all sessions of a node.
struct ServingContext {
  Runtime& runtime;
  const NodeSettings& settings;
  HttpClient& http;
  EngineTable& engines;
  Router& router;
  RetryBudget& retry_budget;
  Metrics& metrics;
  ClaimService& claims;
  AnswerMemory answer_memory = AnswerMemory(AnswerLimits());
};

/// One admitted request.
struct SessionRequest {
  RequestId id;
  TenantName tenant;
  SnapshotPointer snapshot;  ///< Configuration used for the whole request.
  ServiceName service;
  bool plain = false;
  bool repeatable = true;
  std::optional<ClaimKey> claim;  ///< Must be granted before the first dispatch.
  bool stream = false;
  bool wants_usage = false;
  std::string method = "POST";
  std::string path;  ///< Path and query at the engine.
  std::string content_type;
  nlohmann::json body;   ///< Model requests only.
  std::string raw_body;  ///< Plain requests only.
  std::uint64_t prompt_tokens = 1;
  std::uint32_t max_output_tokens = 1;
  std::vector<std::uint64_t> prefix;
  std::int32_t priority = 0;
  MonotonicTime arrived_at{};
  MonotonicTime deadline{};
};

/// How a session ended.
struct SessionResult {
  std::string result;    ///< As in `Metrics::count_request`.
  bool started = false;  ///< Whether it left the queue.
  double tokens = 0;     ///< Prompt and output tokens used; an estimate if not streamed.
};

/// Serves one request. Pending callbacks keep it alive until it ends.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
 public:
  using EndHandler = std::function<void(const SessionResult&)>;

  RequestSession(ServingContext& context, SessionRequest request,
                 std::shared_ptr<HttpResponder> responder, EndHandler on_end);

  /// Claims the idempotency key, if any, and dispatches.
  void start();

  /// Sets the handler for a caller that disconnects before `start`.
  void on_disconnect_while_queued(std::function<void()> on_disconnect);

  /// Answers with an error. @pre nothing was dispatched.
  void refuse(const CallerError& error);

  const SessionRequest& request() const { return request_; }

 private:
  enum class Step { kPrefill, kAnswer };

  void claim_then_dispatch();
  void on_claim(ClaimVerdict verdict);
  void dispatch();
  bool choose_engines();
  std::optional<EngineId> choose_engine(EngineRole role, bool any_role);
  void send(const EngineId& engine, Step step);
  OutgoingRequest make_request(const EngineId& engine, Step step) const;
  std::string make_body(Step step) const;
  void on_headers(int status, const HttpHeaders& headers);
  bool on_data(std::string_view piece);
  void on_event(const ServerSentEvent& event);
  void deliver_chunk(const ServerSentEvent& event, const ChunkId& place);
  bool buffer_reply(std::string_view piece);
  bool account_reply();
  void reject_answer(const char* why);
  void on_done(const tl::expected<void, TransferError>& result);
  void on_prefill_done();
  void on_complete_answer();
  void on_stream_end();
  void on_attempt_failed(AttemptFailure failure);
  bool retry_decode();
  void release_engine();
  void abort_request(RequestOutcome outcome);
  void on_deadline();
  void on_caller_gone();
  void cancel_transfer();
  double tokens_used() const;
  void end(const std::string& result);
  void begin_stream();
  void respond_error(const CallerError& error);

  ServingContext& context_;
  SessionRequest request_;
  std::shared_ptr<HttpResponder> responder_;
  EndHandler on_end_;
  RequestProgress progress_;
  std::unique_ptr<Timer> deadline_timer_;
  std::optional<EngineId> prefill_engine_;
  EngineId answer_engine_;
  std::optional<EngineId> current_engine_;  ///< Target of the current or last transfer.
  Step step_ = Step::kAnswer;
  std::string kv_handle_;
  std::vector<EngineId> failed_engines_;  ///< Not chosen while another is eligible.
  std::optional<TransferId> transfer_;
  EventStreamSplitter splitter_;
  int status_ = 0;
  HttpHeaders headers_;
  std::string reply_body_;          ///< Body of a reply that is not streamed.
  std::size_t buffered_bytes_ = 0;  ///< Counted in `AnswerMemory`.
  bool stream_invalid_ = false;     ///< A chunk was lost or an event was too large.
  bool done_received_ = false;
  bool stream_started_ = false;
  bool first_token_recorded_ = false;
  bool started_ = false;
  bool ended_ = false;
};

}  // namespace shuntbank
