/// @file
/// Cost model for the engines of one service, learned from completed requests. Defaults apply until
/// the first observations.
#pragma once

#include <cstdint>
#include <optional>

#include "common/time.hpp"
#include "core/relay/slot_wait.hpp"

namespace shuntbank::relay {

/// Weighted moments of observations (x, y).
struct FitSums {
  double weight = 0;
  double x = 0;
  double xx = 0;
  double xxx = 0;
  double xxxx = 0;
  double y = 0;
  double xy = 0;
  double xxy = 0;

  void add(double new_x, double new_y, double new_weight);
  FitSums& operator*=(double factor);
};

/// Prefill time of an idle engine: a fixed cost, a cost per uncached token and a cost that grows
/// with the square of the uncached tokens, from a least-squares fit with exponential decay. None is
/// negative.
class PrefillModel {
 public:
  /// @return prefill time in milliseconds for uncached tokens.
  double prefill_ms(double uncached_tokens) const;

  /// @return the fixed part of `prefill_ms`, in milliseconds.
  double setup_ms() const { return this->fixed_ms; }

  /// @return milliseconds per uncached token, without the quadratic part.
  double token_ms() const { return this->per_token_ms; }

  /// @return the quadratic part, in milliseconds per million pairs of uncached tokens.
  double million_pairs_ms() const { return this->square_ms; }

  /// Learns from a completed prefill.
  void observe(std::uint64_t uncached_tokens, Duration took);

 private:
  void add(double thousand_tokens, double ms, double weight);
  void fit();
  void add_prior(FitSums& fitted) const;
  double fit_square(const FitSums& fitted) const;

  double fixed_ms = 5;
  double per_token_ms = 1.0 / 40;
  double square_ms = 0;
  std::uint64_t observations = 0;
  double slow_share = 0;  ///< Moving share of observations that were far above the fit.

  FitSums sums;  ///< Over thousands of tokens (x) and milliseconds (y).
  /// Remembered ratio of the quadratic to the linear part, per thousand tokens. It is a property of
  /// the model served and remains when engines change speed or no long prompts come.
  double curvature = 0;
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

/// How much of the known work ahead of a prompt delays it: engines prefill several prompts
/// concurrently, and the work that was reported some time ago is partly done.
class WorkAheadModel {
 public:
  /// @return delay per millisecond of known work ahead, at most 1.
  double share() const { return this->learned_share; }

  /// Learns from a prompt that was sent behind other work.
  /// @param ahead_ms known work ahead at placement, in full.
  /// @param prefill_ms expected time of the prompt at an idle engine.
  void observe(double ahead_ms, double prefill_ms, Duration took);

 private:
  double sum_ahead_ms = 0;
  double sum_waited_ms = 0;
  double learned_share = 1;
};

/// The learned costs of one service's engines.
class EngineModel {
 public:
  const PrefillModel& prefill() const { return this->prefill_model; }

  /// Learns from a completed prefill.
  /// @param alone the engine was idle as far as this node knew. Otherwise the time may include
  /// queueing and counts only if it is less than expected and the last time alone is long ago.
  void on_prompt_read(std::uint64_t uncached_tokens, Duration took, bool alone);

  const WorkAheadModel& work_ahead() const { return this->work_ahead_model; }

  /// Learns from a completed prefill behind other work. @param ahead_ms see `WorkAheadModel`.
  void on_read_behind(double ahead_ms, std::uint64_t uncached_tokens, Duration took);

  /// @return prefill time in milliseconds at a decode engine.
  double decode_prefill_ms(double uncached_tokens) const;

  /// @return milliseconds from handover to the first event, without the transfer and the wait for
  /// a slot.
  double handover_ms() const;

  /// @return expected wait for a slot at a decode engine, in milliseconds.
  double slot_wait_ms(const Occupancy& at) const { return this->slot_wait.wait_ms(at); }

  /// Learns from a handover.
  /// @param took without the transfer.
  /// @param deferred it may have been queued, and counts only if it was faster than usual.
  /// @param at occupancy of the decode engine when it was sent.
  void on_handover(Duration took, bool deferred, const Occupancy& at = {});

  /// Learns from a stream that has ended. @param held since it was sent to the decode engine.
  void on_stream_ended(Duration held) { this->slot_wait.on_slot_released(to_ms(held)); }

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
  WorkAheadModel work_ahead_model;
  /// Prefills since the last one that was alone; unset: none was.
  std::optional<std::uint32_t> since_alone;
  MovingAverage handover{0.1};
  SlotWaitModel slot_wait;
  MovingAverage fetch_setup{0.1};
  double unloaded_interval_ms = 0;
};

}  // namespace shuntbank::relay
