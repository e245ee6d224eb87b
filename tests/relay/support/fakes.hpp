/// @file
/// Fakes for tests of a relay node: a manual clock, a scripted HTTP client, a recording responder,
/// an in-memory store and a small dialect.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/runtime.hpp"
#include "net/http1_server.hpp"
#include "net/http_client.hpp"
#include "relay/catalog.hpp"
#include "relay/engine_dialect.hpp"
#include "relay/engine_list_status.hpp"
#include "relay/relay_node.hpp"
#include "relay/support/slow_link.hpp"
#include "store/object_store.hpp"

namespace shuntbank::testing {

/// Runtime whose time advances only on request.
class ManualRuntime : public Runtime {
 public:
  MonotonicTime now() const override { return now_; }
  std::uint64_t unix_milliseconds() const override { return 0; }
  std::unique_ptr<Timer> after(Duration delay, std::function<void()> function) override;
  void post(std::function<void()> function) override;
  std::string random_hex(std::size_t bytes) override;

  /// Advances the time and runs due timers in order.
  void advance(Duration duration);

  /// Advances the time without running timers, as if the process stalled.
  void stall(Duration duration) { now_ += duration; }

 private:
  struct Entry {
    std::function<void()> function;
    std::weak_ptr<bool> alive;
  };
  class ManualTimer;

  MonotonicTime now_{std::chrono::seconds(1000)};
  std::multimap<MonotonicTime, Entry> timers_;
  std::shared_ptr<bool> never_cancelled_ = std::make_shared<bool>(true);
  std::uint64_t draws_ = 0;
};

/// A request that the node has sent.
struct SentRequest {
  TransferId id = 0;
  OutgoingRequest request;
  TransferHandlers handlers;
  bool cancelled = false;
  bool done = false;
};

/// Records requests; the test gives the answers.
class ScriptedHttpClient : public HttpClient {
 public:
  TransferId start(OutgoingRequest request, TransferHandlers handlers) override;
  void cancel(TransferId id) override;
  void resume(TransferId) override {}

  /// Sends a complete answer.
  void answer(std::size_t index, int status, const HttpHeaders& headers, const std::string& body);
  /// Begins an answer, to be continued by `piece`, `finish` or `fail`.
  void begin(std::size_t index, int status, const HttpHeaders& headers);
  void piece(std::size_t index, const std::string& bytes);
  void finish(std::size_t index);
  void fail(std::size_t index, TransferFailure failure);
  /// Fails the transfer with a refused connection.
  void refuse_connection(std::size_t index);
  /// Fails the transfer as the relaying node opens no tunnel.
  void refuse_tunnel(std::size_t index, TunnelStatus status);

  SentRequest& at(std::size_t index) { return *sent.at(index); }
  std::size_t count() const { return sent.size(); }

  std::vector<std::shared_ptr<SentRequest>> sent;
};

/// Connects to the addresses that the test lists.
class ScriptedProbe : public ConnectionProbe {
 public:
  explicit ScriptedProbe(Runtime& own_runtime) : runtime(own_runtime) {}

  void probe(const std::string& address, Duration timeout, Handler handler) override;

  std::set<std::string> reachable;
  int count = 0;

 private:
  Runtime& runtime;
  std::vector<std::unique_ptr<Timer>> timers;
};

/// The reply that a caller has received.
struct RecordedReply {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool finished = false;
  bool aborted = false;
  int head_count = 0;
};

/// Records a reply. The caller can disconnect.
class RecordingResponder : public ConnectionResponder {
 public:
  explicit RecordingResponder(std::shared_ptr<RecordedReply> reply) : reply_(std::move(reply)) {}
  void respond(HttpReply reply) override;
  void begin_stream(int status, const HttpHeaders& headers) override;
  void write(std::string_view piece) override { reply_->body += piece; }
  std::size_t pending_bytes() const override { return 0; }
  void on_drained(std::function<void()>) override {}
  void finish() override { reply_->finished = true; }
  void on_closed(std::function<void()> handler) override { closed_handler_ = std::move(handler); }
  void abort() override { reply_->aborted = true; }

  void disconnect() {
    const auto handler = std::exchange(closed_handler_, nullptr);
    if (handler) handler();
  }

