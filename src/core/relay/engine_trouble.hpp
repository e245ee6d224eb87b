/// @file
/// What a node has met at an engine and tells the others, so that each need not find out for
/// itself.
#pragma once

#include "common/identifiers.hpp"
#include "core/relay/engine_stage.hpp"

namespace shuntbank::relay {

/// What was met.
enum class TroubleKind {
  kUnusable,     ///< It could not be reached, or refuses though it has room.
  kMisdirected,  ///< Another start of an engine has the address, or it has another stage.
  kLeaving,      ///< It has said that it will end; true for all nodes, and for good.
};

/// One trouble.
struct EngineTrouble {
  EngineId engine;
  EngineStage stage = EngineStage::kNone;  ///< That the node took it to have.
  TroubleKind kind = TroubleKind::kUnusable;

  bool operator==(const EngineTrouble&) const = default;
};

}  // namespace shuntbank::relay
