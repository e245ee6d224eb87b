/// @file
/// Reports that nodes exchange about requests that engines interrupted.
#pragma once

#include <cstdint>

#include "core/relay/engine_key.hpp"
#include "core/relay/request_identity.hpp"

namespace shuntbank::relay {

enum class CrashNews : std::uint8_t {
  kBroken,    ///< The engine interrupted the request and may have crashed.
  kEnded,     ///< As `kInterrupted`, and the crash is confirmed.
  kCleared,   ///< The request completed, or an operator released it.
  kOnTrial,   ///< A suspect request is sent to the engine.
  kLives,     ///< The engine answered, so earlier interruptions were no crashes.
  kOffTrial,  ///< The request no longer runs there; the outcome is inconclusive.
};

/// Highest value, for validation when decoding.
constexpr CrashNews kLastCrashNews = CrashNews::kOffTrial;

/// A report about one request, sent several times to survive message loss.
struct CrashReport {
  CrashNews news = CrashNews::kBroken;
  RequestIdentity request;
  EngineKey engine = 0;      ///< 0 for `kCleared`.
  CallerKey caller = 0;      ///< The sender of the request; 0 for `kCleared`.
  std::uint32_t age_ms = 0;  ///< Age of the event when the message was sent.

  bool operator==(const CrashReport&) const = default;
};

}  // namespace shuntbank::relay
