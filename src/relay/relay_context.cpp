#include "relay/relay_context.hpp"

namespace shuntbank::relay {

void RelayContext::note_read(const EngineId& engine, const std::vector<PromptPart>& parts) {
  EngineView* view = engines.find(engine);
  if (view == nullptr) return;
  view->cache.on_read(parts, view->memory_tokens, runtime.now());
}

void RelayContext::note_trouble(const EngineTrouble& trouble) {
  if (!load_changed) return;
  troubles.push_back(trouble);
  note_load();
}

}  // namespace shuntbank::relay
