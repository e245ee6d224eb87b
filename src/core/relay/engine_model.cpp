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

/// Limit of such an observation: one that waited a second may not bend the fit of long prompts.
constexpr double kMaxQueuedFactor = 2;

/// A larger share of such observations means that the engines have become slower: seven in a row
/// reach it, while a fifth of them being queued does not.
constexpr double kMaxSlowShare = 0.4;
constexpr double kSlowShareUpdate = 0.08;

/// Weight left to the observations from before that.
constexpr double kObsoleteWeight = 0.25;

/// Beside other work, only prefills that are quicker than expected would be counted, and bias the
/// fit downwards. They count only once so many in a row were not alone, as otherwise a fit that is
/// too high would stay on a busy service.
constexpr std::uint32_t kMaxSinceAlone = 50;

/// Weight of the defaults, in observations.
constexpr double kPriorWeight = 0.05;

/// Weight of the last known curvature, in the unit of the fit's fourth moments. Fifty prompts of up
/// to 2,000 tokens carry a tenth of it, one of 20,000 tokens three times as much.
constexpr double kCurvatureWeight = 100;

/// Weight of the fit's curvature in the one remembered for times without long prompts.
constexpr double kCurvatureUpdate = 0.02;

/// Bound on the curvature per thousand tokens; with it, a prompt of 5,000 tokens takes double.
constexpr double kMaxCurvature = 0.2;

/// Bounds on the fitted cost per token, in milliseconds.
constexpr double kMinTokenMs = 1.0 / 5000;
constexpr double kMaxTokenMs = 1;

/// The error of a prefill time grows with it, so that its square weighs inversely.
double relative_weight(double thousand_tokens) {
  return 1 / ((1 + thousand_tokens) * (1 + thousand_tokens));
}

/// Decode engines prefill at half the speed, according to the engines' protocol.
constexpr double kDecodePrefillFactor = 2;

/// Bounds of the share of the work ahead that delays. More than all of it would be work that this
/// node does not know; it would defer more prompts the longer the queues are.
constexpr double kMinAheadShare = 0.3;
constexpr double kMaxAheadShare = 1;

/// With less work ahead than this share of the prompt's own time, the error of the latter
/// dominates.
constexpr double kMinAheadOfPrefill = 0.25;

/// Limit of one observation, as a multiple of the work ahead.
constexpr double kMaxWaitOfAhead = 3;

/// Weight of the default share, in milliseconds of work ahead: that of some usual prompts.
constexpr double kPriorAheadMs = 200;

/// Used until the first handover.
constexpr double kDefaultHandoverMs = 8;

/// Used until the first fetch.
constexpr double kDefaultFetchSetupMs = 5;

/// Shorter intervals weigh more: the average follows the least loaded streams.
constexpr double kDecreaseWeight = 0.3;
constexpr double kIncreaseWeight = 0.01;

}  // namespace

void FitSums::add(double new_x, double new_y, double new_weight) {
  const double weighted_x = new_weight * new_x;
  this->weight += new_weight;
  this->x += weighted_x;
  this->xx += weighted_x * new_x;
  this->xxx += weighted_x * new_x * new_x;
  this->xxxx += weighted_x * new_x * new_x * new_x;
  this->y += new_weight * new_y;
  this->xy += weighted_x * new_y;
  this->xxy += weighted_x * new_x * new_y;
}

FitSums& FitSums::operator*=(double factor) {
  for (double* sum : {&this->weight, &this->x, &this->xx, &this->xxx, &this->xxxx, &this->y,
                      &this->xy, &this->xxy})
    *sum *= factor;
  return *this;
}

double PrefillModel::prefill_ms(double uncached_tokens) const {
  const double thousands = uncached_tokens / kThousand;
  return this->fixed_ms + uncached_tokens * this->per_token_ms +
         thousands * thousands * this->square_ms;
}

void PrefillModel::observe(std::uint64_t uncached_tokens, Duration took) {
  const double ms = to_ms(took);
  if (ms <= 0) return;
  const auto tokens = static_cast<double>(uncached_tokens);
  const double expected = this->prefill_ms(tokens);
  const bool slow = this->observations > 0 && ms > expected * kQueuedFactor;
  const bool slower_before = this->slow_share > kMaxSlowShare;
  this->slow_share += kSlowShareUpdate * ((slow ? 1 : 0) - this->slow_share);
  const bool slower = this->slow_share > kMaxSlowShare;
  if (slower && !slower_before) this->sums *= kObsoleteWeight;
  ++this->observations;
  this->add(tokens / kThousand, slow ? std::min(ms, expected * kMaxQueuedFactor) : ms,
            slow && !slower ? kQueuedWeight : 1);
  this->fit();
}

void PrefillModel::add(double thousand_tokens, double ms, double weight) {
  this->sums *= kDecay;
  this->sums.add(thousand_tokens, ms, weight * relative_weight(thousand_tokens));
}

