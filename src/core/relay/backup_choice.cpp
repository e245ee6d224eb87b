#include "core/relay/backup_choice.hpp"

namespace shuntbank::relay {

bool wants_backup(const Route& route, const PromptShape& prompt, const BackupSettings& settings) {
  if (route.kind != RouteKind::kStream || route.idempotent()) return false;
  const auto most_output = static_cast<double>(prompt.most_output_tokens);
  return most_output >= static_cast<double>(prompt.prompt_tokens) * settings.least_output_share;
}

std::optional<EngineId> choose_backup(MonotonicTime now, EngineDirectory& engines,
                                      const PlacementQuery& query, const EngineId& running,
                                      const PlacementSettings& settings) {
  std::vector<EngineId> avoid;
  if (query.avoid != nullptr) avoid = *query.avoid;
  avoid.push_back(running);
  PlacementQuery elsewhere = query;
  elsewhere.avoid = &avoid;
  elsewhere.stage = EngineStage::kDecode;
  const auto placement = place(now, engines, elsewhere, settings);
  if (!placement) return std::nullopt;
  return placement->engine;
}

}  // namespace shuntbank::relay
