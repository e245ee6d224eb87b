/// @file
/// Problems with an engine that a node reports to the others.
#pragma once

#include "common/identifiers.hpp"
#include "core/relay/engine_stage.hpp"

namespace shuntbank::relay {

/// Kind of problem.
enum class TroubleKind {
  kUnusable,     ///< It is unreachable, or refuses requests despite free slots.
  kMisdirected,  ///< The address serves another incarnation, or the stage differs.
  kDraining,     ///< It announced its shutdown, to all nodes and irrevocably.
};

/// A problem that a node met at an engine.
struct EngineTrouble {
  EngineId engine;
  EngineStage stage = EngineStage::kNone;  ///< As known to the reporting node.
  TroubleKind kind = TroubleKind::kUnusable;

  bool operator==(const EngineTrouble&) const = default;
};

}  // namespace shuntbank::relay
