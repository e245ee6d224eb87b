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
  bool idle() const { return this->ledger.empty(); }

  CrashStanding standing(const CallerRequest& tried) const;

  /// @return the engines at which other suspects are under way.
  std::set<EngineKey> engines_on_trial(const RequestIdentity& request) const;

  /// A suspect is sent to an engine, or the engine has it no more.
  void begin_trial(const RequestIdentity& request, const EngineId& engine);
  void end_trial(const RequestIdentity& request, const EngineId& engine);

  /// An engine broke a request off that it was sent at `sent_at`; or was given up, having said
  /// nothing for a while.
  void on_broken(const CallerRequest& tried, const EngineId& engine, MonotonicTime sent_at);
  void on_silent(const CallerRequest& tried, const EngineId& engine, MonotonicTime sent_at);

  /// An engine gave a whole answer: nothing is wrong with the request.
  void on_answered(const RequestIdentity& request);

  /// A try ended without one. The caller may come again, at any node.
  void on_failed(const RequestIdentity& request);

  /// A request that is held back has come again.
  void on_held_again(const RequestIdentity& request);

  /// An engine has ended.
  void on_engine_ended(const EngineId& engine);

  /// An engine has answered what it was sent at `sent_at`.
  void on_engine_answered(const EngineId& engine, MonotonicTime sent_at);

  /// An operator speaks for a request. @return whether it was held back.
  bool lift(const RequestIdentity& request);

  /// @return all requests that are held back.
  std::vector<HeldRequest> held() const;

  /// Takes over from the store what an earlier life has held back.
  void restore(const std::vector<HeldRequest>& held);

  /// @return what is to be told to the other nodes now.
  std::vector<CrashReport> take_reports();

  /// Takes what other nodes have told.
  void learn(const std::vector<CrashReport>& reports);

  /// Sets what is called when there is news for the other nodes.
  void on_news(std::function<void()> handler) { this->news = std::move(handler); }

  /// Sets what is called when other requests are held back than before. @param own this node saw an
  /// engine end under the request or was told by an operator; otherwise it has heard of it.
  using HeldHandler = std::function<void(bool own)>;
  void on_held_changed(HeldHandler handler) { this->held_changed = std::move(handler); }

 private:
  /// News on its way to the other nodes.
  struct Telling {
    CrashNews news = CrashNews::kBroken;
    RequestIdentity request;
    EngineKey engine = 0;
    CallerAddressHash caller = 0;
    MonotonicTime at{};
    int told = 0;
    MonotonicTime next{};
  };
  bool may_have_ended_it(const EngineId& engine, MonotonicTime sent_at) const;
  /// @return whether anything is known against a request, whoever sends it.
  bool suspects(const RequestIdentity& request) const;
  void tell(CrashNews what, const CallerRequest& tried, EngineKey engine, MonotonicTime at);
  void tell_all(const RequestIdentity& request);
  void learn_one(MonotonicTime now, const CrashReport& report);
  void settle();
  void ask(EngineKey key);
  /// An engine that was asked whether it lives.
  struct AskedEngine {
    EngineId engine;
    std::uint64_t started_unix_ms = 0;
    MonotonicTime at{};
  };
  bool replaced(const AskedEngine& asked, const HttpReply& reply) const;
  void on_reply(const AskedEngine& asked, const tl::expected<HttpReply, TransferError>& reply);
  void note_held_changed(bool own);
  void log_verdict(const HeldRequest& held, const char* source) const;
  void tick();

  QuarantineIo io;
  CrashLedger ledger;
  std::vector<Telling> tellings;
  std::set<RequestIdentity> told;  ///< Other nodes have heard of them from this one.
  std::function<void()> news;
  HeldHandler held_changed;
  std::unique_ptr<Periodic> ticking;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
