/// @file
/// The relay of one machine: active configuration, known engines, requests in flight, readiness and
/// graceful shutdown. Does no socket I/O itself.
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
#include "relay/engine_paths.hpp"
#include "relay/engine_permits.hpp"
#include "relay/quarantine.hpp"
#include "relay/relay_metrics.hpp"
#include "relay/relay_session.hpp"
#include "relay/relay_settings.hpp"
#include "relay/stream_origins.hpp"
#include "relay/tenant_quotas.hpp"

namespace shuntbank::relay {

/// I/O interfaces of a relay node. All of them outlive the node.
struct RelayIo {
  Runtime& runtime;
  HttpClient& http;
  const EngineDialect& dialect;
  ConnectionProbe* probe = nullptr;  ///< Null: paths to engines are not checked.
};

/// The fleet of relay nodes as seen by this one.
struct Fleet {
  std::size_t nodes = 1;  ///< This one included.
  std::size_t rank = 0;   ///< Position in an order that all nodes agree on, from 0.

  bool operator==(const Fleet&) const = default;
};

/// One relay node. Runs on a single thread.
class RelayNode {
 public:
  RelayNode(const RelayIo& io, const RelaySettings& settings);
  ~RelayNode();
  RelayNode(const RelayNode&) = delete;
  RelayNode& operator=(const RelayNode&) = delete;

  /// Activates a configuration unless the active one is as new. Requests in flight keep theirs.
  /// @return whether it is now active.
  bool adopt(RouteConfiguration configuration);

  /// Replaces the list of engines.
  void set_engines(const std::vector<EngineRecord>& records);

  /// Adds or updates one engine.
  void set_engine(const EngineRecord& record);

  /// Removes the engine of that name. Requests in flight there continue.
  void remove_engine(const std::string& name);

  /// Stops using an engine whose record was overwritten by another writer, until the engine writes
  /// it again. The engine is not taken for crashed.
  void invalidate_engine(const std::string& name);

  /// Handles a request of a caller.
  void handle(HttpRequest request, const std::shared_ptr<ConnectionResponder>& responder);

  /// @return whether the node should receive new connections.
  bool ready() const;

  /// Begins shutdown: not ready from now on, requests are still accepted.
  void begin_stop();

  /// Refuses requests from now on that may still run at `abort_at`, when `abort_all` is called.
  void refuse_unfinished_by(MonotonicTime abort_at);

  /// Aborts all requests in flight.
  void abort_all();

  /// @return number of requests in flight.
  std::size_t in_flight() const { return sessions_.size(); }

  const RouteTable* table() const { return table_.get(); }
  EngineDirectory& engines() { return engines_; }
  RelayMetrics& metrics() { return metrics_; }
  Quarantine& quarantine() { return quarantine_; }
  EngineListener& listener() { return listener_; }
  EnginePermits& permits() { return permits_; }
  TenantQuotas& quotas() { return quotas_; }
  EnginePaths& paths() { return paths_; }
  const EnginePaths& paths() const { return paths_; }
  StreamOrigins& streams() { return streams_; }

  /// Sets the handler for changes of the load in flight at engines.
  void on_load_changed(std::function<void()> handler) {
    context_.load_changed = std::move(handler);
  }

  /// Sets the handler for a tenant's request that has started to run at an engine.
  void on_request_started(std::function<void(const TenantName&)> handler) {
    context_.request_started = std::move(handler);
  }

  /// The load in flight at engines has changed.
  void notify_load_changed() const { context_.notify_load_changed(); }

  /// Queues a trouble report for the other nodes.
  void queue_trouble(const EngineTrouble& trouble) { context_.queue_trouble(trouble); }

  /// @return prompts that engines have prefilled for this node since the last call.
  std::vector<PromptRead> take_prompt_reads() {
    return std::exchange(context_.pending_prompt_reads, {});
  }

  /// @return trouble reports since the last call.
  std::vector<EngineTrouble> take_troubles() {
    return std::exchange(context_.pending_troubles, {});
  }

  /// @return engine limits changed since the last call.
  std::vector<LimitUpdate> take_limit_updates() {
    return std::exchange(context_.pending_limit_updates, {});
  }

  /// Applies a notice of this node's planner and queues it for the other nodes.
  void queue_stage_notice(const EngineStageNotice& notice) { context_.queue_stage_notice(notice); }

  /// @return the oldest queued stage notices, at most `max_count`. The others stay queued.
  std::vector<EngineStageNotice> take_stage_notices(std::size_t max_count);

  /// Applies this node's observations of an engine and queues them for the other nodes.
  void queue_samples(const EngineId& engine, const EngineSamples& samples) {
    context_.queue_samples(engine, samples);
  }

  /// @return the queued engine samples that may be sent now.
  SamplesById take_samples() { return context_.pending_samples.take(io_.runtime.now()); }

  /// @return tokens served to tenants since the last call, if a report is due.
  ServedByTenant take_served() { return context_.shares.take_served(io_.runtime.now()); }

  /// Other nodes have served tenants.
  void on_peer_served(const ServedByTenant& served) {
    context_.shares.on_peer_served(io_.runtime.now(), served);
  }

  /// @return the fair shares of the tenants as this node knows them.
  FairShares& shares() { return context_.shares; }

  /// An engine has prefilled a prompt for another node.
  void on_peer_prompt_read(const PromptRead& read);

  /// Another node has reported an engine's limit.
  void on_peer_limit(const EngineId& engine, const LimitReport& told);

  /// Sets the fleet, whose nodes share the retry budgets.
  void set_fleet(const Fleet& fleet);

  const Fleet& fleet() const { return fleet_; }

  /// Sets the handler for a changed fleet.
  void on_fleet_changed(std::function<void(const Fleet&)> handler) {
    fleet_changed_handler_ = std::move(handler);
  }

  /// Sets the handler for a newly active configuration.
  void on_configuration_adopted(std::function<void(const RouteTable&)> handler);

  /// Sets the handler that gets the address of an engine that is gone or has moved.
  void on_address_released(std::function<void(const std::string&)> handler);

 private:
  void update_node_shares();
  void set_node_shares();
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
  EnginePaths paths_;
  Quarantine quarantine_;
  EnginePermits permits_;
  TenantQuotas quotas_;
  StreamOrigins streams_;
  RelayContext context_;
  std::shared_ptr<const RouteTable> table_;
  SplitChooser splits_;
  Fleet fleet_;
  double least_expected_nodes_;  ///< Also while fewer nodes are known.
  std::unique_ptr<Timer> share_timer_;
  double assumed_nodes_ = 0;  ///< Sharing the retry budgets' slack; 0: unknown yet.
  /// No slack is spent earlier: a previous run of this process may have spent it in the same
  /// window, and the list of nodes may be incomplete.
  MonotonicTime slack_available_from_{};
  bool engines_known_ = false;
  bool stopping_ = false;
  std::unordered_set<std::shared_ptr<RelaySession>> sessions_;
  std::function<void(const Fleet&)> fleet_changed_handler_;
  std::function<void(const RouteTable&)> adopted_handler_;
  std::function<void(const std::string&)> address_released_handler_;
};

}  // namespace shuntbank::relay
