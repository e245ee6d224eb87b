#include "core/relay/engine_updates.hpp"

namespace shuntbank::relay {

void EngineUpdates::append(const EngineUpdates& more) {
  reads.insert(reads.end(), more.reads.begin(), more.reads.end());
  troubles.insert(troubles.end(), more.troubles.begin(), more.troubles.end());
  crashes.insert(crashes.end(), more.crashes.begin(), more.crashes.end());
  limits.insert(limits.end(), more.limits.begin(), more.limits.end());
  stage_notices.insert(stage_notices.end(), more.stage_notices.begin(), more.stage_notices.end());
  for (const auto& [engine, added] : more.samples) samples[engine] += added;
  add_served(served, more.served);
}

}  // namespace shuntbank::relay
