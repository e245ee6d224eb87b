#include "core/relay/stage_planner.hpp"

#include <algorithm>
#include <cmath>

namespace shuntbank::relay {

std::optional<StageChange> StagePlanner::next(MonotonicTime now, EngineDirectory& engines,
                                              const RouteTable& table) {
  if (!first_engines_) note_first_engines(engines);
  const bool new_batch = !batch_began_ || now - *batch_began_ >= settings_.between_batches;
  const bool batch_open = new_batch || batch_left_ > 0;
  for (const RelayedService& service : table.configuration().services) {
    if (!service.model) continue;
    auto change = next_for(now, engines, service, batch_open);
    if (!change) continue;
    given_[change->engine] = {change->stage, now};
    if (newcomer(now, *engines.find(change->engine))) return change;
    if (new_batch) {
      batch_began_ = now;
      batch_left_ = batch_size(engines, service);
    }
    --batch_left_;
    return change;
  }
  return std::nullopt;
}

void StagePlanner::note_first_engines(const EngineDirectory& engines) {
  if (engines.size() == 0) return;
  first_engines_.emplace();
  for (const auto& [id, engine] : engines.all()) first_engines_->insert(id);
}

/// @return whether the engine has come since planning began and nobody has a use for it yet.
bool StagePlanner::newcomer(MonotonicTime now, const EngineView& engine) const {
  const bool first = !first_engines_ || first_engines_->count(engine.record.id) > 0;
  return !first && engine.total_requests(now) < 0.5 && engine.cache.empty();
}

std::size_t StagePlanner::batch_size(EngineDirectory& engines,
                                     const RelayedService& service) const {
  const auto all = static_cast<double>(engines.find_by_service(service.name).size());
  return std::max<std::size_t>(1, static_cast<std::size_t>(all * settings_.share_at_once));
}

EngineStage StagePlanner::expected_stage(MonotonicTime now, const EngineRecord& record) const {
  const auto given = given_.find(record.id);
  const bool under_way =
      given != given_.end() && now - given->second.at < settings_.not_again_within;
  return under_way ? given->second.stage : record.stage;
}

std::optional<StageChange> StagePlanner::next_for(MonotonicTime now, EngineDirectory& engines,
                                                  const RelayedService& service, bool batch_open) {
  std::vector<EngineView*> prefill;
  std::vector<EngineView*> decode;
  for (EngineView* engine : engines.find_by_service(service.name)) {
    if (engine->record.draining) continue;
    (expected_stage(now, engine->record) == EngineStage::kPrefill ? prefill : decode)
        .push_back(engine);
  }
  const auto all = prefill.size() + decode.size();
  const auto wanted =
      static_cast<std::size_t>(std::lround(static_cast<double>(all) * settings_.prefill_share));
  if (prefill.size() == wanted) return std::nullopt;
  const bool more_prefill = prefill.size() < wanted;
  if (more_prefill && decode.size() <= settings_.least_decode) return std::nullopt;
  auto& from = more_prefill ? decode : prefill;
  std::erase_if(from, [&](const EngineView* engine) {
    if (!batch_open && !newcomer(now, *engine)) return true;
    const auto given = given_.find(engine->record.id);
    return given != given_.end() && now - given->second.at < settings_.not_again_within;
  });
  if (from.empty()) return std::nullopt;
  const auto least = std::min_element(from.begin(), from.end(), [&](auto* left, auto* right) {
    const bool left_newcomer = newcomer(now, *left);
    if (left_newcomer != newcomer(now, *right)) return left_newcomer;
    return left->total_requests(now) < right->total_requests(now);
  });
  return StageChange{(*least)->record.id,
                     more_prefill ? EngineStage::kPrefill : EngineStage::kDecode};
}

}  // namespace shuntbank::relay
