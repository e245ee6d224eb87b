#include "core/configuration/config_replica.hpp"

#include <utility>

namespace shuntbank {

OfferResult ConfigReplica::offer(const ConfigDocument& document) {
  const bool first = snapshot_ == nullptr;
  if (!first && document.revision <= document_.revision) return OfferResult::kNotNewer;
  return adopt(document);
}

OfferResult ConfigReplica::offer_changes(Revision base, const ConfigDocument& changes) {
  if (changes.revision <= document_.revision && snapshot_) return OfferResult::kNotNewer;
  if (base > document_.revision) return OfferResult::kBaseMissing;
  ConfigDocument merged = document_;
  merged.merge(changes);
  return adopt(std::move(merged));
}

OfferResult ConfigReplica::adopt(ConfigDocument document) {
  auto snapshot = Snapshot::build(document);
  if (!snapshot) {
    findings_ = snapshot.error();
    return OfferResult::kInvalid;
  }
  document_ = std::move(document);
  snapshot_ = std::move(*snapshot);
  return OfferResult::kAdopted;
}

}  // namespace shuntbank
