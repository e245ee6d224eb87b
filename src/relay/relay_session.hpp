/// @file
/// Lifecycle of one relayed request, from its arrival to its final answer.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/runtime.hpp"
#include "core/relay/attempt_outcome.hpp"
#include "core/relay/dispatch_plan.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/request_identity.hpp"
#include "core/relay/routes.hpp"
#include "core/relay/stream_origin.hpp"
#include "net/http1_server.hpp"
#include "relay/event_splitter.hpp"
#include "relay/relay_context.hpp"
#include "relay/stream_progress.hpp"

namespace shuntbank::relay {

/// Result of a request whose caller got an engine's complete answer.
constexpr const char* kAnswered = "answered";

/// Result of a request whose caller got an engine's failure, as no retry succeeded.
constexpr const char* kEngineFailure = "engine_failure";

/// Relays one request. Keeps itself alive until the request has ended.
class RelaySession : public std::enable_shared_from_this<RelaySession> {
 public:
  using EndHandler = std::function<void()>;

  /// @param table configuration that the request is served under; held until the end.
  /// @param route entry of `table`.
  /// @param tenant entry of `table` for the caller's tenant, or null.
  RelaySession(RelayContext& context, std::shared_ptr<const RouteTable> table, const Route& route,
               const DeclaredTenant* tenant, ServiceName service, HttpRequest request,
               std::shared_ptr<ConnectionResponder> responder, EndHandler on_end);

  /// Starts serving the request. Call once.
  void start();

  /// Ends the request at once, as on a timeout, because the process is stopping.
  void abort();

  /// Reports an attempt that has been silent for a while, and repeats it if its path is broken.
  /// Called several times a second.
  void check_path();

 private:
  /// Purpose of the current attempt.
  enum class Step { kPlain, kPrefill, kDecodeFromHandle };

  // Streams that a caller takes up.
  void read_stream_fields();
  void find_stream_origin();
  void on_stream_origin(const std::optional<StreamOrigin>& origin);
  bool has_service(const ServiceName& service) const;
  void use_service(const ServiceName& service);
  void bind_stream();

  // Dispatch.
  bool parse_request_headers();
  bool may_be_aborted() const;
  void dispatch();
  PlacementQuery placement_query() const;
  std::optional<Placement> place_decode();
  DispatchQuery dispatch_query() const;
  std::optional<DispatchPlan> current_plan();
  bool try_send();
  void start_remote_prefill(const DispatchPlan& plan);
  void send_with_permit(const EngineId& engine, Step step);
  void use_placement(const Placement& placement);
  void send(const EngineId& engine, Step step);
  bool may_continue_at(const EngineId& engine) const;
  void start_attempt(const EngineId& engine, Step step);
  OutgoingRequest build_outgoing(const EngineRecord& record, Step step) const;
  int urgency(Step step) const;
  double own_work_ms(Step step) const;
  std::string_view tenant_name() const;
  Duration time_left() const;
  std::uint32_t connections_per_engine() const;

  // The engine's answer.
  bool is_own_answer(const HttpHeaders& headers) const;
  void on_headers(int status, const HttpHeaders& headers);
  void on_unnamed_answer();
  void reject_answer(const char* reason, const std::string& why);
  void buffer_answer(std::string_view piece);
  bool account_buffers();
  bool on_data(std::string_view piece);
  void on_event(const RawEvent& event);
  void on_done(const tl::expected<void, TransferError>& result);
  void on_transfer_failed(const TransferError& error);
  void on_prefill_answer();
  void start_decode();
  void on_stream_end();
  void on_complete_answer();

  // Paths to the engine.
  bool choose_tunnel(const EngineId& engine);
  bool retry_on_other_path(const TransferError& error);
  void on_engine_unreachable();
  void report_unreachable(bool confirmed);
  void repeat_silent_attempt();
  bool may_repeat_attempt() const;
  bool is_terminated(const EngineId& engine) const;

