/// @file
/// Engine updates that nodes exchange.
#pragma once

#include <vector>

#include "core/relay/crash_report.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/engine_key.hpp"
#include "core/relay/engine_samples.hpp"
#include "core/relay/fair_share.hpp"
#include "core/relay/stage_notice.hpp"

namespace shuntbank::relay {

/// A prompt that an engine has prefilled; see PromptRead.
struct KeyedRead {
  EngineKey engine = 0;
  std::vector<PromptPart> parts;
  std::uint64_t unshared_tokens = 0;

  bool operator==(const KeyedRead&) const = default;
};

/// A problem that a node met at an engine; see EngineTrouble.
struct KeyedTrouble {
  EngineKey engine = 0;
  EngineStage stage = EngineStage::kNone;
  TroubleKind kind = TroubleKind::kUnusable;

  bool operator==(const KeyedTrouble&) const = default;
};

/// A changed rate limit of an engine.
struct KeyedLimit {
  EngineKey engine = 0;
  LimitReport limit;

  bool operator==(const KeyedLimit&) const = default;
};

/// Events at engines and service of tenants since the last message.
struct EngineUpdates {
  std::vector<KeyedRead> reads;
  std::vector<KeyedTrouble> troubles;
  std::vector<CrashReport> crashes;
  std::vector<KeyedLimit> limits;
  std::vector<KeyedStageNotice> stage_notices;
  SamplesByKey samples;
  ServedByTenant served;

  bool empty() const {
    return reads.empty() && troubles.empty() && crashes.empty() && limits.empty() &&
           stage_notices.empty() && samples.empty() && served.empty();
  }
  void append(const EngineUpdates& more);
  bool operator==(const EngineUpdates&) const = default;
};

}  // namespace shuntbank::relay
