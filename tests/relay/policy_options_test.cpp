#include "relay/policy_options.hpp"

#include <criterion/criterion.h>

#include <array>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

template <std::size_t Count>
tl::expected<PolicyRequest, Findings> take(const std::array<const char*, Count>& words) {
  return take_policy_options(static_cast<int>(Count), words.data(), {});
}

}  // namespace

Test(policy_options, keeps_the_defaults_where_nothing_is_said) {
  const auto asked = take(std::array{"relay"});
  cr_assert(asked.has_value());
  cr_assert_not(asked->help);
  cr_assert_eq(asked->settings.placement.home_share, PlacementSettings{}.home_share);
  cr_assert(asked->settings.catalog.max_batch_delay == CatalogSettings{}.max_batch_delay);
}

Test(policy_options, changes_what_is_named) {
  const auto asked = take(
      std::array{"relay", "--home-share", "0.5", "--in-time-share=1000", "--gather-ms", "900"});
  cr_assert(asked.has_value());
  cr_assert_eq(asked->settings.placement.home_share, 0.5);
  cr_assert_eq(asked->settings.prefill.in_time_share, 1000);
  cr_assert(asked->settings.catalog.max_batch_delay == 900ms);
}

Test(policy_options, says_what_is_wrong_with_the_command_line) {
  const auto unknown = take(std::array{"relay", "--no-such-policy", "1"});
  cr_assert_not(unknown.has_value());
  cr_assert_eq(unknown.error().items().at(0).place, "command line");
  cr_assert_not(take(std::array{"relay", "--home-share", "far"}).has_value());
}
