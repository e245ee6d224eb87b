/// @file
/// What work costs at the engines of one service, learned from what requests meet there. The
/// defaults hold only until the first observations.
#pragma once

#include <cstdint>

#include "common/time.hpp"

namespace shuntbank::relay {

/// Time that an idle engine takes for a prompt: a fixed part, and one for each token that it has to
/// read. Both come from a least-squares fit that forgets old prompts.
class ReadingModel {
 public:
  /// @return milliseconds that an engine takes for so many tokens that it does not keep.
  double read_ms(double unread_tokens) const;

  /// @return the part of `read_ms` that does not depend on the tokens, in milliseconds.
  double setup_ms() const { return this->fixed_ms; }

  /// @return milliseconds for one token.
  double token_ms() const { return this->each_token_ms; }

  /// Learns from a prompt that was read.
  void observe(std::uint64_t unread_tokens, Duration took);

 private:
  void add(double thousand_tokens, double ms, double weight);
  void fit();

  double fixed_ms = 5;
  double each_token_ms = 1.0 / 40;
  std::uint64_t count = 0;

  // Sums of the fit, over thousands of tokens (x) and milliseconds (y).
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
  const ReadingModel& reading() const { return this->prompt_reading; }

  /// Learns from a prompt that was read at an engine which was idle as far as the node knew.
  /// @param deferred it gave way to others, and so tells nothing unless it was quicker than
  /// expected.
  void on_prompt_read(std::uint64_t unread_tokens, Duration took, bool deferred);

  /// @return milliseconds that a decode engine takes for tokens which it reads itself.
  double decode_read_ms(double unread_tokens) const;

  /// @return milliseconds from handing a prompt over to the first event, moving included.
  double handover_ms() const;
  /// @param deferred it gave way to others, and so tells nothing unless it was quicker than usual.
  void on_handed_over(Duration took, bool deferred);

  /// @return milliseconds that taking parts from another engine costs, apart from moving the bytes.
  double fetch_setup_ms() const;
  /// Learns from a prompt that was read at an idle engine after parts had been fetched.
  void on_fetched(std::uint64_t unread_tokens, double move_ms, Duration took);

  /// @return milliseconds between the events of a stream that nothing holds up, or 0 if unknown.
  double free_pace_ms() const;
  void on_stream_pace(Duration between_events);

 private:
  ReadingModel prompt_reading;
  MovingAverage handover{0.1};
  MovingAverage fetch_setup{0.1};
  double undisturbed_pace_ms = 0;
};

}  // namespace shuntbank::relay
