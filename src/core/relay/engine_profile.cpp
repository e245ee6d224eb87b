#include "core/relay/engine_profile.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace shuntbank::relay {
namespace {

constexpr double kPercent = 100;

/// Bound on the times of a sample, in milliseconds.
constexpr double kMaxGapMs = 60'000;

/// Bound on the observations in one report. A fleet makes fewer of one engine within seconds.
constexpr double kMaxObservations = 1000;

/// The weight of a sample halves in this time. All nodes together meet an engine often enough for
/// dozens of samples within it, and an engine that recovers is tried again within minutes.
constexpr Duration kHalfLife = std::chrono::seconds(30);

/// Weights of the service's values, in samples: enough to outweigh one unusual sample.
constexpr double kPriorPrefills = 5;
constexpr double kPriorStreams = 10;

/// Smaller differences between engines are ignored, so that alike engines are placed as before.
constexpr double kIgnoredDifference = 0.1;

/// With a larger share of late streams an engine's gaps count as too long for the route.
constexpr double kMaxLateShare = 0.1;

/// An engine is late more often than its service if its share of late streams is above the
/// service's by this many standard errors. Alike engines rarely differ by as much.
constexpr double kSignificantErrors = 2;

/// The late share counts only if the mean longest gap is above this share of the gap target.
/// Otherwise the late streams were those of a route with a much shorter one.
constexpr double kMinGapShare = 0.5;

double bounded_factor(double factor) {
  return std::clamp(factor, kMinSpeedFactor, kMaxSpeedFactor);
}

/// @return whether a value is above the service's by more than the ignored difference.
bool clearly_above(double value, double service) {
  return value > service * (1 + kIgnoredDifference);
}

double without_small_difference(double factor) {
  return std::abs(factor - 1) < kIgnoredDifference ? 1 : bounded_factor(factor);
}

/// @return the mean of `count` values with sum `sum` and `prior_count` values of `prior`.
double shrunk_mean(double sum, double count, double prior, double prior_count) {
  return (sum + prior * prior_count) / (count + prior_count);
}

double mean(double sum, double count) {
  return count > 0 ? sum / count : 0;
}

std::uint32_t rounded(double value) {
  constexpr double kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp(std::round(value), 0.0, kMax));
}

}  // namespace

EngineProfile::Sums EngineProfile::sums_at(MonotonicTime now) const {
  const Duration age = std::max(Duration::zero(), now - this->sums_as_of);
  const double weight = std::exp2(-to_seconds(age) / to_seconds(kHalfLife));
  Sums decayed = this->sums;
  for (double* sum : {&decayed.prefills, &decayed.prefill_ratio, &decayed.streams,
                      &decayed.interval_ms, &decayed.longest_gap_ms, &decayed.late_streams}) {
    *sum *= weight;
  }
  return decayed;
}

void EngineProfile::observe(MonotonicTime now, const EngineSamples& samples) {
  this->sums = this->sums_at(now);
  this->sums_as_of = now;
  if (samples.slowdown_percent > 0) this->on_slowdown(now, samples.slowdown_percent);
  const double prefills = std::min<double>(samples.prefills, kMaxObservations);
  if (prefills > 0) {
    const double ratio = samples.prefill_percent / kPercent / samples.prefills;
    this->sums.prefills += prefills;
    this->sums.prefill_ratio += prefills * bounded_factor(ratio);
  }
  const double streams = std::min<double>(samples.streams, kMaxObservations);
  if (streams > 0) {
    const auto mean_ms = [&](std::uint32_t sum) {
      return std::min(static_cast<double>(sum) / samples.streams, kMaxGapMs);
    };
    const double late = static_cast<double>(samples.late_streams) / samples.streams;
    this->sums.streams += streams;
    this->sums.interval_ms += streams * mean_ms(samples.interval_ms);
    this->sums.longest_gap_ms += streams * mean_ms(samples.longest_gap_ms);
    this->sums.late_streams += streams * std::min(1.0, late);
  }
}

/// The factors are relative to the mean of the service's samples, so that an error of the service's
/// model, or waiting that no node knew of, cancels out.
void EngineProfile::compare_with(MonotonicTime now, const EngineProfile& service) {
  const Sums own = this->sums_at(now);
  const Sums all = service.sums_at(now);
  if (all.prefill_ratio > 0) {
    const double usual = mean(all.prefill_ratio, all.prefills);
    const double ratio = shrunk_mean(own.prefill_ratio, own.prefills, usual, kPriorPrefills);
    this->prefill = static_cast<float>(without_small_difference(ratio / usual));
  }
  if (all.streams <= 0) return;
  if (all.interval_ms > 0) {
    const double usual = mean(all.interval_ms, all.streams);
    const double interval = shrunk_mean(own.interval_ms, own.streams, usual, kPriorStreams);
    this->pace = static_cast<float>(without_small_difference(interval / usual));
  }
  const auto shrunk = [&](double own_sum, double all_sum) {
    return static_cast<float>(
        shrunk_mean(own_sum, own.streams, mean(all_sum, all.streams), kPriorStreams));
  };
  this->mean_longest_gap_ms = shrunk(own.longest_gap_ms, all.longest_gap_ms);
  this->late_stream_share = shrunk(own.late_streams, all.late_streams);
  this->longer_gaps =
      clearly_above(this->mean_longest_gap_ms, mean(all.longest_gap_ms, all.streams));
  const double usual_share = mean(all.late_streams, all.streams);
  const double standard_error =
      std::sqrt(usual_share * (1 - usual_share) / (own.streams + kPriorStreams));
  this->often_late = this->late_stream_share > kMaxLateShare &&
                     clearly_above(this->late_stream_share, usual_share) &&
                     this->late_stream_share > usual_share + kSignificantErrors * standard_error;
}

void EngineProfile::on_slowdown(MonotonicTime now, std::uint32_t percent) {
  this->present_slowdown = static_cast<float>(without_small_difference(percent / kPercent));
  this->slowdown_until = now + kSlowdownValidity;
}

bool EngineProfile::exceeds_gap(Duration target) const {
  const double target_ms = to_ms(target);
  if (target_ms <= 0) return false;
  if (this->longer_gaps && this->mean_longest_gap_ms > target_ms) return true;
  return this->often_late && this->mean_longest_gap_ms > target_ms * kMinGapShare;
}

EngineSamples EngineProfile::samples(MonotonicTime now) const {
  const Sums own = this->sums_at(now);
  EngineSamples samples;
  samples.prefills = rounded(own.prefills);
  samples.streams = rounded(own.streams);
  // Scaled to the rounded numbers, so that the means stay as they are.
  const double prefills = mean(samples.prefills, own.prefills);
  const double streams = mean(samples.streams, own.streams);
  samples.prefill_percent = rounded(own.prefill_ratio * prefills * kPercent);
  samples.interval_ms = rounded(own.interval_ms * streams);
  samples.longest_gap_ms = rounded(own.longest_gap_ms * streams);
  samples.late_streams = rounded(own.late_streams * streams);
  return samples;
}

}  // namespace shuntbank::relay
