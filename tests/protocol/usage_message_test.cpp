#include "protocol/usage_message.hpp"

#include <criterion/criterion.h>

#include <random>

using namespace shuntbank;

namespace {

usage::UsageCounts told_of(int tenants) {
  usage::UsageCounts told;
  told.node = NodeId("n1");
  told.boot = 0xFFFFFFFFFFULL;
  told.sequence = 9;
  told.clock = 1'796'000'000'123;
  told.counted_until = 1'796'000'000'000;
  told.counting_since = 5;
  told.window = 359200000;
  for (int i = 0; i < tenants; ++i) told.counts[TenantName("tenant-" + std::to_string(i))] = 3;
  return told;
}

}  // namespace

Test(usage_message, parts_fit_into_datagrams_and_hold_every_count_once) {
  for (const int tenants : {0, 1, 59, 60, 61, 400}) {
    const usage::UsageCounts whole = told_of(tenants);
    usage::TenantCounts sum;
    const auto messages = encode_parts(whole);
    for (const std::string& bytes : messages) {
      cr_assert_leq(bytes.size(), 1400);
      cr_assert(is_told_usage(bytes));
      const auto part = decode_told_usage(bytes);
      cr_assert(part.has_value());
      cr_assert_eq(part->parts, messages.size());
      cr_assert_eq(part->window, whole.window);
      usage::add(sum, part->counts);
    }
    cr_assert(sum == whole.counts, "%d", tenants);
  }
}

Test(usage_message, a_call_comes_back_with_and_without_true_time) {
  for (const auto& agreed :
       {std::optional<usage::UnixMs>(1'796'000'000'123), std::optional<usage::UnixMs>()}) {
    const UsageCall call{NodeId("n1"), 7, agreed};
    const std::string bytes = encode(call);
    cr_assert(is_usage_call(bytes));
    cr_assert(decode_usage_call(bytes).value() == call);
  }
}

Test(usage_message, survives_any_bytes) {
  std::mt19937 random(20261205);  // NOLINT: repeatable on purpose
  const std::string whole = encode_parts(told_of(20)).front();
  int refused = 0;
  for (int i = 0; i < 5000; ++i) {
    std::string changed = whole;
    changed[random() % changed.size()] = static_cast<char>(random() % 256);
    if (!decode_told_usage(changed)) ++refused;
    if (!decode_usage_call(changed)) ++refused;
  }
  cr_assert_gt(refused, 0);
}
