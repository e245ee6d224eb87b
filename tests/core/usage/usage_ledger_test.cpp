#include "core/usage/usage_ledger.hpp"

#include <criterion/criterion.h>

#include "core/usage/usage_counter.hpp"

using namespace shuntbank;
using namespace shuntbank::usage;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(500)};
constexpr WindowNumber kWindow = 100;  // From 500,000 to 505,000 ms.
const TenantName kGuild("guild");

UsageCounts counts_from(const std::string& node, std::uint64_t sequence, UnixMs until,
                        std::uint64_t count) {
  UsageCounts usage;
  usage.node = NodeId(node);
  usage.boot = 1;
  usage.sequence = sequence;
  usage.counted_until = until;
  usage.window = kWindow;
  usage.counts[kGuild] = count;
  return usage;
}

}  // namespace

Test(usage_ledger, later_counts_replace_earlier_ones_and_duplicates_change_nothing) {
  UsageLedger ledger({});
  ledger.on_counts(kNow, kWindow, counts_from("a", 1, 501'000, 3));
  ledger.on_counts(kNow, kWindow, counts_from("b", 1, 501'000, 4));
  ledger.on_counts(kNow, kWindow, counts_from("a", 2, 506'000, 7));
  cr_assert_not(ledger.on_counts(kNow, kWindow, counts_from("a", 2, 506'000, 7)));
  cr_assert_not(ledger.on_counts(kNow, kWindow, counts_from("a", 1, 501'000, 3)));
  cr_assert_eq(ledger.sum(kWindow).at(kGuild), 11);
}

Test(usage_ledger, a_window_is_complete_once_all_live_nodes_have_counted_to_its_end) {
  UsageLedger ledger({});
  ledger.on_counts(kNow, kWindow, counts_from("a", 1, 506'000, 3));
  ledger.on_counts(kNow, kWindow, counts_from("b", 1, 504'000, 4));
  cr_assert_not(ledger.complete(kNow, kWindow));
  ledger.on_counts(kNow, kWindow, counts_from("b", 2, 505'000, 5));
  cr_assert(ledger.complete(kNow, kWindow));
}

Test(usage_ledger, a_silent_node_is_not_waited_for_and_its_counts_are_retained) {
  UsageLedger ledger({});
  ledger.on_counts(kNow, kWindow, counts_from("a", 1, 503'000, 3));
  ledger.on_counts(kNow + 5s, kWindow, counts_from("b", 1, 506'000, 4));
  cr_assert(ledger.complete(kNow + 5s, kWindow));
  cr_assert_eq(ledger.sum(kWindow).at(kGuild), 7);
}

Test(usage_ledger, counts_of_an_ended_incarnation_are_added_to_those_of_the_next) {
  UsageLedger ledger({});
  ledger.on_counts(kNow, kWindow, counts_from("a", 5, 503'000, 3));
  UsageCounts next = counts_from("a", 1, 506'000, 2);
  next.boot = 2;
  next.counting_since = 503'500;
  ledger.on_counts(kNow, kWindow, next);
  cr_assert_eq(ledger.sum(kWindow).at(kGuild), 5);
  cr_assert(ledger.covered(kWindow), "both incarnations together");
}

Test(usage_ledger, a_window_that_most_nodes_counted_only_in_part_is_not_covered) {
  UsageLedger ledger({});
  for (const char* node : {"a", "b", "c"}) {
    UsageCounts usage = counts_from(node, 1, 506'000, 1);
    usage.counting_since = 502'000;  // All nodes restarted within the window.
    ledger.on_counts(kNow, kWindow, usage);
  }
  cr_assert_not(ledger.covered(kWindow));
  cr_assert(ledger.covered(kWindow + 1));
}

Test(usage_ledger, counts_apply_once_all_parts_have_arrived) {
  UsageLedger ledger({});
  ledger.on_counts(kNow, kWindow, counts_from("a", 1, 501'000, 3));
  UsageCounts first = counts_from("a", 2, 506'000, 5);
  first.parts = 2;
  ledger.on_counts(kNow, kWindow, first);
  cr_assert_eq(ledger.sum(kWindow).at(kGuild), 3, "the other part may be lost");
  cr_assert_not(ledger.complete(kNow, kWindow));
  UsageCounts second = first;
  second.part = 1;
  second.counts = {{TenantName("post"), 6}};
  ledger.on_counts(kNow, kWindow, second);
  cr_assert_eq(total(ledger.sum(kWindow)), 11);
  cr_assert(ledger.complete(kNow, kWindow));
}

Test(usage_ledger, counts_for_a_future_window_are_rejected) {
  UsageLedger ledger({});
  ledger.on_counts(kNow, kWindow, counts_from("a", 1, 506'000, 3));
  UsageCounts ahead = counts_from("b", 1, 4'106'000, 4);
  ahead.window = kWindow + 720;
  cr_assert_not(ledger.on_counts(kNow, kWindow, ahead));
  cr_assert_eq(ledger.sum(kWindow).at(kGuild), 3);
}

Test(usage_counter, assigns_requests_to_windows_by_the_true_time_known_when_asked) {
  UsageCounter counter(30s);
  const WindowClock window_clock{5000};
  counter.on_request_started(kNow, kGuild);
  counter.on_request_started(kNow + 4900ms, kGuild);
  const auto at = [](UnixMs lead_ms) {
    return [lead_ms](MonotonicTime time) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch())
                 .count() +
             lead_ms;
    };
  };
  cr_assert_eq(counter.counts(window_clock, kWindow, at(0)).at(kGuild), 2);
  cr_assert_eq(counter.counts(window_clock, kWindow, at(200)).at(kGuild), 1,
               "true time turned out 200 ms later");
  cr_assert_eq(counter.counts(window_clock, kWindow + 1, at(200)).at(kGuild), 1);
  counter.expire(kNow + 31s);
  cr_assert_eq(total(counter.counts(window_clock, kWindow, at(0))), 1);
}
