/// @file
/// Quarantines requests that repeatedly crash engines, and isolates suspects. `CrashLedger`
/// decides; this class checks engines, exchanges reports with other nodes and informs operators.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "core/relay/crash_ledger.hpp"
#include "core/relay/crash_report.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/part_history.hpp"
#include "net/http_client.hpp"
#include "relay/engine_dialect.hpp"
#include "relay/engine_listener.hpp"
#include "relay/engine_paths.hpp"
#include "relay/relay_metrics.hpp"

namespace shuntbank::relay {

/// Dependencies; all must outlive the quarantine.
struct QuarantineIo {
  Runtime& runtime;
  HttpClient& http;
  const EngineDialect& dialect;
  EngineDirectory& engines;
  RelayMetrics& metrics;
  EngineListener& listener;
  EnginePaths& paths;
};

/// What an engine may have crashed for: the request first, then the parts of its prompt that other
/// requests may share.
using CrashCauses = std::vector<CallerRequest>;

/// Quarantine state of one node.
class Quarantine {
 public:
  explicit Quarantine(const QuarantineIo& own_io);
  ~Quarantine();
  Quarantine(const Quarantine&) = delete;
  Quarantine& operator=(const Quarantine&) = delete;

  /// @return whether there are no suspects, so that requests need no identity.
  bool empty() const { return this->ledger.empty(); }

  SuspectStatus status(const CallerRequest& attempt) const;

  /// @return what a request with these causes is suspected of: the request itself and the parts of
  /// its prompt. It is quarantined for a part only if it holds all those that are inseparable.
  SuspectStatus status(const CrashCauses& causes) const;

  /// @return the cause that a request is quarantined for, or null.
  const CallerRequest* quarantined_cause(const CrashCauses& causes) const;

  /// @return the engines that currently run other suspects.
  std::set<EngineKey> trial_engines(const CrashCauses& causes) const;

  /// Marks the time during which an engine runs a suspect.
  void begin_trial(const CrashCauses& causes, const EngineId& engine);
  void end_trial(const CrashCauses& causes, const EngineId& engine);

  /// An engine interrupted a request sent at `sent_at`, or was given up after a period without
  /// output.
  void on_interrupted(const CrashCauses& causes, const EngineId& engine, MonotonicTime sent_at);
  void on_unresponsive(const CallerRequest& attempt, const EngineId& engine, MonotonicTime sent_at);

  /// An engine completed the request, which clears it and the parts of its prompt.
  void on_completed(const RequestIdentity& cause);

  /// An attempt failed. The caller may retry at any node.
  void on_attempt_failed(const RequestIdentity& request);

  /// A quarantined request was retried, or another one with a quarantined part came.
  void extend_quarantine(const CallerRequest& attempt);

  void on_engine_crashed(const EngineId& engine);

  /// An engine has answered a request that was sent at `sent_at`.
  void on_engine_answered(const EngineId& engine, MonotonicTime sent_at);

  /// Releases a request on behalf of an operator. @return whether it was quarantined.
  bool release(const RequestIdentity& request);

  std::vector<QuarantinedRequest> quarantined() const;

  /// Restores entries from the store.
  void restore(const std::vector<QuarantinedRequest>& entries);

  /// @return the reports that are due to be sent to other nodes.
  std::vector<CrashReport> take_reports();

  /// Processes reports of other nodes.
  void on_peer_reports(const std::vector<CrashReport>& reports);

  /// Sets the handler for new reports to send.
  void on_reports_pending(std::function<void()> handler) {
    this->reports_pending_handler = std::move(handler);
  }

  /// Sets the handler for changes of the quarantined requests. @param own whether this node saw the
  /// crash or was told by an operator, rather than by another node.
  using ChangeHandler = std::function<void(bool own)>;
  void on_quarantine_changed(ChangeHandler handler) { this->change_handler = std::move(handler); }

 private:
  /// A report to be sent to the other nodes.
  struct PendingReport {
    CrashEvent event = CrashEvent::kInterrupted;
    RequestIdentity request;
    EngineKey engine = 0;
    CallerAddressHash caller = 0;
    MonotonicTime at{};
    int send_count = 0;
    MonotonicTime next_send_at{};
  };
  void begin_trial(const RequestIdentity& cause, const EngineId& engine);
  void end_trial(const RequestIdentity& cause, const EngineId& engine);
  void report_cleared_part(const RequestIdentity& part);
  bool may_have_crashed(const EngineId& engine, MonotonicTime sent_at) const;
  /// @return whether a request is a suspect from any caller.
  bool is_suspect(const RequestIdentity& request) const;
  void queue_report(CrashEvent event, const CallerRequest& attempt, EngineKey engine,
                    MonotonicTime at);
  void queue_evidence(const RequestIdentity& request);
  void apply_report(MonotonicTime now, const CrashReport& report);
  void process_ledger();
  void check_liveness(EngineKey key);
  /// A liveness check of one engine.
  struct LivenessCheck {
    EngineId engine;
    std::uint64_t started_unix_ms = 0;
    MonotonicTime sent_at{};
    std::optional<TunnelRoute> tunnel = std::nullopt;  ///< Unset: on the direct path.
    std::vector<std::string> tried_peers{};
    std::size_t refusals = 0;     ///< Other nodes whose connections the engine's host refused.
    bool peers_answered = false;  ///< Whether any of these did, be it that it has no path.
    bool refused_directly = false;
  };
  enum class LivenessResult { kLives, kEnded, kSilent };
  void start_check(LivenessCheck check);
  bool check_on_other_path(LivenessCheck check);
  void on_not_connected(LivenessCheck check, const TransferError& error);
  void finish_check(const LivenessCheck& check, LivenessResult result);
  static const char* result_name(LivenessResult result);
  bool is_replaced(const LivenessCheck& check, const HttpReply& reply) const;
  void on_liveness_reply(const LivenessCheck& check,
                         const tl::expected<HttpReply, TransferError>& reply);
  void notify_changed(bool own);
  void log_quarantined(const QuarantinedRequest& entry, const char* source) const;
  void tick();

  QuarantineIo io;
  CrashLedger ledger;
  PartHistory history;
  std::vector<PendingReport> pending_reports;
  std::set<RequestIdentity> reported_requests;  ///< Requests that this node has reported to others.
  std::function<void()> reports_pending_handler;
  ChangeHandler change_handler;
  std::unique_ptr<Periodic> ticker;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
