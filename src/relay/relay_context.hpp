/// @file
/// What the sessions of one relay node share.
#pragma once

#include <functional>
#include <vector>

#include "common/runtime.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/retry_budget.hpp"
#include "net/http_client.hpp"
#include "relay/engine_dialect.hpp"
#include "relay/engine_listener.hpp"
#include "relay/engine_permits.hpp"
#include "relay/quarantine.hpp"
#include "relay/relay_metrics.hpp"
#include "relay/relay_settings.hpp"

namespace shuntbank::relay {

/// What sessions share. All of it outlives them.
struct RelayContext {
  Runtime& runtime;
  HttpClient& http;
  const EngineDialect& dialect;
  const RelaySettings& settings;
  EngineDirectory& engines;
  RelayMetrics& metrics;
  RetryBudgets& budgets;
  Quarantine& quarantine;
  EngineListener& listener;
  EnginePermits& permits;

  std::function<void()> load_changed;                      ///< May be empty.
  std::function<void(const TenantName&)> request_started;  ///< The same; a tenant's request runs.
  std::vector<PromptRead>
      pending_prompt_reads;  ///< Not yet told to other nodes; empty where none listens.
  std::vector<EngineTrouble> pending_troubles;   ///< The same.
  std::vector<LimitNews> pending_limit_updates;  ///< The same.

  /// An engine has read a prompt and keeps its parts.
  void on_prompt_read(const EngineId& engine, const std::vector<PromptPart>& parts);

  /// Other nodes need not find out for themselves.
  void queue_trouble(const EngineTrouble& trouble);

  /// An engine has changed its limit.
  void queue_limit_update(const LimitNews& news);

  /// Nobody listens at the engine's address any more: it has ended, not just a connection to it.
  void on_engine_ended(const EngineId& engine);

  /// An engine has answered what it was sent at `sent_at`.
  void on_engine_answered(const EngineId& engine, MonotonicTime sent_at);

  /// The work under way at an engine has changed.
  void notify_load_changed() const {
    if (load_changed) load_changed();
  }
};

}  // namespace shuntbank::relay
