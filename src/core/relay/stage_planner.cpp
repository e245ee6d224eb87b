#include "core/relay/stage_planner.hpp"

#include <algorithm>
#include <cmath>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <tuple>
#include <utility>

namespace shuntbank::relay {
namespace {

/// Engines whose speeds differ by less than a tenth count as alike.
constexpr double kSpeedSteps = 10;

double total_speed(const std::vector<EngineView*>& engines) {
  double sum = 0;
  for (const EngineView* engine : engines) sum += relative_speed(*engine);
  return sum;
}

}  // namespace

std::istream& operator>>(std::istream& in, StageMode& mode) {
  std::string name;
  in >> name;
  if (name == "fixed") {
    mode = StageMode::kFixed;
  } else if (name == "demand") {
    mode = StageMode::kDemand;
  } else {
    in.setstate(std::ios::failbit);
  }
  return in;
}

std::ostream& operator<<(std::ostream& out, StageMode mode) {
  return out << (mode == StageMode::kFixed ? "fixed" : "demand");
}

std::optional<StageChange> StagePlanner::next(MonotonicTime now, EngineDirectory& engines,
                                              const RouteTable& table) {
  if (!initial_engines_) record_initial_engines(engines);
  observe(now, engines, table);
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

StagePlanner::EnginesByStage StagePlanner::divide(MonotonicTime now, const EngineDirectory& engines,
                                                  const RelayedService& service) const {
  EnginesByStage divided;
  for (EngineView* engine : engines.find_by_service(service.name)) {
    if (engine->record.draining) continue;
    // A lost engine is still listed for some seconds.
    if (settings_.mode == StageMode::kDemand && engine->terminated) continue;
    const bool prefill = expected_stage(now, engine->record) == EngineStage::kPrefill;
    (prefill ? divided.prefill : divided.decode).push_back(engine);
  }
  return divided;
}

void StagePlanner::update_demand(MonotonicTime now, const EngineDirectory& engines,
                                 const RelayedService& service, const EnginesByStage& divided) {
  ServiceState& state = services_.try_emplace(service.name, settings_.prefill_share).first->second;
  if (!state.demand.due(now)) return;
  state.demand.observe(now, measure_stage_load(now, engines.find_by_service(service.name),
                                               engines.model_of(service.name)));
  const StageAmounts capacity{total_speed(divided.prefill), total_speed(divided.decode)};
  const auto cause = state.balance.update(now, state.demand, capacity);
  if (!cause) return;
  target_changes_.push_back({service.name, *cause, state.balance.target(), capacity,
                             state.demand.heaviest(), state.demand.recent(),
                             state.demand.history()});
}

void StagePlanner::observe(MonotonicTime now, const EngineDirectory& engines,
                           const RouteTable& table) {
  if (settings_.mode != StageMode::kDemand) return;
  for (const RelayedService& service : table.configuration().services) {
    if (service.model) update_demand(now, engines, service, divide(now, engines, service));
  }
}

std::vector<StageTargetChange> StagePlanner::take_target_changes() {
  return std::exchange(target_changes_, {});
}

std::optional<EngineStage> StagePlanner::growing_by_share(const EnginesByStage& divided) const {
  const auto engine_count = divided.prefill.size() + divided.decode.size();
  const auto wanted = static_cast<std::size_t>(
      std::lround(static_cast<double>(engine_count) * settings_.prefill_share));
  if (divided.prefill.size() == wanted) return std::nullopt;
  return divided.prefill.size() < wanted ? EngineStage::kPrefill : EngineStage::kDecode;
}

std::optional<EngineStage> StagePlanner::growing_by_demand(const ServiceState& state,
                                                           const EnginesByStage& divided) const {
  // Prompts without a prefill engine are prefilled by decode engines, so that no demand shows.
  if (divided.prefill.empty()) return EngineStage::kPrefill;
  if (!state.balance.target()) return std::nullopt;
  const StageTarget& target = *state.balance.target();
  const bool more_prefill = target.growing == EngineStage::kPrefill;
  const double prefill = total_speed(divided.prefill);
  const double decode = total_speed(divided.decode);
  const double missing = target.prefill_share * (prefill + decode) - prefill;
  // Up to half an engine too few or too many is as near as whole engines come.
  if ((more_prefill ? missing : -missing) <= 0.5) return std::nullopt;
  if (!more_prefill && divided.prefill.size() <= 1) return std::nullopt;
  return target.growing;
}

std::optional<EngineStage> StagePlanner::growing_stage(const RelayedService& service,
                                                       const EnginesByStage& divided) const {
  const auto state = services_.find(service.name);
  const bool by_demand = state != services_.end() && state->second.demand.any_request_seen();
  const auto growing =
      by_demand ? growing_by_demand(state->second, divided) : growing_by_share(divided);
  const bool from_decode = growing == EngineStage::kPrefill;
  if (from_decode && divided.decode.size() <= settings_.min_decode_engines) return std::nullopt;
  return growing;
}

/// @return the engine that changes to the stage, if one may change now. The last decode engine of a
/// software version comes last, as streams that it began can go on nowhere else; newcomers come
/// first, then slow engines to prefill and fast ones to decode, then the least loaded.
std::optional<EngineId> StagePlanner::choose_engine(MonotonicTime now,
                                                    std::vector<EngineView*> sources,
                                                    EngineStage stage, bool batch_open) const {
  std::map<std::string, std::size_t> engines_of_version;
  for (const EngineView* engine : sources) ++engines_of_version[engine->record.stream_version()];
  std::erase_if(sources, [&](const EngineView* engine) {
    if (!batch_open && !is_idle_newcomer(now, *engine)) return true;
    const auto order = issued_orders_.find(engine->record.id);
    return order != issued_orders_.end() &&
           now - order->second.issued_at < settings_.engine_cooldown;
  });
  if (sources.empty()) return std::nullopt;
  const auto rank = [&](const EngineView* engine) {
    const long speed = std::lround(relative_speed(*engine) * kSpeedSteps);
    const bool last_of_version =
        stage == EngineStage::kPrefill && engines_of_version[engine->record.stream_version()] == 1;
    return std::tuple(last_of_version, !is_idle_newcomer(now, *engine),
                      stage == EngineStage::kPrefill ? speed : -speed, engine->total_requests(now));
  };
  const auto best = std::min_element(sources.begin(), sources.end(), [&](auto* left, auto* right) {
    return rank(left) < rank(right);
  });
  return (*best)->record.id;
}

std::optional<StageChange> StagePlanner::next_for_service(MonotonicTime now,
                                                          EngineDirectory& engines,
                                                          const RelayedService& service,
                                                          bool batch_open) {
  EnginesByStage divided = divide(now, engines, service);
  const auto growing = growing_stage(service, divided);
  if (!growing) return std::nullopt;
  const auto engine =
      choose_engine(now, divided.of(opposite_stage(*growing)), *growing, batch_open);
  if (!engine) return std::nullopt;
  return StageChange{*engine, *growing};
}

}  // namespace shuntbank::relay
