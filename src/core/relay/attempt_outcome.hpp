/// @file
/// What is known of one attempt that brought no answer to pass on, and what may follow from it.
#pragma once

#include <cstdint>

#include "core/relay/routes.hpp"

namespace shuntbank::relay {

/// What is known of an attempt that failed.
enum class AttemptOutcome {
  kNotSent,    ///< No byte of the request can have reached the engine.
  kRefused,    ///< The engine said that it did not run the request.
  kUncertain,  ///< The engine may have run the request, in part or wholly.
};

/// How far a request has come.
struct AttemptHistory {
  std::uint32_t sends = 0;  ///< Attempts of which a byte may have left.
  std::uint32_t may_have_run =
      0;                        ///< Attempts that ended uncertain or with an engine's own failure.
  bool head_forwarded = false;  ///< The caller has the head of a stream.
  bool prefill_sent = false;    ///< The prompt was sent to be read apart, once.
  /// An engine may have seen the request, so that each further send is an extra dispatch. A prompt
  /// that was sent first and read apart belongs to the send that takes it up.
  bool may_have_arrived = false;
};

/// What happens next.
enum class AttemptVerdict {
  kTryElsewhere,   ///< Another engine may get it.
  kRefuse,         ///< Final answer: it has not run and never will.
  kFailUncertain,  ///< Final answer without a promise, or a broken connection.
};

/// Largest number of engines that one request is offered to, refusals included.
constexpr std::uint32_t kMaxSends = 4;

/// Decides what follows a failed attempt, apart from the retry budget and the engines at hand.
/// @param history includes the attempt that failed.
AttemptVerdict after_failure(const Route& route, const AttemptHistory& history);

/// @return whether a refusal that promises "not run" is true.
inline bool known_not_run(const AttemptHistory& history) {
  return history.may_have_run == 0;
}

}  // namespace shuntbank::relay
