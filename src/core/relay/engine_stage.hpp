/// @file
/// The serving stage of a model engine.
#pragma once

namespace shuntbank::relay {

/// The stage that an engine serves.
enum class EngineStage {
  kNone,     ///< The engine of a plain service.
  kPrefill,  ///< Prefills prompts and hands them over to decode engines.
  kDecode,   ///< Generates tokens; may also prefill.
};

/// @return `none`, `prefill` or `decode`.
const char* to_text(EngineStage stage);

}  // namespace shuntbank::relay
