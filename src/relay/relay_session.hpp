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
  bool read_fields();
  void dispatch();
  PlacementQuery placement_query() const;
  std::optional<Placement> place_taker();
  DispatchQuery dispatch_query() const;
  std::optional<DispatchChoice> choice_now();
  bool choose();
  void read_first(const DispatchChoice& choice);
  void send_permitted(const EngineId& engine, Step step);
  void take(const Placement& placement);
  void send(const EngineId& engine, Step step);
  OutgoingRequest outgoing(const EngineRecord& record, Step step) const;
  int urgency() const;
  std::string_view tenant_name() const;
  Duration time_left() const;
  std::uint32_t connections_per_engine() const;

  // The engine's answer.
  bool belongs(const HttpHeaders& headers) const;
  void on_headers(int status, const HttpHeaders& headers);
  bool on_data(std::string_view piece);
  void on_event(const RawEvent& event);
  void on_done(const tl::expected<void, TransferError>& result);
  void on_no_answer(const TransferError& error);
  void on_prefill_answer();
  void take_up_prompt();
  void on_stream_end();
  void on_whole_answer();

  // Engines that end under it.
  CrashStanding crash_standing() const;
  bool runs_apart() const;
  bool ends_engines() const;
  bool held_back();
  void answer_held_back(const CrashStanding& standing);
  /// @return why it is not sent now, or null.
  static const char* reason_to_wait(const CrashStanding& standing);
  void keep_apart();
  void note_broken();
  void note_silence();

  // Engines that rest.
  bool waits_for_return();
  void on_return();
  Duration comes_back_after() const;

  // Engines that take so many a second.
  void on_taker_permit(const EngineId& reader, std::optional<SendPermit> permit);
  void on_permit(const EngineId& engine, Step step, std::optional<SendPermit> permit);
  void wait_for_permit();
  void use_permit();
  bool take_up_as_planned();
  void give_back(std::optional<SendPermit>& permit);
  void set_out_again(const EngineId& engine);

  // Failures.
  void attempt_failed(AttemptOutcome outcome, const std::string& why);
  void keep_failure_answer();
  bool may_send_again() const;
  double budget_left() const;
  void count_send(bool only_read);
  void end_for_budget(const std::string& why);
  void end_unserved(const std::string& why);
  void refuse(const std::string& why);
  void fail(int status, const std::string& why);
  void on_timeout();
  void caller_gone();

  // Ends.
  void drop_transfer();
  void release_engine();
  void release_handle();
  void respond(int status, const HttpHeaders& headers, std::string body, const std::string& result);
  HttpHeaders forwarded_answer_fields() const;
  void learn_reading(bool alone);
  void note_prompt_read();
  void note_began();
  AttemptHealth refusal_health() const;
  void note_health(AttemptHealth health);
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
  std::unique_ptr<Timer> waiting_;  ///< Until an engine takes the request, or any again.

  AttemptHistory history_;
  std::vector<EngineId> met_;       ///< Engines that failed or refused this request.
  std::set<EngineKey> apart_from_;  ///< Engines that other suspects have; see `Quarantine`.
  bool on_trial_ = false;           ///< The engine may end under it, and others were told.

  std::optional<SendPermit> permit_;         ///< For the next send, or the one under way.
  std::optional<SendPermit> taker_permit_;   ///< For taking up the prompt that is being read.
  Placement taker_;                          ///< The engine which that permit is for.
  std::map<EngineId, int> permits_refused_;  ///< How often none was to be had.

  // The attempt under way.
  Step step_ = Step::kPlain;
  EngineId engine_;
  std::uint64_t unread_ = 0;
  bool deferred_ = false;   ///< Waits behind requests that can be in time.
  double expected_ms_ = 0;  ///< Until the first token, when the engine was chosen.
  bool unread_released_ = false;
  bool engine_held_ = false;
  bool extra_ = false;            ///< Was charged to the retry budget when it was sent.
  bool alone_when_sent_ = false;  ///< The engine had no other work that this node knew of.
  std::optional<TransferId> transfer_;
  MonotonicTime sent_at_{};
  MonotonicTime heard_at_{};  ///< The engine's last sign of life, or when it was sent.
  int status_ = 0;
  HttpHeaders headers_;
  bool refused_ = false;
  bool streaming_ = false;  ///< The answer of this attempt is passed on event by event.
  std::string collected_;
  bool overflow_ = false;
  bool broken_ = false;
  EventSplitter splitter_;

  // Planned for the next sends.
  Placement chosen_;            ///< The last choice of an engine, with what spoke for it.
  std::string fetch_address_;   ///< Engine from which parts of the prompt are taken; may be empty.
  std::string handle_;          ///< Of the prompt read ahead, not yet taken.
  std::string handle_address_;  ///< Engine that holds it.

  StreamProgress stream_;  ///< What the caller has of it.

  bool began_ = false;  ///< An engine has begun to run it.

  std::optional<HttpReply> failure_answer_;  ///< An engine's own failure, kept while trying on.
  bool ended_ = false;
};

}  // namespace shuntbank::relay
