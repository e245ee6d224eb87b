/// @file
/// Outcome of an attempt that yielded no answer to forward, and whether to retry.
#pragma once

#include <cstdint>

#include "core/relay/routes.hpp"

namespace shuntbank::relay {

/// How an attempt failed.
enum class AttemptOutcome {
  kNotSent,    ///< No byte of the request reached the engine.
  kRefused,    ///< The engine answered that it did not run the request.
  kUncertain,  ///< The engine may have run the request, at least in part.
};

/// Progress of a request over its attempts.
struct AttemptHistory {
  std::uint32_t sends = 0;         ///< Attempts of which a byte may have been sent.
  std::uint32_t may_have_run = 0;  ///< Attempts that ended uncertain or with an engine's failure.
  bool run_in_flight = false;      ///< An attempt that may run the request has not ended.
  bool answered = false;           ///< An engine has given its final answer, which is no refusal.
  bool head_forwarded = false;     ///< The response head of a stream was forwarded to the caller.
  bool prefill_sent = false;       ///< A remote prefill was attempted; there is at most one.
  /// An engine may have received the request, so that each further send is an extra dispatch. A
  /// remote prefill counts as part of the decode dispatch that follows it.
  bool may_have_arrived = false;
};

/// What to do after a failed attempt.
enum class AttemptVerdict {
  kTryElsewhere,   ///< Retry at another engine.
  kRefuse,         ///< Final answer: the request has not run and never will.
  kFailUncertain,  ///< Final answer or broken connection: the request may have run.
};

/// Maximum sends of one request, including refused ones.
constexpr std::uint32_t kMaxSends = 4;

/// Decides what to do after a failed attempt, leaving aside retry budget and available engines.
/// @param history includes the attempt that failed.
AttemptVerdict after_failure(const Route& route, const AttemptHistory& history);

/// @return whether the caller may be told that the request has not run.
inline bool known_not_run(const AttemptHistory& history) {
  return history.may_have_run == 0 && !history.run_in_flight && !history.answered;
}

}  // namespace shuntbank::relay
