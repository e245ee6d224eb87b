/// @file
/// The part that a model engine plays.
#pragma once

namespace shuntbank::relay {

/// What a model engine does.
enum class EngineStage {
  kNone,     ///< The engine of a plain service.
  kPrefill,  ///< Reads prompts and hands them over.
  kDecode,   ///< Makes tokens; may read prompts as well.
};

/// @return `none`, `prefill` or `decode`.
const char* to_text(EngineStage stage);

}  // namespace shuntbank::relay
