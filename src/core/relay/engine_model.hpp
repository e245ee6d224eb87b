/// @file
/// Cost model for the engines of one service, learned from completed requests. Defaults apply until
/// the first observations.
#pragma once

#include <cstdint>

#include "common/time.hpp"

namespace shuntbank::relay {

/// Prefill time of an idle engine: a fixed cost plus a cost per uncached token, from a
/// least-squares fit with exponential decay.
class PrefillModel {
 public:
  /// @return prefill time in milliseconds for uncached tokens.
  double prefill_ms(double uncached_tokens) const;

  /// @return the fixed part of `prefill_ms`, in milliseconds.
  double setup_ms() const { return this->fixed_ms; }

  /// @return milliseconds per uncached token.
  double token_ms() const { return this->per_token_ms; }

  /// Learns from a completed prefill.
  void observe(std::uint64_t uncached_tokens, Duration took);

 private:
  void add(double thousand_tokens, double ms, double weight);
  void fit();

  double fixed_ms = 5;
  double per_token_ms = 1.0 / 40;
  std::uint64_t observations = 0;

  // Weighted sums of the fit, over thousands of tokens (x) and milliseconds (y).
  double sum_weight = 0;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
};

/// A moving average that starts at its first value.
class MovingAverage {
 public:
  explicit MovingAverage(double newest_weight) : weight(newest_weight) {}

  void observe(double value);
  bool known() const { return this->has_value; }
  double value_or(double fallback) const { return this->has_value ? this->average : fallback; }

 private:
  double weight;
  double average = 0;
  bool has_value = false;
};

/// The learned costs of one service's engines.
class EngineModel {
 public:
  const PrefillModel& prefill() const { return this->prefill_model; }

  /// Learns from a completed prefill.
  /// @param alone the engine was idle as far as this node knew. Otherwise the time may include
  /// queueing and counts only if it is less than expected.
  void on_prompt_read(std::uint64_t uncached_tokens, Duration took, bool alone);

  /// @return prefill time in milliseconds at a decode engine.
  double decode_prefill_ms(double uncached_tokens) const;

  /// @return milliseconds from handover to the first event, including the transfer.
  double handover_ms() const;
  /// @param deferred it may have been queued, and counts only if it was faster than usual.
  void on_handover(Duration took, bool deferred);

  /// @return milliseconds that fetching the KV cache of prompt parts from another engine takes,
  /// excluding the transfer.
  double fetch_setup_ms() const;
  /// Learns from a prefill at an idle engine that first fetched the KV cache of prompt parts from
  /// another engine.
  /// @param transfer_ms estimated transfer time, in milliseconds; excluded from the learned value.
  void on_fetch(std::uint64_t uncached_tokens, double transfer_ms, Duration took);

  /// @return milliseconds between the events of a stream at an unloaded engine, or 0 if unknown.
  double unloaded_event_interval_ms() const;
  void on_event_interval(Duration interval);

 private:
  PrefillModel prefill_model;
  MovingAverage handover{0.1};
  MovingAverage fetch_setup{0.1};
  double unloaded_interval_ms = 0;
};

}  // namespace shuntbank::relay
