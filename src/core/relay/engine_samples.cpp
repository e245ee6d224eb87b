#include "core/relay/engine_samples.hpp"

#include <limits>

namespace shuntbank::relay {
namespace {

/// Saturates, as a forged report may hold any value.
void add(std::uint32_t& sum, std::uint32_t more) {
  const std::uint32_t headroom = std::numeric_limits<std::uint32_t>::max() - sum;
  sum += more < headroom ? more : headroom;
}

}  // namespace

EngineSamples& EngineSamples::operator+=(const EngineSamples& more) {
  add(this->prefills, more.prefills);
  add(this->prefill_percent, more.prefill_percent);
  add(this->streams, more.streams);
  add(this->interval_ms, more.interval_ms);
  add(this->longest_gap_ms, more.longest_gap_ms);
  add(this->late_streams, more.late_streams);
  if (more.slowdown_percent > 0) this->slowdown_percent = more.slowdown_percent;
  return *this;
}

}  // namespace shuntbank::relay