void PrefillModel::fit() {
  FitSums fitted = this->sums;
  this->add_prior(fitted);
  const double spread = fitted.xx - fitted.x * fitted.x / fitted.weight;
  if (spread <= 0) return;
  const double square = this->fit_square(fitted);
  const double y = fitted.y - square * fitted.xx;
  const double xy = fitted.xy - square * fitted.xxx;
  double slope = (xy - fitted.x * y / fitted.weight) / spread;
  double fixed = (y - slope * fitted.x) / fitted.weight;
  if (fixed < 0) {
    fixed = 0;
    slope = xy / fitted.xx;
  }
  this->per_token_ms = std::clamp(slope / kThousand, kMinTokenMs, kMaxTokenMs);
  if (slope != this->per_token_ms * kThousand)
    fixed = std::max(0.0, (y - this->per_token_ms * kThousand * fitted.x) / fitted.weight);
  this->fixed_ms = fixed;
  this->square_ms = square;
  const double fitted_curvature =
      std::min(kMaxCurvature, square / (this->per_token_ms * kThousand));
  this->curvature += kCurvatureUpdate * (fitted_curvature - this->curvature);
}

/// Adds two prior observations based on the defaults, so that the fit is defined for a single
/// observation or for several of one size.
void PrefillModel::add_prior(FitSums& fitted) const {
  const PrefillModel defaults;
  const double mean_x = fitted.x / fitted.weight;
  const double scale = fitted.y / std::max(1e-9, fitted.weight * defaults.fixed_ms +
                                                     fitted.x * kThousand * defaults.per_token_ms);
  const double weight = kPriorWeight * relative_weight(mean_x);
  for (const double x : {0.0, mean_x})
    fitted.add(x, scale * defaults.prefill_ms(x * kThousand), weight);
}

/// Fits the quadratic part. Most prompts are too short to show it, so that a fit to them alone
/// would extrapolate their noise to long ones; an additional observation therefore says that the
/// quadratic part has the remembered ratio to the linear one.
double PrefillModel::fit_square(const FitSums& fitted) const {
  const double ratio = this->curvature;
  const double xx =
      fitted.xx - fitted.x * fitted.x / fitted.weight + kCurvatureWeight * ratio * ratio;
  const double xq = fitted.xxx - fitted.x * fitted.xx / fitted.weight - kCurvatureWeight * ratio;
  const double qq = fitted.xxxx - fitted.xx * fitted.xx / fitted.weight + kCurvatureWeight;
  const double xy = fitted.xy - fitted.x * fitted.y / fitted.weight;
  const double qy = fitted.xxy - fitted.xx * fitted.y / fitted.weight;
  const double spread = qq - xq * xq / xx;
  if (spread <= 0) return 0;
  return std::clamp((qy - xq * xy / xx) / spread, 0.0, kMaxCurvature * kMaxTokenMs * kThousand);
}

void MovingAverage::observe(double value) {
  this->average = this->has_value ? this->average + this->weight * (value - this->average) : value;
  this->has_value = true;
}

void EngineModel::on_prompt_read(std::uint64_t uncached_tokens, Duration took, bool alone) {
  const double expected = this->prefill_model.prefill_ms(static_cast<double>(uncached_tokens));
  if (alone) {
    this->since_alone = 0;
  } else {
    if (this->since_alone) ++*this->since_alone;
    const bool lately_alone = this->since_alone && *this->since_alone < kMaxSinceAlone;
    if (lately_alone || to_ms(took) >= expected) return;
  }
  this->prefill_model.observe(uncached_tokens, took);
}

void WorkAheadModel::observe(double ahead_ms, double prefill_ms, Duration took) {
  if (ahead_ms <= 0 || ahead_ms < prefill_ms * kMinAheadOfPrefill) return;
  // Negative waits are kept, as dropping them would bias the mean.
  const double waited = std::clamp(to_ms(took) - prefill_ms, -ahead_ms, kMaxWaitOfAhead * ahead_ms);
  this->sum_ahead_ms = this->sum_ahead_ms * kDecay + ahead_ms;
  this->sum_waited_ms = this->sum_waited_ms * kDecay + waited;
  this->learned_share =
      std::clamp((this->sum_waited_ms + kPriorAheadMs) / (this->sum_ahead_ms + kPriorAheadMs),
                 kMinAheadShare, kMaxAheadShare);
}

void EngineModel::on_read_behind(double ahead_ms, std::uint64_t uncached_tokens, Duration took) {
  const double own_ms = this->prefill_model.prefill_ms(static_cast<double>(uncached_tokens));
  this->work_ahead_model.observe(ahead_ms, own_ms, took);
}

double EngineModel::decode_prefill_ms(double uncached_tokens) const {
  const double setup = this->prefill_model.setup_ms();
  return setup + kDecodePrefillFactor * (this->prefill_model.prefill_ms(uncached_tokens) - setup);
}

double EngineModel::handover_ms() const {
  return this->handover.value_or(kDefaultHandoverMs);
}

void EngineModel::on_handover(Duration took, bool deferred, const Occupancy& at) {
  const double ms = to_ms(took);
  if (deferred && ms >= this->handover_ms()) return;
  if (SlotWaitModel::unoccupied(at)) return this->handover.observe(ms);
  this->slot_wait.observe(at, ms - this->handover_ms());
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
