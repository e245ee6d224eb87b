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

ToldUsage told(const std::string& node, std::uint64_t sequence, UnixMs until, std::uint64_t count) {
  ToldUsage usage;
  usage.node = NodeId(node);
  usage.boot = 1;
  usage.sequence = sequence;
  usage.counted_until = until;
  usage.window = kWindow;
  usage.counts[kGuild] = count;
  return usage;
}

}  // namespace

Test(usage_ledger, a_later_telling_replaces_an_earlier_one_and_a_doubled_one_changes_nothing) {
  UsageLedger ledger({});
  ledger.on_told(kNow, kWindow, told("a", 1, 501'000, 3));
  ledger.on_told(kNow, kWindow, told("b", 1, 501'000, 4));
  ledger.on_told(kNow, kWindow, told("a", 2, 506'000, 7));
  cr_assert_not(ledger.on_told(kNow, kWindow, told("a", 2, 506'000, 7)));
  cr_assert_not(ledger.on_told(kNow, kWindow, told("a", 1, 501'000, 3)));
  cr_assert_eq(ledger.sum(kWindow).at(kGuild), 11);
}

Test(usage_ledger, a_window_is_complete_once_all_that_are_heard_have_counted_to_its_end) {
  UsageLedger ledger({});
  ledger.on_told(kNow, kWindow, told("a", 1, 506'000, 3));
  ledger.on_told(kNow, kWindow, told("b", 1, 504'000, 4));
  cr_assert_not(ledger.complete(kNow, kWindow));
  ledger.on_told(kNow, kWindow, told("b", 2, 505'000, 5));
  cr_assert(ledger.complete(kNow, kWindow));
}

Test(usage_ledger, a_silent_node_is_not_waited_for_and_its_counts_stay) {
  UsageLedger ledger({});
  ledger.on_told(kNow, kWindow, told("a", 1, 503'000, 3));
  ledger.on_told(kNow + 5s, kWindow, told("b", 1, 506'000, 4));
  cr_assert(ledger.complete(kNow + 5s, kWindow));
  cr_assert_eq(ledger.sum(kWindow).at(kGuild), 7);
}

Test(usage_ledger, counts_of_a_start_that_has_ended_are_added_to_those_of_the_next) {
  UsageLedger ledger({});
  ledger.on_told(kNow, kWindow, told("a", 5, 503'000, 3));
  ToldUsage next = told("a", 1, 506'000, 2);
  next.boot = 2;
  next.counting_since = 503'500;
  ledger.on_told(kNow, kWindow, next);
  cr_assert_eq(ledger.sum(kWindow).at(kGuild), 5);
  cr_assert(ledger.covered(kWindow), "both starts together");
}

Test(usage_ledger, a_window_that_most_nodes_have_not_counted_through_is_not_covered) {
  UsageLedger ledger({});
  for (const char* node : {"a", "b", "c"}) {
    ToldUsage usage = told(node, 1, 506'000, 1);
    usage.counting_since = 502'000;  // All were killed and have started again.
    ledger.on_told(kNow, kWindow, usage);
  }
  cr_assert_not(ledger.covered(kWindow));
  cr_assert(ledger.covered(kWindow + 1));
}

Test(usage_ledger, a_telling_counts_once_all_its_parts_are_here) {
  UsageLedger ledger({});
  ledger.on_told(kNow, kWindow, told("a", 1, 501'000, 3));
  ToldUsage first = told("a", 2, 506'000, 5);
  first.parts = 2;
  ledger.on_told(kNow, kWindow, first);
  cr_assert_eq(ledger.sum(kWindow).at(kGuild), 3, "the other part may be lost");
  cr_assert_not(ledger.complete(kNow, kWindow));
  ToldUsage second = first;
  second.part = 1;
  second.counts = {{TenantName("post"), 6}};
  ledger.on_told(kNow, kWindow, second);
  cr_assert_eq(total(ledger.sum(kWindow)), 11);
  cr_assert(ledger.complete(kNow, kWindow));
}

Test(usage_ledger, a_node_whose_clock_is_far_ahead_displaces_nothing) {
  UsageLedger ledger({});
  ledger.on_told(kNow, kWindow, told("a", 1, 506'000, 3));
  ToldUsage ahead = told("b", 1, 4'106'000, 4);
  ahead.window = kWindow + 720;
  cr_assert_not(ledger.on_told(kNow, kWindow, ahead));
  cr_assert_eq(ledger.sum(kWindow).at(kGuild), 3);
}

Test(usage_counter, puts_into_windows_by_what_true_time_turns_out_to_be) {
  UsageCounter counter(30s);
  const WindowClock windows{5000};
  counter.on_began(kNow, kGuild);
  counter.on_began(kNow + 4900ms, kGuild);
  const auto at = [](UnixMs ahead) {
    return [ahead](MonotonicTime time) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch())
                 .count() +
             ahead;
    };
  };
  cr_assert_eq(counter.counts(windows, kWindow, at(0)).at(kGuild), 2);
  cr_assert_eq(counter.counts(windows, kWindow, at(200)).at(kGuild), 1, "it was 200 ms later");
  cr_assert_eq(counter.counts(windows, kWindow + 1, at(200)).at(kGuild), 1);
  counter.expire(kNow + 31s);
  cr_assert_eq(total(counter.counts(windows, kWindow, at(0))), 1);
}