  // Crashing requests and quarantine.
  const CrashCauses& crash_causes();
  std::vector<RequestIdentity> shared_part_identities() const;
  SuspectStatus suspect_status() const;
  bool needs_isolation() const;
  bool crash_limit_reached() const;
  bool reject_if_quarantined();
  bool stop_if_quarantined();
  void answer_quarantined(const CallerRequest& cause);
  /// @return the reason to refuse the request for now, or null.
  static const char* refusal_reason(const SuspectStatus& status);
  void update_crash_risk_engines();
  std::string shared_parts_text() const;
  void report_interruption();
  void report_unresponsive();
  void report_completed();
  bool part_has_crashed_engine() const;

  // Admission while capacity is short.
  bool under_admission_control() const;
  bool admit(DispatchPlan& plan);
  bool admit_wait(std::optional<MonotonicTime> available_at);
  bool refusable() const;
  void log_admission(const AdmissionDecision& decision, const AdmissionQuery& query) const;
  void report_late_result();
  void report_served();
  Duration scheduled_return_delay(std::optional<MonotonicTime> available_at);
  int priority() const;

  // Engines in cooldown.
  bool wait_for_cooldown();
  void on_cooldown_end();
  Duration caller_retry_delay();

  // Permits of rate-limited engines.
  void on_decode_permit(const EngineId& prefill_engine, std::optional<SendPermit> permit);
  void on_permit(const EngineId& engine, Step step, std::optional<SendPermit> permit);
  void wait_for_permit();
  void use_permit();
  bool start_planned_decode();
  void release_permit(std::optional<SendPermit>& permit);
  void redispatch(const EngineId& engine);
  void plan_again();

  // Quota of the tenant.
  bool needs_quota() const;
  void acquire_quota();
  void on_quota(const QuotaDecision& decision);
  void refuse_over_quota(Duration retry_after);
  void return_quota();

  // Failures.
  void on_attempt_failed(AttemptOutcome outcome, const std::string& why);
  void save_failure_answer();
  bool within_budget() const;
  double budget_left() const;
  void record_send(bool prefill_only);
  void refund_send();
  void end_over_budget(const std::string& why);
  void end_unanswered(const std::string& why);
  void refuse(const std::string& why);
  void fail(int status, const std::string& why);
  void on_timeout();
  void on_caller_closed();

  // Completion.
  void cancel_transfer();
  void release_engine();
  void release_handle();
  void respond(int status, const HttpHeaders& headers, std::string body, const std::string& result);
  void withhold_promise(int status);
  HttpHeaders forwarded_answer_fields() const;
  void update_prefill_model(bool exclusive);
  void report_prefill_sample();
  void report_stream_sample();
  void update_handover_model();
  double expected_step_ms(Step step) const;
  double handover_without_wait_ms() const;
  void observe_expectation(const char* stage, double actual_ms, double expected_ms);
  void report_prompt_read();
  void report_started();
  AttemptHealth refusal_health() const;
  void report_health(AttemptHealth health);
  void begin_stream();
  void end(const std::string& result);
  void log_attempt(const char* event, const std::string& why) const;
  void log_engine_answer(int status, const HttpHeaders& headers) const;
  const char* step_name() const;
  std::string_view last_event_id() const;

  RelayContext& context_;
  std::shared_ptr<const RouteTable> table_;
  const Route& route_;
  const DeclaredTenant* tenant_;
  ServiceName service_name_;
  const RelayedService* service_ = nullptr;
  HttpRequest request_;
  std::shared_ptr<ConnectionResponder> responder_;
  EndHandler on_end_;
  std::string id_;
  /// Computed on demand: while there are suspects, or when an engine interrupted this request.
  CrashCauses causes_;
  std::optional<PromptShape> prompt_;
  MonotonicTime arrived_{};
  MonotonicTime expires_{};
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> wait_timer_;  ///< For a permit or the end of a cooldown.

  AttemptHistory history_;
  std::vector<EngineId> failed_engines_;    ///< Failed or refused this request.
  std::set<EngineKey> crash_risk_engines_;  ///< With other suspects in flight.
  bool on_trial_ = false;                   ///< In a trial registered with `Quarantine`.
  bool crashing_part_sent_ = false;         ///< When sent, engines had crashed under a part.

  std::optional<SendPermit> permit_;         ///< For the next or the current send.
  std::optional<SendPermit> decode_permit_;  ///< For the decode after a remote prefill.
  Placement decode_placement_;               ///< The engine of `decode_permit_`.
  std::map<EngineId, int> permit_refusals_;  ///< Failed permit requests by engine.
  bool planning_again_ = false;              ///< `plan_again` is on the stack.
  bool plan_refused_ = false;                ///< The last plan got no permit.

