/// @file
/// Notices of upcoming stage changes, which the lease holder sends to all nodes before it orders
/// them, so that no request is on its way to an engine that is about to change.
#pragma once

#include <cstdint>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/relay/engine_key.hpp"
#include "core/relay/engine_stage.hpp"

namespace shuntbank::relay {

/// An upcoming stage change of an engine.
struct StageNotice {
  EngineStage stage = EngineStage::kNone;  ///< After the change; the present one: cancelled.
  std::uint64_t fence = 0;                 ///< Of the lease under which the change is planned.
  Duration valid_for = Duration::zero();   ///< From its receipt.

  bool operator==(const StageNotice&) const = default;
};

/// A notice in messages that name engines by id.
struct EngineStageNotice {
  EngineId engine;
  StageNotice notice;

  bool operator==(const EngineStageNotice&) const = default;
};

/// A notice in messages that name engines by key.
struct KeyedStageNotice {
  EngineKey engine = 0;
  StageNotice notice;

  bool operator==(const KeyedStageNotice&) const = default;
};

/// A notice as a node keeps it.
struct ReceivedStageNotice {
  EngineStage stage = EngineStage::kNone;
  std::uint64_t fence = 0;
  MonotonicTime valid_until{};
};

}  // namespace shuntbank::relay