 private:
  std::shared_ptr<RecordedReply> reply_;
  std::function<void()> closed_handler_;
};

/// Dialect with test-only header names and formats.
class TestDialect : public relay::EngineDialect {
 public:
  TestDialect();
  const relay::HeaderNames& names() const override { return names_; }
  /// The field `parts` names the ids, separated by blanks; by default there are two.
  std::optional<relay::PromptShape> parse_prompt(const HttpHeaders& headers) const override;
  std::optional<std::uint64_t> parse_token_count(const HttpHeaders& headers) const override;
  /// Reads requests waiting and the slowdown in percent, separated by a blank.
  std::optional<relay::ReportedLoad> parse_load(const HttpHeaders& headers) const override;
  relay::ParsedNotice parse_notice(int status, const HttpHeaders& headers) const override;
  bool is_refusal(int, const HttpHeaders& headers) const override {
    return headers.count("refused") > 0;
  }
  bool promises_not_run(int status) const override {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }
  std::string prefill_stage_value() const override { return "read"; }
  std::string prompt_source_value(const std::string& address,
                                  const std::string& handle) const override {
    return address + "/" + handle;
  }
  tl::expected<relay::PromptHandle, std::string> parse_prefill_answer(
      const std::string& body) const override;
  OutgoingRequest release_handle_request(const std::string& address,
                                         const std::string& handle) const override;
  OutgoingRequest report_request(const std::string& address,
                                 const std::string& engine) const override;
  tl::expected<relay::EngineReport, std::string> parse_report(
      const std::string& body) const override;
  OutgoingRequest stage_order_request(const relay::StageOrder& order) const override;

 private:
  relay::HeaderNames names_;
};

/// An in-memory store that can fail, lose answers, lag or answer slowly.
class MemoryStore : public store::ObjectStore {
 public:
  explicit MemoryStore(Runtime& runtime) : runtime_(runtime) {}

  store::CallId list(const std::string& kind, store::Freshness freshness, Duration timeout,
                     store::StoreHandler<store::ObjectList> handler) override;
  store::CallId watch(const std::string& kind, std::uint64_t revision, store::Freshness freshness,
                      Duration wait, Duration timeout,
                      store::StoreHandler<store::ChangeBatch> handler) override;
  std::size_t received(store::CallId call) const override;
  void cancel(store::CallId call) override;
  void read(const std::string& kind, const std::string& name, Duration timeout,
            store::StoreHandler<store::StoredObject> handler) override;
  void create(const std::string& kind, const std::string& name, const nlohmann::json& content,
              Duration timeout, store::StoreHandler<store::StoredObject> handler) override;
  void replace(const std::string& kind, const std::string& name, std::uint64_t revision,
               const nlohmann::json& content, Duration timeout,
               store::StoreHandler<store::StoredObject> handler) override;
  void remove(const std::string& kind, const std::string& name, std::uint64_t revision,
              Duration timeout, store::StoreHandler<void> handler) override;

  /// Writes as the operator or an engine.
  void put(const std::string& kind, const std::string& name, const nlohmann::json& content);
  void remove(const std::string& kind, const std::string& name);
  /// @return the revision of the last change.
  std::uint64_t revision() const { return revision_; }
  /// Drops the history: watches from earlier revisions fail with `kHistoryGone`.
  void forget_history();

  bool down = false;                ///< Calls fail with `kNotDone`.
  bool lose_answers = false;        ///< Writes take effect but fail with `kUncertain`.
  bool drop_notifications = false;  ///< Open watches miss changes.
  /// Newest revision in answers to calls with `Freshness::kMayLag`.
  std::uint64_t replica_revision = std::numeric_limits<std::uint64_t>::max();
  /// How long changes are kept for watches.
  Duration history_time = Duration::max();
  /// Carries the answers to lists and watches; null: answers take no time.
  SlowLink* link = nullptr;
  std::size_t object_bytes = 0;  ///< Of each object in an answer.
  Duration answer_delay{};       ///< Before an answer over the link begins.
  int lists = 0;
  int watches = 0;
  int latest_calls = 0;  ///< Lists and watches with `Freshness::kLatest`.
  int writes = 0;

