/// @file
/// Holds samples of engines back, so that the bytes spent on them stay bounded.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "common/time.hpp"
#include "core/relay/engine_profile.hpp"
#include "core/relay/engine_samples.hpp"

namespace shuntbank::relay {

/// How often samples are sent.
struct SampleBufferSettings {
  Duration engine_interval = std::chrono::seconds(1);  ///< Between two entries of one engine.
  double entries_per_second = 20;                      ///< For all engines together.
  /// In one message. Leaves most of a load message to the load.
  std::size_t max_entries = 8;
};

/// Adds up samples by engine until they may be sent. `Engine` is EngineId or EngineKey.
template <typename Engine>
class SampleBuffer {
 public:
  using Samples = std::map<Engine, EngineSamples>;

  SampleBuffer() = default;
  explicit SampleBuffer(const SampleBufferSettings& own_settings) : settings(own_settings) {}

  void add(MonotonicTime now, const Engine& engine, const EngineSamples& samples) {
    if (samples.empty()) return;
    const auto [entry, added] = this->pending.try_emplace(engine);
    Pending& waiting = entry->second;
    if (added) {
      const auto next = this->next_send.find(engine);
      waiting.due_at = next == this->next_send.end() ? now : std::max(now, next->second);
      this->order.emplace(waiting.due_at, engine);
    }
    if (samples.slowdown_percent > 0) waiting.slowdown_at = now;
    waiting.samples += samples;
  }

  /// @return the samples that may be sent now, the longest due first. A slowdown that has been held
  /// back for too long is left out.
  /// @param max_rate of entries a second, if lower than the setting.
  Samples take(MonotonicTime now, double max_rate = std::numeric_limits<double>::infinity()) {
    Samples taken;
    this->expire(now);
    this->renew_allowance(now, std::min(max_rate, this->settings.entries_per_second));
    while (!this->order.empty() && this->order.begin()->first <= now && this->allowance >= 1 &&
           taken.size() < this->settings.max_entries) {
      const Engine engine = this->order.begin()->second;
      this->order.erase(this->order.begin());
      auto entry = this->pending.extract(engine);
      EngineSamples& samples = entry.mapped().samples;
      if (now - entry.mapped().slowdown_at > kSlowdownValidity) samples.slowdown_percent = 0;
      if (samples.empty()) continue;
      taken.emplace(engine, samples);
      this->allowance -= 1;
      this->next_send[engine] = now + this->settings.engine_interval;
      this->sent.emplace_back(now + this->settings.engine_interval, engine);
    }
    return taken;
  }

 private:
  struct Pending {
    EngineSamples samples;
    MonotonicTime due_at{};
    MonotonicTime slowdown_at{};
  };

  void expire(MonotonicTime now) {
    while (!this->sent.empty() && this->sent.front().first <= now) {
      this->next_send.erase(this->sent.front().second);
      this->sent.pop_front();
    }
  }

  /// At most one second's entries are saved up, and one entry if the rate is lower.
  void renew_allowance(MonotonicTime now, double rate) {
    const double earned = to_seconds(now - this->renewed_at) * rate;
    this->renewed_at = now;
    this->allowance = std::min(std::max(1.0, rate), this->allowance + earned);
  }

  SampleBufferSettings settings;
  std::map<Engine, Pending> pending;
  std::set<std::pair<MonotonicTime, Engine>> order;  ///< `pending` by the time that it is due.
  std::map<Engine, MonotonicTime> next_send;         ///< Of the engines in `sent`.
  std::deque<std::pair<MonotonicTime, Engine>> sent;
  double allowance = 0;  ///< Entries that may be sent now.
  MonotonicTime renewed_at{};
};

}  // namespace shuntbank::relay
