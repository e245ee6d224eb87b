#include "bench/placement_command.hpp"

#include <algorithm>
#include <ostream>

#include "core/relay/dispatch_plan.hpp"

namespace shuntbank {
namespace {

using relay::EngineDirectory;
using relay::EngineRecord;
using relay::EngineStage;

constexpr std::uint64_t kSharedTokens = 12000;
constexpr std::uint64_t kOwnTokens = 3000;
constexpr std::uint64_t kSharedParts = 64;  ///< Of all prompts.

struct PlacementCommandSettings {
  std::uint64_t engines = 640;
  std::uint64_t placements = 2000;
  std::uint64_t busy_engines = 100;  ///< With one request each.
};

relay::RelayedService model_service() {
  relay::ModelServing model;
  model.slots = 64;
  model.kv_tokens = 400000;
  model.kv_token_bytes = 18432;
  model.link_megabits_per_second = 370000;
  relay::RelayedService service;
  service.name = ServiceName("model");
  service.model = model;
  return service;
}

std::vector<EngineRecord> engine_list(std::uint64_t count) {
  std::vector<EngineRecord> records;
  for (std::uint64_t i = 0; i < count; ++i) {
    EngineRecord record;
    record.name = "engine-" + std::to_string(i);
    record.started_unix_ms = 1'700'000'000'000 + i;
    record.id = relay::incarnation_id(record.name, record.started_unix_ms);
    record.service = ServiceName("model");
    record.address = "10.0.0.1:" + std::to_string(i);
    record.zone = ZoneName("zone-" + std::to_string(i % 5));
    record.slots = 64;
    record.stage = i % 2 == 0 ? EngineStage::kPrefill : EngineStage::kDecode;
    records.push_back(std::move(record));
  }
  return records;
}

relay::PromptShape prompt(std::uint64_t number) {
  return {{{number % kSharedParts + 1, kSharedTokens}, {1'000'000 + number, kOwnTokens}},
          kSharedTokens + kOwnTokens,
          10};
}

/// Gives some engines work and cached prompts.
void add_work(EngineDirectory& engines, const std::vector<EngineRecord>& records,
              std::uint64_t busy_engines, MonotonicTime now) {
  for (std::uint64_t i = 0; i < busy_engines; ++i) {
    const EngineId& id = records[i * records.size() / busy_engines].id;
    engines.on_attempt_sent(id, {kOwnTokens, false});
    engines.find(id)->cache.on_prompt_read(prompt(i).parts, 0, now);
  }
}

}  // namespace

ExitCode run_placement_command(const std::vector<std::string>& arguments, std::ostream& output,
                               std::ostream& errors) {
  PlacementCommandSettings settings;
  OptionSet options("shuntbank-bench placement [options]");
  options.add_unsigned("engines", settings.engines, 2, 100000, "Engines of the service.");
  options.add_unsigned("placements", settings.placements, 1, 10000000, "Requests to place.");
  options.add_unsigned("busy", settings.busy_engines, 1, 100000, "Engines that have work.");
  const OptionsOutcome outcome = options.read(arguments, output, errors);
  if (!outcome.run) return outcome.code;
  const std::vector<EngineRecord> records = engine_list(settings.engines);
  EngineDirectory engines;
  const MonotonicTime start = monotonic_now();
  engines.replace_all(records);
  const MonotonicTime first_list_end = monotonic_now();
  engines.replace_all(records);
  const MonotonicTime second_list_end = monotonic_now();
  add_work(engines, records, std::min(settings.busy_engines, settings.engines), start);
  const relay::RelayedService service = model_service();
  const MonotonicTime placing_start = monotonic_now();
  for (std::uint64_t i = 0; i < settings.placements; ++i) {
    const relay::PromptShape shape = prompt(i);
    relay::PlacementQuery query;
    query.service = &service;
    query.prompt = &shape;
    query.stage = EngineStage::kPrefill;
    query.zone = ZoneName("zone-1");
    query.cache_view_incomplete = false;
    place(placing_start, engines, query, {});
  }
  const double us_per_placement =
      to_seconds(monotonic_now() - placing_start) * 1e6 / static_cast<double>(settings.placements);
  output << settings.engines << " engines: list " << to_ms(first_list_end - start) << " ms, again "
         << to_ms(second_list_end - first_list_end) << " ms; " << us_per_placement
         << " us per placement\n";
  return ExitCode::kSuccess;
}

}  // namespace shuntbank
