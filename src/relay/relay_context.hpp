/// @file
/// State and services shared by the sessions of one relay node.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "common/runtime.hpp"
#include "core/relay/admission.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/engine_samples.hpp"
#include "core/relay/fair_share.hpp"
#include "core/relay/retry_budget.hpp"
#include "core/relay/sample_buffer.hpp"
#include "core/relay/stage_notice.hpp"
#include "net/http_client.hpp"
#include "relay/engine_dialect.hpp"
#include "relay/engine_listener.hpp"
#include "relay/engine_paths.hpp"
#include "relay/engine_permits.hpp"
#include "relay/quarantine.hpp"
#include "relay/relay_metrics.hpp"
#include "relay/relay_settings.hpp"
#include "relay/stream_origins.hpp"
#include "relay/tenant_quotas.hpp"

namespace shuntbank::relay {

/// Shared by all sessions. All references outlive them.
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
  TenantQuotas& quotas;
  EnginePaths& paths;
  StreamOrigins& streams;

  std::function<void()> load_changed;                      ///< May be empty.
  std::function<void(const TenantName&)> request_started;  ///< May be empty.
  std::vector<PromptRead> pending_prompt_reads;    ///< Not yet sent; empty without a load exchange.
  std::vector<EngineTrouble> pending_troubles;     ///< Likewise.
  std::vector<LimitUpdate> pending_limit_updates;  ///< Likewise.
  std::vector<EngineStageNotice> pending_stage_notices;  ///< Likewise.
  SampleBuffer<EngineId> pending_samples;                ///< Likewise.
  AdmissionControl admission = AdmissionControl(settings.admission);
  FairShares shares = {};
  AnswerMemory answer_memory = AnswerMemory(settings.answers);
  /// When all requests are aborted, as the process ends; unset until it takes no more callers.
  std::optional<MonotonicTime> abort_at = std::nullopt;

  /// An engine has prefilled a prompt and caches its parts.
  void on_prompt_read(const PromptRead& read);

  /// Queues a trouble report for the other nodes.
  void queue_trouble(const EngineTrouble& trouble);

  /// Queues a changed engine limit for the other nodes.
  void queue_limit_update(const LimitUpdate& update);

  /// Applies a notice of this node's planner and queues it for the other nodes.
  void queue_stage_notice(const EngineStageNotice& notice);

  /// Applies this node's observations of an engine and queues them for the other nodes.
  void queue_samples(const EngineId& engine, const EngineSamples& samples);

  /// The engine process has terminated: its address refuses connections, and not only for a broken
  /// path of this node.
  void on_engine_terminated(const EngineId& engine);

  /// An engine has answered a request that was sent at `sent_at`.
  void on_engine_answered(const EngineId& engine, MonotonicTime sent_at);

  /// The load in flight at an engine has changed.
  void notify_load_changed() const {
    if (load_changed) load_changed();
  }
};

}  // namespace shuntbank::relay
