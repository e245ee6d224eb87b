#include "common/log.hpp"

#include "support/property.hpp"

using namespace shuntbank;

Test(log, escapes_special_characters) {
  cr_assert_eq(escape_log_value("plain-1.2:3"), "plain-1.2:3");
  cr_assert_eq(escape_log_value("a b"), "\"a b\"");
  cr_assert_eq(escape_log_value("a\nevent=x"), "\"a\\x0aevent=x\"");
  cr_assert_eq(escape_log_value("say \"hi\""), "\"say \\\"hi\\\"\"");
}

Test(log, escapes_every_control_character) {
  SHUNTBANK_PROPERTY("no control characters", [](const std::string& text) {
    for (const char c : escape_log_value(text)) RC_ASSERT(static_cast<unsigned char>(c) >= 0x20);
  });
}

Test(log, rejects_unknown_levels_and_areas) {
  cr_assert(set_log_levels("info,cluster=debug").has_value());
  cr_assert(!set_log_levels("loud"));
  cr_assert(!set_log_levels("info,kitchen=debug"));
}
