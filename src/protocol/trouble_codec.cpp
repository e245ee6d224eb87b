#include "protocol/trouble_codec.hpp"

namespace shuntbank {

using relay::TroubleKind;

void append_kind(nlohmann::json& entry, TroubleKind kind) {
  entry.push_back(kind == TroubleKind::kMisdirected);
  if (kind == TroubleKind::kDraining) entry.push_back(true);
}

TroubleKind trouble_kind(const nlohmann::json& entry) {
  if (entry.at(2).get<bool>()) return TroubleKind::kMisdirected;
  const bool draining = entry.size() > 3 && entry.at(3).get<bool>();
  return draining ? TroubleKind::kDraining : TroubleKind::kUnusable;
}

}  // namespace shuntbank
