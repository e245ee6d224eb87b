#include "core/roles/role_planner.hpp"

#include <algorithm>
#include <cmath>

namespace shuntbank {
namespace {

/// Queueing delay grows steeply above this utilization; a plan treats it as full.
constexpr double kMaxUtilization = 0.85;

/// Damps the trend, which is noisier than the level.
constexpr double kTrendDamping = 0.5;

double smooth(double before, double sample, double weight) {
  return before + weight * (sample - before);
}

}  // namespace

RolePlanner::RolePlanner(const PlannerSettings& settings) : settings_(settings) {}

void RolePlanner::observe(MonotonicTime now, const DemandSample& sample) {
  if (!has_sample_) {
    has_sample_ = true;
    level_ = sample;
    last_sample_at_ = now;
    return;
  }
  const double elapsed = to_seconds(now - last_sample_at_);
  if (elapsed <= 0) return;
  last_sample_at_ = now;
  const double weight = 1 - std::exp(-elapsed / to_seconds(settings_.smoothing_time));
  const DemandSample before = level_;
  level_.prefill_tokens_per_second =
      smooth(level_.prefill_tokens_per_second, sample.prefill_tokens_per_second, weight);
  level_.decode_tokens_per_second =
      smooth(level_.decode_tokens_per_second, sample.decode_tokens_per_second, weight);
  const auto slope = [elapsed](double now_level, double then) {
    return (now_level - then) / elapsed;
  };
  trend_.prefill_tokens_per_second =
      smooth(trend_.prefill_tokens_per_second,
             slope(level_.prefill_tokens_per_second, before.prefill_tokens_per_second), weight);
  trend_.decode_tokens_per_second =
      smooth(trend_.decode_tokens_per_second,
             slope(level_.decode_tokens_per_second, before.decode_tokens_per_second), weight);
}

DemandSample RolePlanner::forecast() const {
  const double lookahead = kTrendDamping * to_seconds(settings_.change_duration);
  const auto at = [lookahead](double level, double trend) {
    return std::max(0.0, level + lookahead * trend);
  };
  return {at(level_.prefill_tokens_per_second, trend_.prefill_tokens_per_second),
          at(level_.decode_tokens_per_second, trend_.decode_tokens_per_second)};
}

double RolePlanner::served_share(std::uint32_t prefill, std::uint32_t decode,
                                 const DemandSample& demand) const {
  const auto share = [](double capacity, double wanted) {
    return wanted <= 0 ? 1.0 : std::min(1.0, kMaxUtilization * capacity / wanted);
  };
  const double prefill_share =
      share(prefill * settings_.prefill_tokens_per_second, demand.prefill_tokens_per_second);
  const double decode_share =
      share(decode * settings_.decode_tokens_per_second, demand.decode_tokens_per_second);
  return std::min(prefill_share, decode_share);
}

RolePlan RolePlanner::plan(std::uint32_t engines, std::uint32_t current_prefill) const {
  RolePlan best{current_prefill, engines - std::min(engines, current_prefill), 0, 0, "stay"};
  if (engines < 2 || !has_sample_) return best;
  const DemandSample demand = forecast();
  const double horizon = to_seconds(settings_.horizon);
  const double current_share = served_share(best.prefill_engines, best.decode_engines, demand);
  double best_net = 0;
  for (std::uint32_t prefill = 1; prefill < engines; ++prefill) {
    const std::uint32_t decode = engines - prefill;
    const std::uint32_t changes =
        prefill > current_prefill ? prefill - current_prefill : current_prefill - prefill;
    if (changes == 0) continue;
    // Gain and cost are in engine-seconds of goodput.
    const double gain = (served_share(prefill, decode, demand) - current_share) * engines * horizon;
    const double cost =
        changes * (to_seconds(settings_.change_duration) + settings_.role_change_cost);
    if (gain - cost <= best_net) continue;
    best_net = gain - cost;
    best = {prefill, decode, gain, cost,
            prefill > current_prefill ? "prefill is short" : "decode is short"};
  }
  return best;
}

}  // namespace shuntbank
