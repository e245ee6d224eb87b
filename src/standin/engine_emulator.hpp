/// @file
/// A model engine without I/O: continuous batching with a cost model, a bounded prefix cache,
/// fenced orders and an execution log. The stand-in process serves it over HTTP; the simulation
/// runs it in process.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/lease/order.hpp"
#include "core/roles/engine_controller.hpp"
#include "core/routing/engine_table.hpp"
#include "core/routing/prefix_cache.hpp"

namespace shuntbank {

/// The cost model. A batch step takes
/// `step_base + step_per_sequence * sequences + its prefill tokens / prefill_tokens_per_second`.
struct EngineCosts {
  Duration step_base = std::chrono::milliseconds(18);
  Duration step_per_sequence = std::chrono::microseconds(400);
  double prefill_tokens_per_second = 8000;
  std::uint64_t mixed_chunk_tokens = 512;     ///< Max. prefill tokens in a step that also decodes.
  std::uint64_t prefill_chunk_tokens = 4096;  ///< Max. prefill tokens in any other step.
  std::size_t max_batch = 48;                 ///< Max. sequences decoded in one step.
  std::size_t max_waiting = 512;              ///< Further requests are refused.
  std::size_t cache_blocks = 2048;            ///< Capacity in prefix blocks.
  double import_tokens_per_second = 400'000;  ///< KV cache import from another engine.
  Duration role_change_time = std::chrono::seconds(4);
  Duration model_load_time = std::chrono::seconds(2);
};

/// Which part of a request a job runs.
enum class JobPart {
  kWhole,
  kPrefillOnly,  ///< Prefill, then retain the KV cache for export.
  kDecodeOnly,   ///< Import the KV cache, then decode.
};

/// One attempt of one request.
struct EngineJob {
  RequestId request;
  AttemptId attempt;
  std::string user;  ///< The caller's `user` field; identifies the request in tests.
  JobPart part = JobPart::kWhole;
  std::string model;  ///< `model` or `model:adapter`; empty for `ServiceKind::kPlain`.
  std::uint64_t prompt_tokens = 1;
  std::vector<std::uint64_t> blocks;  ///< Prefix blocks of the prompt.
  std::uint32_t output_tokens = 1;
  std::uint32_t resume_from = 0;  ///< Number of tokens that the caller already has.
  std::int32_t priority = 0;
};

/// Whether a job was accepted, or why not.
enum class SubmitResult { kAccepted, kNotAccepting, kChangeInProgress, kUnknownModel, kQueueFull };

/// @return the name of `result` in the engine's error replies.
const char* to_text(SubmitResult result);

/// Progress or end of a job.
struct EngineEvent {
  enum class Kind { kToken, kPrefilled, kFinished, kInterrupted };
  Kind kind = Kind::kToken;
  AttemptId attempt;
  std::uint32_t index = 0;  ///< Token index, for `kToken`.
};

/// Entry of the execution log: the ground truth for tests.
struct Execution {
  enum class End { kRunning, kFinished, kCancelled, kInterrupted };
  RequestId request;
  AttemptId attempt;
  std::string user;
  MonotonicTime started{};
  MonotonicTime ended{};
  End end = End::kRunning;
};

/// @return the name of `end` in the execution log.
const char* to_text(Execution::End end);

/// An order that the engine received, and its verdict.
struct OrderHistoryEntry {
  EngineOrder order;
  OrderVerdict verdict = OrderVerdict::kAccepted;
};

/// A change of the prefix cache. Numbers are consecutive, so that a reader detects lost events.
struct CacheEvent {
  std::uint64_t number = 0;
  MonotonicTime at{};  ///< Time of the change; the engine stand-in publishes it later.
  bool inserted = true;
  std::vector<std::uint64_t> blocks;
};

/// An emulated engine whose owner advances its time.
class EngineEmulator {
 public:
  EngineEmulator(const EngineCosts& costs, std::vector<ModelSpec> preloaded);

  SubmitResult submit(MonotonicTime now, const EngineJob& job);

  /// Cancels a job. @return whether it was waiting or running.
  bool cancel(MonotonicTime now, const AttemptId& attempt);

  OrderVerdict claim(Fence fence);
  OrderVerdict order(MonotonicTime now, const EngineOrder& order);

  EngineState state() const;
  LoadReport load() const;

  /// Advances time. @return the events since the last call, in order.
  std::vector<EngineEvent> advance(MonotonicTime now);

  /// @return the time of the next event without further input.
  std::optional<MonotonicTime> next_time() const;

  /// Emulates a crash and restart: jobs, cache, fence and a change in progress are lost. The
  /// execution log and order history survive, as they serve the tests and not the engine.
  void restart(MonotonicTime now);

  const std::vector<Execution>& executions() const { return executions_; }
  const std::vector<OrderHistoryEntry>& order_history() const { return order_history_; }
  const std::deque<CacheEvent>& cache_events() const { return cache_events_; }

  /// @return jobs interrupted by a change of role or models. A correct controller causes none.
  std::uint64_t interrupted_by_change() const { return interrupted_by_change_; }

  /// @return role changes started.
  std::uint64_t role_changes() const { return role_changes_; }

 private:
  struct ActiveJob {
    EngineJob job;
    std::size_t execution = 0;  ///< Index in the log.
    double prefill_tokens_left = 0;
    std::uint32_t next_index = 0;
    MonotonicTime import_ends_at{};
  };

  bool serves_model(const std::string& name) const;
  void begin_step(MonotonicTime now);
  void end_step(std::vector<EngineEvent>& events);
  void finish_prefill(ActiveJob& active_job, std::vector<EngineEvent>& events);
  void end_job(const AttemptId& attempt, MonotonicTime now, Execution::End end);
  void interrupt_all(MonotonicTime now, std::vector<EngineEvent>& events);
  void start_change(MonotonicTime now, const DesiredState& desired);
  void record_cached(MonotonicTime now, const std::vector<std::uint64_t>& blocks);
  double max_chunk_tokens() const;

  EngineCosts costs_;
  std::vector<ModelSpec> preloaded_;
  OrderGate gate_;
  DesiredState active_state_;
  std::optional<MonotonicTime> change_ends_at_;
  std::vector<EngineEvent> pending_events_;
  std::deque<ActiveJob> waiting_;    ///< Waiting for prefill, KV cache import or the batch.
  std::vector<ActiveJob> decoding_;  ///< The decode batch.
  std::optional<MonotonicTime> step_ends_at_;
  double step_prefill_tokens_ = 0;
  PrefixCache cache_;
  std::deque<CacheEvent> cache_events_;
  std::uint64_t last_cache_event_ = 0;
  std::vector<Execution> executions_;
  std::vector<OrderHistoryEntry> order_history_;
  std::uint64_t interrupted_by_change_ = 0;
  std::uint64_t role_changes_ = 0;
};

}  // namespace shuntbank
