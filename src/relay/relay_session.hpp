/// @file
/// One relayed request, from its arrival to its final answer.
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
#include "core/relay/dispatch_choice.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/request_identity.hpp"
#include "core/relay/routes.hpp"
#include "net/http1_server.hpp"
#include "relay/event_splitter.hpp"
#include "relay/relay_context.hpp"
#include "relay/stream_progress.hpp"

namespace shuntbank::relay {

/// The result of a request whose caller got an engine's whole answer.
constexpr const char* kAnswered = "answered";

/// One relayed request. Keeps itself alive until it has ended.
class RelaySession : public std::enable_shared_from_this<RelaySession> {
 public:
  using EndHandler = std::function<void()>;

  /// @param table the configuration that the request is served under; kept until the end.
  /// @param route of `table`. @param tenant of `table` whose request it is, or null.
  RelaySession(RelayContext& context, std::shared_ptr<const RouteTable> table, const Route& route,
               const DeclaredTenant* tenant, ServiceName service, HttpRequest request,
               std::shared_ptr<ConnectionResponder> responder, EndHandler on_end);

  /// Takes the request up. Call once.
  void start();

  /// Gives up now: the process must end.
  void abort();

 private:
  /// What the attempt under way is for.
  enum class Step { kPlain, kPrefill, kDecodeFromHandle };

  // Setting out.
  bool parse_request_headers();
  void dispatch();
  PlacementQuery placement_query() const;
  std::optional<Placement> place_decode();
  DispatchQuery dispatch_query() const;
  std::optional<DispatchChoice> current_plan();
  bool try_send();
  void start_remote_prefill(const DispatchChoice& plan);
  void send_with_permit(const EngineId& engine, Step step);
  void use_placement(const Placement& placement);
  void send(const EngineId& engine, Step step);
  OutgoingRequest build_outgoing(const EngineRecord& record, Step step) const;
  int urgency() const;
  std::string_view tenant_name() const;
  Duration time_left() const;
  std::uint32_t connections_per_engine() const;

  // The engine's answer.
  bool is_own_answer(const HttpHeaders& headers) const;
  void on_headers(int status, const HttpHeaders& headers);
  bool on_data(std::string_view piece);
  void on_event(const RawEvent& event);
  void on_done(const tl::expected<void, TransferError>& result);
  void on_transfer_failed(const TransferError& error);
  void on_prefill_answer();
  void start_decode();
  void on_stream_end();
  void on_complete_answer();

  // Engines that end under it.
  CrashStanding suspect_status() const;
  bool needs_isolation() const;
  bool interruption_limit_reached() const;
  bool reject_if_quarantined();
  void answer_quarantined(const CrashStanding& status);
  /// @return why it is not sent now, or null.
  static const char* wait_reason(const CrashStanding& status);
  void update_crash_risk_engines();
  void report_interruption();
  void report_unresponsive();

  // Engines that rest.
  bool wait_for_cooldown();
  void on_cooldown_end();
  Duration caller_retry_delay() const;

  // Engines that take so many a second.
  void on_decode_permit(const EngineId& prefill_engine, std::optional<SendPermit> permit);
  void on_permit(const EngineId& engine, Step step, std::optional<SendPermit> permit);
  void wait_for_permit();
  void use_permit();
  bool start_planned_decode();
  void release_permit(std::optional<SendPermit>& permit);
  void redispatch(const EngineId& engine);

  // Failures.
  void on_attempt_failed(AttemptOutcome outcome, const std::string& why);
  void save_failure_answer();
  bool within_budget() const;
  double budget_left() const;
  void record_send(bool prefill_only);
  void end_over_budget(const std::string& why);
  void end_without_answer(const std::string& why);
  void refuse(const std::string& why);
  void fail(int status, const std::string& why);
  void on_timeout();
  void on_caller_closed();

  // Ends.
  void cancel_transfer();
  void release_engine();
  void release_handle();
  void respond(int status, const HttpHeaders& headers, std::string body, const std::string& result);
  HttpHeaders forwarded_answer_fields() const;
  void update_prefill_model(bool exclusive);
  void report_prompt_read();
  void report_started();
  AttemptHealth refusal_health() const;
  void report_health(AttemptHealth health);
  void begin_stream();
  void end(const std::string& result);
  void log_attempt(const char* event, const std::string& why) const;
  const char* step_name() const;

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
  /// Set once it is needed: while something is known against any request, or when an engine has
  /// broken this one off.
  std::optional<TriedRequest> identity_;
  std::optional<PromptShape> prompt_;
  MonotonicTime arrived_{};
  MonotonicTime expires_{};
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> wait_timer_;  ///< Until an engine takes the request, or any again.

  AttemptHistory history_;
  std::vector<EngineId> failed_engines_;    ///< Engines that failed or refused this request.
  std::set<EngineKey> crash_risk_engines_;  ///< Engines that other suspects have; see `Quarantine`.
  bool on_trial_ = false;                   ///< The engine may end under it, and others were told.

  std::optional<SendPermit> permit_;         ///< For the next send, or the one under way.
  std::optional<SendPermit> decode_permit_;  ///< For taking up the prompt that is being read.
  Placement decode_placement_;               ///< The engine which that permit is for.
  std::map<EngineId, int> permit_refusals_;  ///< How often none was to be had.

  // The attempt under way.
  Step step_ = Step::kPlain;
  EngineId engine_;
  std::uint64_t prefill_tokens_ = 0;
  bool deferred_ = false;               ///< Waits behind requests that can be in time.
  double expected_first_token_ms_ = 0;  ///< Until the first token, when the engine was chosen.
  bool prefill_tokens_released_ = false;
  bool attempt_counted_ = false;
  bool charged_to_budget_ = false;  ///< Was charged to the retry budget when it was sent.
  bool idle_when_sent_ = false;     ///< The engine had no other work that this node knew of.
  std::optional<TransferId> transfer_;
  MonotonicTime sent_at_{};
  MonotonicTime last_activity_at_{};  ///< The engine's last sign of life, or when it was sent.
  int status_ = 0;
  HttpHeaders headers_;
  bool refused_ = false;
  bool streaming_ = false;  ///< The answer of this attempt is passed on event by event.
  std::string body_;
  bool overflow_ = false;
  bool answer_invalid_ = false;
  EventSplitter splitter_;

  // Planned for the next sends.
  Placement placement_;        ///< The last choice of an engine, with what spoke for it.
  std::string fetch_address_;  ///< Engine from which parts of the prompt are taken; may be empty.
  std::string prompt_handle_;  ///< Of the prompt read ahead, not yet taken.
  std::string prompt_handle_address_;  ///< Engine that holds it.

  StreamProgress progress_;  ///< What the caller has of it.

  bool started_ = false;  ///< An engine has begun to run it.

  std::optional<HttpReply> failure_answer_;  ///< An engine's own failure, kept while trying on.
  bool ended_ = false;
};

}  // namespace shuntbank::relay
