// Guard against a message for each sample: the bytes would grow with the fleet's requests.
#include "core/relay/sample_buffer.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};

EngineSamples prefill(std::uint32_t percent) {
  EngineSamples samples;
  samples.prefills = 1;
  samples.prefill_percent = percent;
  return samples;
}

}  // namespace

Test(sample_buffer, sends_samples_of_an_engine_once_a_second) {
  SampleBuffer<int> buffer;
  int entries = 0;
  std::uint32_t prefills = 0;
  for (int ms = 0; ms < 10'000; ms += 20) {
    buffer.add(kNow + std::chrono::milliseconds(ms), 1, prefill(100));
    for (const auto& [engine, samples] : buffer.take(kNow + std::chrono::milliseconds(ms))) {
      ++entries;
      prefills += samples.prefills;
      cr_assert_eq(samples.prefill_percent, samples.prefills * 100);
    }
  }
  cr_assert_eq(entries, 10);
  cr_assert_geq(prefills, 450, "%u of 500 samples", prefills);
}

Test(sample_buffer, bounds_the_rate_of_all_engines_and_leaves_none_out) {
  SampleBuffer<int> buffer({1s, 20, 8});
  std::map<int, std::uint32_t> prefills;
  int entries = 0;
  for (int ms = 0; ms < 20'000; ms += 50) {
    const MonotonicTime now = kNow + std::chrono::milliseconds(ms);
    for (int engine = 0; engine < 100; ++engine) buffer.add(now, engine, prefill(100));
    const auto taken = buffer.take(now);
    cr_assert_leq(taken.size(), 8);
    for (const auto& [engine, samples] : taken) {
      ++entries;
      prefills[engine] += samples.prefills;
    }
  }
  cr_assert_leq(entries, 20 * 21, "%d entries in 20 s", entries);
  cr_assert_eq(prefills.size(), 100);
  // Each engine waits for five seconds at 20 entries a second.
  for (const auto& [engine, sent] : prefills) cr_assert_geq(sent, 250, "%d: %u", engine, sent);
}

Test(sample_buffer, leaves_out_a_slowdown_that_is_over) {
  EngineSamples slow;
  slow.slowdown_percent = 250;
  SampleBuffer<int> buffer;
  buffer.add(kNow, 1, slow);
  cr_assert_eq(buffer.take(kNow + 100ms).at(1).slowdown_percent, 250);
  buffer.add(kNow + 200ms, 1, slow);
  cr_assert(buffer.take(kNow + 2s).empty());
  buffer.add(kNow + 3s, 1, slow);
  buffer.add(kNow + 3400ms, 1, prefill(100));
  cr_assert_eq(buffer.take(kNow + 3400ms).at(1).slowdown_percent, 0);
}
