#include "common/log.hpp"

#include "support/property.hpp"

using namespace shuntbank;

Test(log, escapes_values_so_that_a_line_stays_a_line) {
  cr_assert_eq(escape_log_value("plain-1.2:3"), "plain-1.2:3");
  cr_assert_eq(escape_log_value("a b"), "\"a b\"");
  cr_assert_eq(escape_log_value("a\nevent=x"), "\"a\\x0aevent=x\"");
  cr_assert_eq(escape_log_value("say \"hi\""), "\"say \\\"hi\\\"\"");
}

Test(log, never_lets_a_control_character_through) {
  SHUNTBANK_PROPERTY("no control characters", [](const std::string& text) {
    for (const char c : escape_log_value(text)) RC_ASSERT(static_cast<unsigned char>(c) >= 0x20);
  });
}

Test(log, refuses_unknown_levels_and_areas) {
  cr_assert(set_log_levels("info,cluster=debug").has_value());
  cr_assert(!set_log_levels("loud"));
  cr_assert(!set_log_levels("info,kitchen=debug"));
}
