/// @file
/// The relay of one machine: the configuration in force, the engines that are known, the requests
/// under way, readiness and the orderly stop. It knows no sockets.
#pragma once

#include <functional>
#include <memory>
#include <unordered_set>
#include <utility>
#include <vector>

#include "common/runtime.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/routes.hpp"
#include "net/http1_server.hpp"
#include "relay/engine_dialect.hpp"
#include "relay/engine_listener.hpp"
#include "relay/engine_permits.hpp"
#include "relay/quarantine.hpp"
#include "relay/relay_metrics.hpp"
#include "relay/relay_session.hpp"
#include "relay/relay_settings.hpp"

namespace shuntbank::relay {

/// What a relay node does its input and output with. All of it outlives the node.
struct RelayIo {
  Runtime& runtime;
  HttpClient& http;
  const EngineDialect& dialect;
};

/// The relay nodes as this one knows them.
struct Fleet {
  std::size_t nodes = 1;  ///< This one included.
  std::size_t rank = 0;   ///< This one's place in an order that all nodes agree on, from 0.

  bool operator==(const Fleet&) const = default;
};

/// One relay node. All of it runs on one thread.
class RelayNode {
 public:
  RelayNode(const RelayIo& io, const RelaySettings& settings);
  ~RelayNode();
  RelayNode(const RelayNode&) = delete;
  RelayNode& operator=(const RelayNode&) = delete;

  /// Takes a configuration over unless the one in force is as new. Requests under way keep theirs.
  /// @return whether it is now in force.
  bool adopt(RouteConfiguration configuration);

  /// Takes the whole list of engines.
  void set_engines(const std::vector<EngineRecord>& records);

  /// Takes one engine's record.
  void set_engine(const EngineRecord& record);

  /// Forgets the engine that calls itself so; what runs there goes on.
  void remove_engine(const std::string& name);

  /// Somebody else has written over an engine's record: it is not used until the engine has written
  /// again. That says nothing of its end.
  void invalidate_engine(const std::string& name);

  /// Handles a request of a caller.
  void handle(HttpRequest request, const std::shared_ptr<ConnectionResponder>& responder);

  /// @return whether the node may get new callers.
  bool ready() const;

  /// The process is to stop: not ready from now on, requests are still taken.
  void begin_stop();

  /// Gives up what is still under way.
  void abort_all();

  /// @return requests under way.
  std::size_t in_flight() const { return sessions_.size(); }

  const RouteTable* table() const { return table_.get(); }
  EngineDirectory& engines() { return engines_; }
  RelayMetrics& metrics() { return metrics_; }
  Quarantine& quarantine() { return quarantine_; }
  EngineListener& listener() { return listener_; }
  EnginePermits& permits() { return permits_; }

  /// Sets what is called when the work under way at engines has changed.
  void on_load_changed(std::function<void()> handler) {
    context_.load_changed = std::move(handler);
  }

  /// Sets what is called when a tenant's request has begun to run at an engine.
  void on_request_started(std::function<void(const TenantName&)> handler) {
    context_.request_started = std::move(handler);
  }

  /// The work under way at engines has changed.
  void notify_load_changed() const { context_.notify_load_changed(); }

  /// Tells the other nodes what was met at an engine.
  void queue_trouble(const EngineTrouble& trouble) { context_.queue_trouble(trouble); }

  /// @return prompts that engines have read for this node since the last call.
  std::vector<PromptRead> take_prompt_reads() {
    return std::exchange(context_.pending_prompt_reads, {});
  }

  /// @return what was met at engines since the last call.
  std::vector<EngineTrouble> take_troubles() {
    return std::exchange(context_.pending_troubles, {});
  }

  /// @return limits of engines that have changed since the last call.
  std::vector<LimitNews> take_limit_updates() {
    return std::exchange(context_.pending_limit_updates, {});
  }

  /// An engine has read a prompt for another node.
  void on_peer_prompt_read(const PromptRead& read);

  /// An engine has told another node its limit.
  void on_peer_limit(const EngineId& engine, const ToldLimit& told);

  /// Learns of the other relay nodes, which share the budgets.
  void set_fleet(const Fleet& fleet);

  const Fleet& fleet() const { return fleet_; }

  /// Sets what is called when the fleet has changed.
  void on_fleet_changed(std::function<void(const Fleet&)> handler) {
    fleet_changed_handler_ = std::move(handler);
  }

  /// Sets what is called when a configuration came into force.
  void on_configuration_adopted(std::function<void(const RouteTable&)> handler);

  /// Sets what is called with the address of an engine that is gone or has moved.
  void on_address_released(std::function<void(const std::string&)> handler);

 private:
  void update_slack_share();
  KeyVerdict admit(const Route& route, const HttpRequest& request) const;
  void report_replaced(const EngineRecord& record);
  void report_unlisted(const EngineId& engine);
  void forget_engine(const EngineId& id);
  void refuse(const HttpRequest& request, ConnectionResponder& responder, int status,
              const char* why);

  RelayIo io_;
  RelaySettings settings_;
  EngineDirectory engines_;
  RelayMetrics metrics_;
  RetryBudgets budgets_;
  EngineListener listener_;
  Quarantine quarantine_;
  EnginePermits permits_;
  RelayContext context_;
  std::shared_ptr<const RouteTable> table_;
  SplitChooser splits_;
  Fleet fleet_;
  double assumed_nodes_ = 0;  ///< That share the slack of the retry budgets; 0: not known yet.
  /// This process spends no slack before: until then a window may hold what an earlier life of it
  /// spent, and the list of nodes may still lack some.
  MonotonicTime slack_available_from_{};
  bool engines_known_ = false;
  bool stopping_ = false;
  std::unordered_set<std::shared_ptr<RelaySession>> sessions_;
  std::function<void(const Fleet&)> fleet_changed_handler_;
  std::function<void(const RouteTable&)> adopted_handler_;
  std::function<void(const std::string&)> address_released_handler_;
};

}  // namespace shuntbank::relay
