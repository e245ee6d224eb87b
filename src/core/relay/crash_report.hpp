/// @file
/// What nodes tell each other of requests that engines broke off.
#pragma once

#include <cstdint>

#include "core/relay/engine_key.hpp"
#include "core/relay/request_identity.hpp"

namespace shuntbank::relay {

enum class CrashNews : std::uint8_t {
  kBroken,    ///< The engine broke the request off, and may have ended.
  kEnded,     ///< The same, and it has ended.
  kCleared,   ///< The request ran to its end, or an operator speaks for it.
  kOnTrial,   ///< The engine is given the request, under which others may have ended.
  kLives,     ///< The engine has answered since: what broke there before was not its end.
  kOffTrial,  ///< The engine has it no more, and nothing is to be learned from how it ended.
};

/// The last of the kinds, for those who read them from a message.
constexpr CrashNews kLastCrashNews = CrashNews::kOffTrial;

/// One piece of news. Told a few times, so that a lost message does not matter.
struct CrashReport {
  CrashNews news = CrashNews::kBroken;
  RequestIdentity request;
  EngineKey engine = 0;          ///< Nothing where a request is cleared.
  CallerAddressHash caller = 0;  ///< Whence the request came; nothing where it is cleared.
  std::uint32_t age_ms = 0;      ///< How long ago it happened, when the message was made.

  bool operator==(const CrashReport&) const = default;
};

}  // namespace shuntbank::relay
