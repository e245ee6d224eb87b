/// @file
/// Reports that nodes exchange about requests that engines interrupted.
#pragma once

#include <cstdint>

#include "core/relay/engine_key.hpp"
#include "core/relay/request_identity.hpp"

namespace shuntbank::relay {

enum class CrashEvent : std::uint8_t {
  kInterrupted,   ///< The engine interrupted the request and may have crashed.
  kCrashed,       ///< As `kInterrupted`, and the crash is confirmed.
  kCleared,       ///< The request completed, or an operator released it.
  kTrialStarted,  ///< A suspect request is sent to the engine.
  kAlive,         ///< The engine answered, so earlier interruptions were no crashes.
  kTrialEnded,    ///< The request no longer runs there; the outcome is inconclusive.
};

/// Highest value, for validation when decoding.
constexpr CrashEvent kLastCrashEvent = CrashEvent::kTrialEnded;

/// A report about one request, sent several times to survive message loss.
struct CrashReport {
  CrashEvent event = CrashEvent::kInterrupted;
  RequestIdentity request;
  EngineKey engine = 0;          ///< 0 for `kCleared`.
  CallerAddressHash caller = 0;  ///< The sender of the request; 0 for `kCleared`.
  std::uint32_t age_ms = 0;      ///< Age of the event when the message was sent.

  bool operator==(const CrashReport&) const = default;
};

}  // namespace shuntbank::relay
