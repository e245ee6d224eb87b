/// @file
/// Chooses the engine that keeps a copy of a stream's memory, so that a stream which must not run
/// twice can go on there when its engine is lost or leaves.
#pragma once

#include <optional>

#include "core/relay/placement.hpp"

namespace shuntbank::relay {

/// When a copy pays.
struct BackupSettings {
  /// Of the prompt's tokens: answers that may be shorter end soon, and copying them is mostly
  /// copying their prompt. 1e9: never.
  double least_output_share = 1;
};

/// @return whether a stream is worth a copy: it cannot simply run again, and is long.
bool wants_backup(const Route& route, const PromptShape& prompt, const BackupSettings& settings);

/// @param query of the request; its stage is left to the choice.
/// @param running the engine that runs the stream.
/// @return the engine for the copy, or nothing when there is no other.
std::optional<EngineId> choose_backup(MonotonicTime now, EngineDirectory& engines,
                                      const PlacementQuery& query, const EngineId& running,
                                      const PlacementSettings& settings);

}  // namespace shuntbank::relay