 private:
  struct Change {
    std::string kind;
    store::ObjectChange change;
    std::uint64_t revision;
    MonotonicTime at;
  };
  /// @return whether changes after the revision are no longer kept.
  bool history_gone(std::uint64_t revision) const;
  struct PendingWatch {
    store::CallId call;
    std::string kind;
    std::uint64_t revision;
    store::Freshness freshness;
    Duration timeout;
    store::StoreHandler<store::ChangeBatch> handler;
    std::shared_ptr<bool> open;
    std::shared_ptr<Timer> timer;
  };
  std::uint64_t visible_revision(store::Freshness freshness) const;
  store::ChangeBatch changes_after(const std::string& kind, std::uint64_t revision,
                                   store::Freshness freshness) const;
  void notify_watches();
  /// Answers a list or a watch, over the link if there is one.
  template <typename Value>
  void send(store::CallId call, std::size_t objects, Duration timeout,
            store::StoreHandler<Value> handler, tl::expected<Value, store::StoreError> value) {
    if (link == nullptr) return reply<Value>(std::move(handler), std::move(value));
    if (answer_delay >= timeout) {
      const auto late = tl::make_unexpected(store::StoreError::kUncertain);
      link->start_transfer(call, 0, timeout,
                           [handler = std::move(handler), late] { handler(late); });
      return;
    }
    const MonotonicTime begun = runtime_.now() + answer_delay;
    link->start_transfer(
        call, objects * object_bytes, answer_delay,
        [this, begun, handler = std::move(handler), value = std::move(value)]() mutable {
          if (value) value->transfer_time = runtime_.now() - begun;
          handler(std::move(value));
        });
  }
  template <typename Value>
  void reply(store::StoreHandler<Value> handler, tl::expected<Value, store::StoreError> value) {
    runtime_.post([handler = std::move(handler), value = std::move(value)] { handler(value); });
  }

  Runtime& runtime_;
  std::map<std::string, std::map<std::string, store::StoredObject>> kinds_;
  std::vector<Change> history_;
  std::vector<Change> full_history_;  ///< Including changes dropped from `history_`.
  std::vector<PendingWatch> pending_watches_;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_revision_ = 0;
  store::CallId last_call_ = 0;
};

/// Codec for the objects of `MemoryStore`.
class TestCodec : public relay::CatalogCodec {
 public:
  std::string configuration_kind() const override { return "routes"; }
  std::string configuration_name() const override { return "main"; }
  std::string engine_kind() const override { return "engines"; }
  tl::expected<relay::RouteConfiguration, std::string> configuration(
      const nlohmann::json& content) const override;
  tl::expected<relay::EngineRecord, std::string> engine(
      const store::StoredObject& object) const override;
};

/// A list of engines that is always the store's.
class CurrentEngineList : public relay::EngineListStatus {
 public:
  void confirm(Handler handler) override { handler(true); }
  bool may_have_missed_engines() const override { return false; }
};

/// A relay node with two services, `plain` and `model`, and its fakes.
class RelayFixture {
 public:
  RelayFixture();

  /// Replaces the node by a freshly started one that knows no other nodes.
  void restart();

  /// @return whether a request whose first engine fails is sent to another.
  bool sends_retry();

  /// Sends a caller's request.
  std::shared_ptr<RecordedReply> request(const std::string& path, const HttpHeaders& more = {},
                                         const std::string& method = "POST",
                                         const std::string& body = "body");

  /// Registers an engine of a service.
  void add_engine(const std::string& id, const std::string& service,
                  relay::EngineStage stage = relay::EngineStage::kNone, bool draining = false);

  /// @return headers of a valid engine answer to the request `id`.
  static HttpHeaders sealed_headers(const std::string& id = "r1");

  static relay::RouteConfiguration configuration(std::uint64_t version);

  ManualRuntime runtime;
  ScriptedHttpClient http;
  TestDialect dialect;
  relay::RelaySettings settings;
  ConnectionProbe* probe = nullptr;  ///< Used from the next `restart` on.
  CurrentEngineList engine_list;     ///< Of a node whose engines the test registers.
  std::unique_ptr<relay::RelayNode> node;
  std::string software_version = "1.0";  ///< Of the engines that are registered next.
  std::string caller_address = "10.0.0.1";
  std::shared_ptr<RecordingResponder> caller;  ///< Of the last request.
};

}  // namespace shuntbank::testing
