#include "relay/relay_context.hpp"

#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {

void RelayContext::note_read(const EngineId& engine, const std::vector<PromptPart>& parts) {
  EngineView* view = engines.find(engine);
  if (view == nullptr) return;
  view->cache.on_read(parts, view->memory_tokens, runtime.now());
}

void RelayContext::note_engine_ended(const EngineId& engine) {
  quarantine.on_engine_crashed(engine);
  EngineView* view = engines.find(engine);
  if (view == nullptr || std::exchange(view->ended, true)) return;
  metrics.count_engine_ended(view->record.service.value());
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_ended",
            {{"engine", engine.value()},
             {"address", view->record.address},
             {"service", view->record.service.value()}});
}

void RelayContext::note_engine_answered(const EngineId& engine, MonotonicTime sent_at) {
  quarantine.on_engine_answered(engine, sent_at);
  EngineView* view = engines.find(engine);
  if (view != nullptr) view->ended = false;
}

void RelayContext::note_limit(const LimitNews& news) {
  if (!load_changed) return;
  limits.push_back(news);
  note_load();
}

void RelayContext::note_trouble(const EngineTrouble& trouble) {
  if (!load_changed) return;
  troubles.push_back(trouble);
  note_load();
}

}  // namespace shuntbank::relay
