#include "core/relay/stage_planner.hpp"

#include <algorithm>
#include <cmath>

namespace shuntbank::relay {

std::optional<StageChange> StagePlanner::next(MonotonicTime now, EngineDirectory& engines,
                                              const RouteTable& table) {
  const bool new_batch = !batch_began_ || now - *batch_began_ >= settings_.between_batches;
  if (!new_batch && batch_left_ == 0) return std::nullopt;
  for (const RelayedService& service : table.configuration().services) {
    if (!service.model) continue;
    auto change = next_for(now, engines, service);
    if (!change) continue;
    if (new_batch) {
      batch_began_ = now;
      batch_left_ = batch_size(engines, service);
    }
    --batch_left_;
    given_[change->engine] = {change->stage, now};
    return change;
  }
  return std::nullopt;
}

std::size_t StagePlanner::batch_size(EngineDirectory& engines,
                                     const RelayedService& service) const {
  const auto all = static_cast<double>(engines.of_service(service.name).size());
  return std::max<std::size_t>(1, static_cast<std::size_t>(all * settings_.share_at_once));
}

EngineStage StagePlanner::expected_stage(MonotonicTime now, const EngineRecord& record) const {
  const auto given = given_.find(record.id);
  const bool under_way =
      given != given_.end() && now - given->second.at < settings_.not_again_within;
  return under_way ? given->second.stage : record.stage;
}

std::optional<StageChange> StagePlanner::next_for(MonotonicTime now, EngineDirectory& engines,
                                                  const RelayedService& service) {
  std::vector<EngineView*> prefill;
  std::vector<EngineView*> decode;
  for (EngineView* engine : engines.of_service(service.name)) {
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
    const auto given = given_.find(engine->record.id);
    return given != given_.end() && now - given->second.at < settings_.not_again_within;
  });
  if (from.empty()) return std::nullopt;
  const auto least = std::min_element(from.begin(), from.end(), [&](auto* left, auto* right) {
    return left->requests_there(now) < right->requests_there(now);
  });
  return StageChange{(*least)->record.id,
                     more_prefill ? EngineStage::kPrefill : EngineStage::kDecode};
}

}  // namespace shuntbank::relay
