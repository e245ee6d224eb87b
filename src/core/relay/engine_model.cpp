#include "core/relay/engine_model.hpp"

#include <algorithm>

namespace shuntbank::relay {
namespace {

constexpr double kThousand = 1000;

/// Decay of an observation's weight per later one: about fifty have influence.
constexpr double kDecay = 0.98;

/// An observation this far above the fit was probably queued behind other nodes' requests.
constexpr double kQueuedFactor = 1.5;
constexpr double kQueuedWeight = 0.05;

/// Weight of the defaults, in observations.
constexpr double kPriorWeight = 0.05;

/// Bounds on the fitted cost per token, in milliseconds.
constexpr double kMinTokenMs = 1.0 / 5000;
constexpr double kMaxTokenMs = 1;

/// Decode engines prefill at half the speed, according to the engines' protocol.
constexpr double kDecodePrefillFactor = 2;

/// Used until the first handover.
constexpr double kDefaultHandoverMs = 8;

/// Used until the first fetch.
constexpr double kDefaultFetchSetupMs = 5;

/// Shorter intervals weigh more: the average follows the least loaded streams.
constexpr double kDecreaseWeight = 0.3;
constexpr double kIncreaseWeight = 0.01;

}  // namespace

double PrefillModel::prefill_ms(double uncached_tokens) const {
  return this->fixed_ms + uncached_tokens * this->per_token_ms;
}

void PrefillModel::observe(std::uint64_t uncached_tokens, Duration took) {
  const double ms = to_ms(took);
  if (ms <= 0) return;
  const auto tokens = static_cast<double>(uncached_tokens);
  const bool queued = this->observations > 0 && ms > this->prefill_ms(tokens) * kQueuedFactor;
  ++this->observations;
  this->add(tokens / kThousand, ms, queued ? kQueuedWeight : 1);
  this->fit();
}

void PrefillModel::add(double thousand_tokens, double ms, double weight) {
  this->sum_weight = this->sum_weight * kDecay + weight;
  this->sum_x = this->sum_x * kDecay + weight * thousand_tokens;
  this->sum_y = this->sum_y * kDecay + weight * ms;
  this->sum_xx = this->sum_xx * kDecay + weight * thousand_tokens * thousand_tokens;
  this->sum_xy = this->sum_xy * kDecay + weight * thousand_tokens * ms;
}

/// Adds two prior observations based on the defaults, so that the fit is defined for a single
/// observation or for several of one size.
void PrefillModel::fit() {
  const PrefillModel defaults;
  double weight = this->sum_weight;
  double x = this->sum_x;
  double y = this->sum_y;
  double xx = this->sum_xx;
  double xy = this->sum_xy;
  const double scale =
      this->sum_y / std::max(1e-9, this->sum_weight * defaults.fixed_ms +
                                       this->sum_x * kThousand * defaults.per_token_ms);
  for (const double tokens : {0.0, this->sum_x / this->sum_weight}) {
    const double ms = scale * defaults.prefill_ms(tokens * kThousand);
    weight += kPriorWeight;
    x += kPriorWeight * tokens;
    y += kPriorWeight * ms;
    xx += kPriorWeight * tokens * tokens;
    xy += kPriorWeight * tokens * ms;
  }
  const double spread = weight * xx - x * x;
  if (spread <= 0) return;
  const double slope = (weight * xy - x * y) / spread;
  this->per_token_ms = std::clamp(slope / kThousand, kMinTokenMs, kMaxTokenMs);
  this->fixed_ms = std::max(0.0, (y - this->per_token_ms * kThousand * x) / weight);
}

void MovingAverage::observe(double value) {
  this->average = this->has_value ? this->average + this->weight * (value - this->average) : value;
  this->has_value = true;
}

void EngineModel::on_prompt_read(std::uint64_t uncached_tokens, Duration took, bool alone) {
  const double expected = this->prefill_model.prefill_ms(static_cast<double>(uncached_tokens));
  if (!alone && to_ms(took) >= expected) return;
  this->prefill_model.observe(uncached_tokens, took);
}

double EngineModel::decode_prefill_ms(double uncached_tokens) const {
  return this->prefill_model.setup_ms() +
         kDecodePrefillFactor * uncached_tokens * this->prefill_model.token_ms();
}

double EngineModel::handover_ms() const {
  return this->handover.value_or(kDefaultHandoverMs);
}

void EngineModel::on_handover(Duration took, bool deferred) {
  if (deferred && to_ms(took) >= this->handover_ms()) return;
  this->handover.observe(to_ms(took));
}

double EngineModel::fetch_setup_ms() const {
  return this->fetch_setup.value_or(kDefaultFetchSetupMs);
}

void EngineModel::on_fetch(std::uint64_t uncached_tokens, double transfer_ms, Duration took) {
  const double prefill = this->prefill_model.prefill_ms(static_cast<double>(uncached_tokens));
  this->fetch_setup.observe(std::max(0.0, to_ms(took) - prefill - transfer_ms));
}

double EngineModel::unloaded_event_interval_ms() const {
  return this->unloaded_interval_ms;
}

void EngineModel::on_event_interval(Duration interval) {
  const double ms = to_ms(interval);
  if (this->unloaded_interval_ms == 0) this->unloaded_interval_ms = ms;
  const double weight = ms < this->unloaded_interval_ms ? kDecreaseWeight : kIncreaseWeight;
  this->unloaded_interval_ms += weight * (ms - this->unloaded_interval_ms);
}

}  // namespace shuntbank::relay
