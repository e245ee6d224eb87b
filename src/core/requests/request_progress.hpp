/// @file
/// Progress of one request over its attempts: which chunks are delivered, whether a failure is
/// retried, and whether the request may have run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "common/identifiers.hpp"

namespace shuntbank {

/// Outcome reported to the caller when a request got no complete answer.
enum class RequestOutcome {
  kNotRun,   ///< No engine ran any part of it.
  kUnknown,  ///< It may have run, partly or completely.
};

/// @return the name of `outcome` in answers to callers.
const char* to_text(RequestOutcome outcome);

/// How an attempt failed.
enum class AttemptFailure {
  kNothingSent,  ///< No byte of the dispatch can have reached the engine.
  kRefused,      ///< The engine reported that it did not run the request.
  kUncertain,    ///< Anything else: the engine may have run it.
};

/// How to handle a chunk.
enum class ChunkVerdict {
  kDeliver,  ///< The next one in order, from the current attempt.
  kDrop,     ///< From an abandoned attempt, or already delivered.
  kGap,      ///< An earlier chunk was lost: fail the attempt.
};

/// Dispatch again to another engine, resuming at token `resume_from`.
struct Redispatch {
  std::uint32_t resume_from = 0;
};

/// Answer the caller with an error.
struct AbortRequest {
  RequestOutcome outcome = RequestOutcome::kUnknown;
};

using FailureDecision = std::variant<Redispatch, AbortRequest>;

/// State of one request. A request that is not repeatable is dispatched again only if no earlier
/// attempt can have run it. `kNotRun` is reported only if no attempt can have run it.
class RequestProgress {
 public:
  /// @param max_attempts bound on dispatches, at least one.
  RequestProgress(RequestId id, bool repeatable, std::uint32_t max_attempts);

  /// Starts the next attempt. Chunks of earlier attempts are dropped from now on.
  /// @return the attempt's id, unique over all requests whose ids are unique.
  AttemptId begin_attempt();

  /// A part of the request ran, such as its prefill, but nothing was delivered yet.
  void on_partial_run() { may_have_run_ = true; }

  /// Classifies a chunk by its attempt and the index of its first token; counts delivered ones.
  ChunkVerdict accept_chunk(const AttemptId& attempt, std::uint32_t index);

  /// Records a failure of the current attempt.
  /// @param may_retry false when the retry budget or the deadline forbids another dispatch.
  FailureDecision on_attempt_failed(AttemptFailure failure, bool may_retry);

  /// @return the outcome to report if the request is aborted now, with or without an attempt in
  /// flight.
  RequestOutcome outcome_if_abandoned() const;

  const RequestId& id() const { return id_; }
  bool repeatable() const { return repeatable_; }
  const AttemptId& current_attempt() const { return current_; }
  std::uint32_t delivered() const { return delivered_; }
  std::uint32_t attempts() const { return attempts_; }

 private:
  RequestId id_;
  bool repeatable_;
  std::uint32_t max_attempts_;
  std::uint32_t attempts_ = 0;
  std::uint32_t delivered_ = 0;
  bool in_flight_ = false;
  bool may_have_run_ = false;
  AttemptId current_;
};

}  // namespace shuntbank
