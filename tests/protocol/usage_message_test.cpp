#include "protocol/usage_message.hpp"

#include <criterion/criterion.h>

#include <random>

using namespace shuntbank;

namespace {

usage::UsageCounts window_counts(int tenants) {
  usage::UsageCounts message;
  message.node = NodeId("n1");
  message.boot = 0xFFFFFFFFFFULL;
  message.sequence = 9;
  message.clock = 1'796'000'000'123;
  message.counted_until = 1'796'000'000'000;
  message.counting_since = 5;
  message.window = 359200000;
  for (int i = 0; i < tenants; ++i) message.counts[TenantName("tenant-" + std::to_string(i))] = 3;
  return message;
}

}  // namespace

Test(usage_message, parts_fit_into_datagrams_and_hold_every_count_once) {
  for (const int tenants : {0, 1, 59, 60, 61, 400}) {
    const usage::UsageCounts whole = window_counts(tenants);
    usage::TenantCounts sum;
    const auto messages = encode_parts(whole);
    for (const std::string& bytes : messages) {
      cr_assert_leq(bytes.size(), 1400);
      cr_assert(is_usage_counts(bytes));
      const auto part = decode_usage_counts(bytes);
      cr_assert(part.has_value());
      cr_assert_eq(part->parts, messages.size());
      cr_assert_eq(part->window, whole.window);
      usage::add(sum, part->counts);
    }
    cr_assert(sum == whole.counts, "%d", tenants);
  }
}

Test(usage_message, call_round_trips_with_and_without_true_time) {
  for (const auto& true_time :
       {std::optional<usage::UnixMs>(1'796'000'000'123), std::optional<usage::UnixMs>()}) {
    const UsageCall call{NodeId("n1"), 7, true_time};
    const std::string bytes = encode(call);
    cr_assert(is_usage_call(bytes));
    cr_assert(decode_usage_call(bytes).value() == call);
  }
}

Test(usage_message, tolerates_corrupted_bytes) {
  std::mt19937 random(20261205);  // NOLINT: repeatable on purpose
  const std::string whole = encode_parts(window_counts(20)).front();
  int rejected = 0;
  for (int i = 0; i < 5000; ++i) {
    std::string changed = whole;
    changed[random() % changed.size()] = static_cast<char>(random() % 256);
    if (!decode_usage_counts(changed)) ++rejected;
    if (!decode_usage_call(changed)) ++rejected;
  }
  cr_assert_gt(rejected, 0);
}
