/// Guards against a node that is behind the others without its metrics showing it.
#include "store/revision_lag.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kStart{1000s};

}  // namespace

Test(revision_lag, counts_from_the_oldest_missing_change) {
  store::RevisionLag lag;
  cr_assert_eq(lag.behind_for(kStart), Duration::zero());
  lag.on_hint(kStart, 10);
  lag.on_hint(kStart + 1s, 20);
  lag.on_hint(kStart + 2s, 20);
  cr_assert(lag.behind());
  cr_assert_eq(lag.behind_for(kStart + 3s), 3s);
  lag.on_reached(15);
  cr_assert_eq(lag.behind_for(kStart + 3s), 2s);
  lag.on_reached(25);
  cr_assert_not(lag.behind());
  cr_assert_eq(lag.behind_for(kStart + 3s), Duration::zero());
}

Test(revision_lag, ignores_hints_of_known_changes) {
  store::RevisionLag lag;
  lag.on_reached(30);
  lag.on_hint(kStart, 30);
  lag.on_reached(20);
  cr_assert_eq(lag.reached(), 30);
  cr_assert_not(lag.behind());
}

Test(revision_lag, stays_behind_with_more_hints_than_it_keeps) {
  store::RevisionLag lag;
  for (std::uint64_t revision = 1; revision <= 2000; ++revision) lag.on_hint(kStart, revision);
  lag.on_reached(1999);
  cr_assert(lag.behind(), "the newest hint counts even if its time was not kept");
}
