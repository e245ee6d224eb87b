/// @file
/// The course of one request over its attempts: which chunk may be delivered, what follows a
/// failure, and what the caller may be told about whether the request ran.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "common/identifiers.hpp"

namespace shuntbank {

/// What a caller is told about a request that got no whole answer.
enum class RequestOutcome {
  kNotRun,   ///< No engine ran any part of it.
  kUnknown,  ///< It may have run, in part or whole.
};

/// @return the name of `outcome` in the callers' interface.
const char* to_text(RequestOutcome outcome);

/// How an attempt failed.
enum class AttemptFailure {
  kNothingSent,  ///< No byte of the dispatch can have reached the engine.
  kRefused,      ///< The engine itself says that it did not run the request.
  kUncertain,    ///< Anything else: the engine may have run it.
};

/// What to do with a chunk.
enum class ChunkVerdict {
  kDeliver,  ///< The next one in order, from the current attempt.
  kDrop,     ///< From an abandoned attempt, or already delivered.
  kGap,      ///< One before it was lost: fail the attempt.
};

/// Dispatch again to another engine, from token `resume_from`.
struct Redispatch {
  std::uint32_t resume_from = 0;
};

/// Answer the caller now.
struct AbortRequest {
  RequestOutcome outcome = RequestOutcome::kUnknown;
};

using FailureDecision = std::variant<Redispatch, AbortRequest>;

/// State of one request. Safety rests on two rules. A request that is not repeatable is dispatched
/// again only if no attempt before can have run it. `kNotRun` is said only if that holds for every
/// attempt.
class RequestProgress {
 public:
  /// @param max_attempts bound on dispatches, at least one.
  RequestProgress(RequestId id, bool repeatable, std::uint32_t max_attempts);

  /// Starts the next attempt. Chunks of all attempts before are dropped from here on.
  /// @return the attempt's id, unique over all requests whose ids are unique.
  AttemptId begin_attempt();

  /// A part of the request ran, such as its prefill, though nothing was delivered yet.
  void on_partial_run() { may_have_run_ = true; }

  /// Judges a chunk by its attempt and the index of its first token; counts it when delivered.
  ChunkVerdict accept_chunk(const AttemptId& attempt, std::uint32_t index);

  /// Records a failure of the current attempt.
  /// @param may_retry false when the retry budget or the deadline forbids another dispatch.
  FailureDecision on_attempt_failed(AttemptFailure failure, bool may_retry);

  /// @return what a caller may be told if the request is given up now, with an attempt in flight or
  /// not.
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
