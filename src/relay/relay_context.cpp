#include "relay/relay_context.hpp"

#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {

void RelayContext::on_prompt_read(const PromptRead& read) {
  EngineView* view = engines.find(read.engine);
  if (view == nullptr) return;
  view->cache.on_prompt_read(read.parts, view->memory_tokens, runtime.now(), read.unshared_tokens);
}

void RelayContext::on_engine_terminated(const EngineId& engine) {
  quarantine.on_engine_crashed(engine);
  EngineView* view = engines.find(engine);
  if (view == nullptr || std::exchange(view->terminated, true)) return;
  metrics.count_engine_ended(view->record.service.value());
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_ended",
            {{"engine", engine.value()},
             {"address", view->record.address},
             {"service", view->record.service.value()}});
}

void RelayContext::on_engine_answered(const EngineId& engine, MonotonicTime sent_at) {
  quarantine.on_engine_answered(engine, sent_at);
  EngineView* view = engines.find(engine);
  if (view != nullptr) view->terminated = false;
}

void RelayContext::queue_limit_update(const LimitUpdate& update) {
  if (!load_changed) return;
  pending_limit_updates.push_back(update);
  notify_load_changed();
}

void RelayContext::queue_stage_notice(const EngineStageNotice& notice) {
  engines.on_stage_notice(runtime.now(), notice.engine, notice.notice);
  if (!load_changed) return;
  pending_stage_notices.push_back(notice);
  notify_load_changed();
}

void RelayContext::queue_samples(const EngineId& engine, const EngineSamples& samples) {
  const MonotonicTime now = runtime.now();
  engines.on_samples(now, engine, samples);
  if (load_changed) pending_samples.add(now, engine, samples);
}

void RelayContext::queue_trouble(const EngineTrouble& trouble) {
  if (!load_changed) return;
  pending_troubles.push_back(trouble);
  notify_load_changed();
}

}  // namespace shuntbank::relay