  std::optional<QuotaRequest> quota_request_;  ///< Unset: the tenant has no quota.
  std::uint32_t quota_grants_ = 0;             ///< Each allows one run.
  MonotonicTime quota_granted_at_{};           ///< The last one.

  // The current attempt.
  Step step_ = Step::kPlain;
  EngineId engine_;
  std::uint64_t prefill_tokens_ = 0;
  bool deferred_ = false;               ///< Yields to requests that can be in time.
  bool sent_ahead_ = false;             ///< See `AdmissionAction::kSendAhead`.
  double expected_first_token_ms_ = 0;  ///< Estimate at dispatch.
  double expected_first_event_ms_ = 0;  ///< The same since arrival.
  double expected_slot_wait_ms_ = 0;    ///< At the decode engine, included above.
  double expected_step_ms_ = 0;         ///< Of this attempt, until its prompt is prefilled.
  int urgency_ = 0;                     ///< Sent to the engine, if the request has a prompt.
  bool prefill_tokens_released_ = false;
  bool attempt_counted_ = false;
  bool charged_to_budget_ = false;      ///< Sent as an extra dispatch.
  bool idle_when_sent_ = false;         ///< The engine had no other known work.
  PrefillReference prefill_reference_;  ///< Of a remote prefill.
  Occupancy occupancy_when_sent_;       ///< Of the engine, without this attempt.
  std::optional<TransferId> transfer_;
  std::optional<TunnelRoute> tunnel_;      ///< Unset: a direct connection.
  std::vector<std::string> tried_peers_;   ///< Asked for a tunnel to this engine.
  bool refused_directly_ = false;          ///< The engine's host refused a direct connection.
  bool peers_answered_ = false;            ///< Whether any of these did, be it that it has no path.
  std::size_t refused_by_peers_ = 0;       ///< Asked nodes whose connections its host refused.
  std::size_t unreachable_for_peers_ = 0;  ///< Asked nodes that could not connect, these included.
  std::string version_when_sent_;          ///< See `EngineRecord::stream_version`.
  EngineStage sent_stage_ = EngineStage::kNone;  ///< The engine's, as known when it was sent.
  MonotonicTime sent_at_{};
  MonotonicTime last_activity_at_{};  ///< Time of the send or the last data received.
  int status_ = 0;
  HttpHeaders headers_;
  bool refused_ = false;
  bool forwarding_paused_ = false;  ///< The caller was too slow for a while.
  bool streaming_ = false;          ///< Events are forwarded as they arrive.
  std::string body_;
  std::uint64_t received_bytes_ = 0;  ///< Of the answer's body.
  bool out_of_order_ = false;         ///< An event repeats or precedes one that was forwarded.
  EventSplitter splitter_;
  std::size_t buffered_bytes_ = 0;  ///< Counted in `AnswerMemory`.

  // Plan for the next sends.
  Placement placement_;                ///< The last placement.
  std::string fetch_address_;          ///< Engine to fetch cached prompt parts from, or empty.
  std::string prompt_handle_;          ///< Of a remote prefill not yet used.
  std::string prompt_handle_address_;  ///< Engine that holds the handle.

  StreamProgress progress_;               ///< Events forwarded to the caller.
  std::string stream_id_;                 ///< The request that brought its first event.
  bool taken_up_ = false;                 ///< The caller has events of an earlier request.
  std::optional<StreamOrigin> origin_;    ///< Set once the stream has begun.
  std::optional<StreamKey> held_stream_;  ///< See `StreamOrigins::hold`.

  bool started_ = false;  ///< An engine has started to run the request.

  std::optional<LateRequest> late_request_;  ///< Set until its first token.
  /// Late requests of tenants above their share are served behind those of tenants below it.
  bool late_above_share_ = true;
  Duration slot_expected_in_{};       ///< Of a refused request; zero: unknown.
  std::int64_t retry_after_ms_ = -1;  ///< Told to the caller; -1: not refused.

  std::optional<HttpReply> failure_answer_;  ///< An engine's error, sent if retries fail.
  bool ended_ = false;
};

}  // namespace shuntbank::relay
