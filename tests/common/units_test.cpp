#include "common/units.hpp"

#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

Test(units, parses_each_suffix) {
  cr_assert(*parse_duration("250ms") == 250ms);
  cr_assert(*parse_duration("2h") == 2h);
  cr_assert_eq(*parse_byte_size("64KiB"), 65536);
  cr_assert_eq(*parse_byte_size("512"), 512);
}

Test(units, rejects_malformed_text) {
  for (const char* text : {"", "5", "ms", "-5s", "5 s", "5S", "1.5s", "5sec", "9999999999999h"}) {
    cr_assert(!parse_duration(text), "accepted '%s'", text);
  }
  for (const char* text : {"", "KiB", "-1", "5KB", "1.5MiB"}) {
    cr_assert(!parse_byte_size(text), "accepted '%s'", text);
  }
}

Test(units, duration_round_trips_through_text) {
  SHUNTBANK_PROPERTY("parse(format(d)) == d", [] {
    const Duration duration(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000));
    RC_ASSERT(*parse_duration(format_duration(duration)) == duration);
  });
}
