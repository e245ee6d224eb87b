#include "core/relay/stage_planner.hpp"

#include <algorithm>
#include <cmath>

namespace shuntbank::relay {

std::optional<StageChange> StagePlanner::next(MonotonicTime now, EngineDirectory& engines,
                                              const RouteTable& table) {
  if (!initial_engines_) record_initial_engines(engines);
  const bool new_batch = !batch_started_at_ || now - *batch_started_at_ >= settings_.batch_interval;
  const bool batch_open = new_batch || batch_remaining_ > 0;
  for (const RelayedService& service : table.configuration().services) {
    if (!service.model) continue;
    auto change = next_for_service(now, engines, service, batch_open);
    if (!change) continue;
    issued_orders_[change->engine] = {change->stage, now};
    if (is_idle_newcomer(now, *engines.find(change->engine))) return change;
    if (new_batch) {
      batch_started_at_ = now;
      batch_remaining_ = batch_size(engines, service);
    }
    --batch_remaining_;
    return change;
  }
  return std::nullopt;
}

bool StagePlanner::still_wanted(MonotonicTime now, EngineDirectory& engines,
                                const RouteTable& table, const StageChange& change) {
  const EngineView* engine = engines.find(change.engine);
  if (engine == nullptr || engine->record.draining) return false;
  const RelayedService* service = table.find_service(engine->record.service);
  if (service == nullptr || !service->model) return false;
  // Plans as if the change had not been planned. A change of another engine in the same direction
  // confirms it too: the load differs from tick to tick, and the notice names this engine.
  auto issued = issued_orders_.extract(change.engine);
  const auto again = next_for_service(now, engines, *service, true);
  issued_orders_.insert(std::move(issued));
  return again && again->stage == change.stage;
}

void StagePlanner::record_initial_engines(const EngineDirectory& engines) {
  if (engines.size() == 0) return;
  initial_engines_.emplace();
  for (const auto& [id, engine] : engines.all()) initial_engines_->insert(id);
}

/// @return whether the engine joined after planning started and is still idle with an empty cache.
bool StagePlanner::is_idle_newcomer(MonotonicTime now, const EngineView& engine) const {
  const bool initial = !initial_engines_ || initial_engines_->count(engine.record.id) > 0;
  return !initial && engine.total_requests(now) < 0.5 && engine.cache.empty();
}

std::size_t StagePlanner::batch_size(EngineDirectory& engines,
                                     const RelayedService& service) const {
  const auto engine_count = static_cast<double>(engines.find_by_service(service.name).size());
  return std::max<std::size_t>(1,
                               static_cast<std::size_t>(engine_count * settings_.max_batch_share));
}

EngineStage StagePlanner::expected_stage(MonotonicTime now, const EngineRecord& record) const {
  const auto order = issued_orders_.find(record.id);
  const bool in_progress =
      order != issued_orders_.end() && now - order->second.issued_at < settings_.engine_cooldown;
  return in_progress ? order->second.stage : record.stage;
}

std::optional<StageChange> StagePlanner::next_for_service(MonotonicTime now,
                                                          EngineDirectory& engines,
                                                          const RelayedService& service,
                                                          bool batch_open) {
  std::vector<EngineView*> prefill;
  std::vector<EngineView*> decode;
  for (EngineView* engine : engines.find_by_service(service.name)) {
    if (engine->record.draining) continue;
    (expected_stage(now, engine->record) == EngineStage::kPrefill ? prefill : decode)
        .push_back(engine);
  }
  const auto engine_count = prefill.size() + decode.size();
  const auto wanted = static_cast<std::size_t>(
      std::lround(static_cast<double>(engine_count) * settings_.prefill_share));
  if (prefill.size() == wanted) return std::nullopt;
  const bool more_prefill = prefill.size() < wanted;
  if (more_prefill && decode.size() <= settings_.min_decode_engines) return std::nullopt;
  auto& sources = more_prefill ? decode : prefill;
  std::erase_if(sources, [&](const EngineView* engine) {
    if (!batch_open && !is_idle_newcomer(now, *engine)) return true;
    const auto order = issued_orders_.find(engine->record.id);
    return order != issued_orders_.end() &&
           now - order->second.issued_at < settings_.engine_cooldown;
  });
  if (sources.empty()) return std::nullopt;
  const auto least_loaded =
      std::min_element(sources.begin(), sources.end(), [&](auto* left, auto* right) {
        const bool left_newcomer = is_idle_newcomer(now, *left);
        if (left_newcomer != is_idle_newcomer(now, *right)) return left_newcomer;
        return left->total_requests(now) < right->total_requests(now);
      });
  return StageChange{(*least_loaded)->record.id,
                     more_prefill ? EngineStage::kPrefill : EngineStage::kDecode};
}

}  // namespace shuntbank::relay
