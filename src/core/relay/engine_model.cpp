#include "core/relay/engine_model.hpp"

#include <algorithm>

namespace shuntbank::relay {
namespace {

constexpr double kThousand = 1000;

/// Decay of an observation's weight per later one: about fifty have influence.
constexpr double kKept = 0.98;

/// An observation this far above the fit was probably queued behind other nodes' requests.
constexpr double kHeldUpFactor = 1.5;
constexpr double kHeldUpWeight = 0.05;

/// Weight of the defaults, in observations.
constexpr double kPriorWeight = 0.05;

/// Bounds on the fitted cost per token, in milliseconds.
constexpr double kLeastTokenMs = 1.0 / 5000;
constexpr double kMostTokenMs = 1;

/// Decode engines prefill at half the speed, according to the engines' protocol.
constexpr double kDecodeReadingFactor = 2;

/// Used until the first handover.
constexpr double kDefaultHandoverMs = 8;

/// Used until the first fetch.
constexpr double kDefaultFetchSetupMs = 5;

/// Shorter intervals weigh more: the average follows the least loaded streams.
constexpr double kPaceFall = 0.3;
constexpr double kPaceRise = 0.01;

}  // namespace

double ReadingModel::read_ms(double unread_tokens) const {
  return this->fixed_ms + unread_tokens * this->each_token_ms;
}

void ReadingModel::observe(std::uint64_t unread_tokens, Duration took) {
  const double ms = to_ms(took);
  if (ms <= 0) return;
  const auto tokens = static_cast<double>(unread_tokens);
  const bool held_up = this->count > 0 && ms > this->read_ms(tokens) * kHeldUpFactor;
  ++this->count;
  this->add(tokens / kThousand, ms, held_up ? kHeldUpWeight : 1);
  this->fit();
}

void ReadingModel::add(double thousand_tokens, double ms, double weight) {
  this->sum_weight = this->sum_weight * kKept + weight;
  this->sum_x = this->sum_x * kKept + weight * thousand_tokens;
  this->sum_y = this->sum_y * kKept + weight * ms;
  this->sum_xx = this->sum_xx * kKept + weight * thousand_tokens * thousand_tokens;
  this->sum_xy = this->sum_xy * kKept + weight * thousand_tokens * ms;
}

/// Adds two prior observations based on the defaults, so that the fit is defined for a single
/// observation or for several of one size.
void ReadingModel::fit() {
  const ReadingModel defaults;
  double weight = this->sum_weight;
  double x = this->sum_x;
  double y = this->sum_y;
  double xx = this->sum_xx;
  double xy = this->sum_xy;
  const double scale =
      this->sum_y / std::max(1e-9, this->sum_weight * defaults.fixed_ms +
                                       this->sum_x * kThousand * defaults.each_token_ms);
  for (const double tokens : {0.0, this->sum_x / this->sum_weight}) {
    const double ms = scale * defaults.read_ms(tokens * kThousand);
    weight += kPriorWeight;
    x += kPriorWeight * tokens;
    y += kPriorWeight * ms;
    xx += kPriorWeight * tokens * tokens;
    xy += kPriorWeight * tokens * ms;
  }
  const double spread = weight * xx - x * x;
  if (spread <= 0) return;
  const double slope = (weight * xy - x * y) / spread;
  this->each_token_ms = std::clamp(slope / kThousand, kLeastTokenMs, kMostTokenMs);
  this->fixed_ms = std::max(0.0, (y - this->each_token_ms * kThousand * x) / weight);
}

void MovingAverage::observe(double value) {
  this->average = this->has_value ? this->average + this->weight * (value - this->average) : value;
  this->has_value = true;
}

void EngineModel::on_prompt_read(std::uint64_t unread_tokens, Duration took, bool alone) {
  const double expected = this->prompt_reading.read_ms(static_cast<double>(unread_tokens));
  if (!alone && to_ms(took) >= expected) return;
  this->prompt_reading.observe(unread_tokens, took);
}

double EngineModel::decode_read_ms(double unread_tokens) const {
  return this->prompt_reading.setup_ms() +
         kDecodeReadingFactor * unread_tokens * this->prompt_reading.token_ms();
}

double EngineModel::handover_ms() const {
  return this->handover.value_or(kDefaultHandoverMs);
}

void EngineModel::on_handed_over(Duration took, bool deferred) {
  if (deferred && to_ms(took) >= this->handover_ms()) return;
  this->handover.observe(to_ms(took));
}

double EngineModel::fetch_setup_ms() const {
  return this->fetch_setup.value_or(kDefaultFetchSetupMs);
}

void EngineModel::on_fetched(std::uint64_t unread_tokens, double move_ms, Duration took) {
  const double reading = this->prompt_reading.read_ms(static_cast<double>(unread_tokens));
  this->fetch_setup.observe(std::max(0.0, to_ms(took) - reading - move_ms));
}

double EngineModel::free_pace_ms() const {
  return this->undisturbed_pace_ms;
}

void EngineModel::on_stream_pace(Duration between_events) {
  const double ms = to_ms(between_events);
  if (this->undisturbed_pace_ms == 0) this->undisturbed_pace_ms = ms;
  const double weight = ms < this->undisturbed_pace_ms ? kPaceFall : kPaceRise;
  this->undisturbed_pace_ms += weight * (ms - this->undisturbed_pace_ms);
}

}  // namespace shuntbank::relay
