/// @file
/// Holds back requests that end engine after engine, and sets those apart that may. What it rests
/// on is in `CrashLedger`; this asks the engines, speaks with the other nodes and tells operators.
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
#include "net/http_client.hpp"
#include "relay/engine_dialect.hpp"
#include "relay/engine_listener.hpp"
#include "relay/relay_metrics.hpp"

namespace shuntbank::relay {

/// What it works with. All of it outlives it.
struct QuarantineIo {
  Runtime& runtime;
  HttpClient& http;
  const EngineDialect& dialect;
  EngineDirectory& engines;
  RelayMetrics& metrics;
  EngineListener& listener;
};

/// The quarantine of one node.
class Quarantine {
 public:
  explicit Quarantine(const QuarantineIo& own_io);
  ~Quarantine();
  Quarantine(const Quarantine&) = delete;
  Quarantine& operator=(const Quarantine&) = delete;

  /// @return whether nothing is known against any request, so that none needs an identity.
  bool empty() const { return this->ledger.empty(); }

  CrashStanding status(const TriedRequest& attempt) const;

  /// @return the engines at which other suspects are under way.
  std::set<EngineKey> trial_engines(const RequestIdentity& request) const;

  /// A suspect is sent to an engine, or the engine has it no more.
  void begin_trial(const RequestIdentity& request, const EngineId& engine);
  void end_trial(const RequestIdentity& request, const EngineId& engine);

  /// An engine broke a request off that it was sent at `sent_at`; or was given up, having said
  /// nothing for a while.
  void on_interrupted(const TriedRequest& attempt, const EngineId& engine, MonotonicTime sent_at);
  void on_unresponsive(const TriedRequest& attempt, const EngineId& engine, MonotonicTime sent_at);

  /// An engine gave a whole answer: nothing is wrong with the request.
  void on_completed(const RequestIdentity& request);

  /// A try ended without one. The caller may come again, at any node.
  void on_attempt_failed(const RequestIdentity& request);

  /// A request that is held back has come again.
  void extend_quarantine(const RequestIdentity& request);

  /// An engine has ended.
  void on_engine_crashed(const EngineId& engine);

  /// An engine has answered what it was sent at `sent_at`.
  void on_engine_answered(const EngineId& engine, MonotonicTime sent_at);

  /// An operator speaks for a request. @return whether it was held back.
  bool release(const RequestIdentity& request);

  /// @return all requests that are held back.
  std::vector<HeldRequest> quarantined() const;

  /// Takes over from the store what an earlier life has held back.
  void restore(const std::vector<HeldRequest>& entries);

  /// @return what is to be told to the other nodes now.
  std::vector<CrashReport> take_reports();

  /// Takes what other nodes have told.
  void on_peer_reports(const std::vector<CrashReport>& reports);

  /// Sets what is called when there is news for the other nodes.
  void on_reports_pending(std::function<void()> handler) {
    this->reports_pending_handler = std::move(handler);
  }

  /// Sets what is called when other requests are held back than before. @param own this node saw an
  /// engine end under the request or was told by an operator; otherwise it has heard of it.
  using ChangeHandler = std::function<void(bool own)>;
  void on_quarantine_changed(ChangeHandler handler) { this->change_handler = std::move(handler); }

 private:
  /// News on its way to the other nodes.
  struct PendingReport {
    CrashNews event = CrashNews::kBroken;
    RequestIdentity request;
    EngineKey engine = 0;
    CallerKey caller = 0;
    MonotonicTime at{};
    int send_count = 0;
    MonotonicTime next_send_at{};
  };
  bool may_have_crashed(const EngineId& engine, MonotonicTime sent_at) const;
  /// @return whether anything is known against a request, whoever sends it.
  bool is_suspect(const RequestIdentity& request) const;
  void queue_report(CrashNews event, const TriedRequest& attempt, EngineKey engine,
                    MonotonicTime at);
  void queue_evidence(const RequestIdentity& request);
  void apply_report(MonotonicTime now, const CrashReport& report);
  void process_ledger();
  void check_liveness(EngineKey key);
  /// An engine that was asked whether it lives.
  struct LivenessCheck {
    EngineId engine;
    std::uint64_t started_unix_ms = 0;
    MonotonicTime sent_at{};
  };
  bool is_replaced(const LivenessCheck& check, const HttpReply& reply) const;
  void on_liveness_reply(const LivenessCheck& check,
                         const tl::expected<HttpReply, TransferError>& reply);
  void notify_changed(bool own);
  void log_quarantined(const HeldRequest& entry, const char* source) const;
  void tick();

  QuarantineIo io;
  CrashLedger ledger;
  std::vector<PendingReport> pending_reports;
  std::set<RequestIdentity> reported_requests;  ///< Other nodes have heard of them from this one.
  std::function<void()> reports_pending_handler;
  ChangeHandler change_handler;
  std::unique_ptr<Periodic> ticker;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
