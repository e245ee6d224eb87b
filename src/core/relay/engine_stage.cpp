#include "core/relay/engine_stage.hpp"

namespace shuntbank::relay {

const char* to_text(EngineStage stage) {
  switch (stage) {
    case EngineStage::kNone:
      return "none";
    case EngineStage::kPrefill:
      return "prefill";
    case EngineStage::kDecode:
      return "decode";
  }
  return "none";
}

}  // namespace shuntbank::relay
