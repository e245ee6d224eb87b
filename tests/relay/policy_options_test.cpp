#include "relay/policy_options.hpp"

#include <criterion/criterion.h>

#include <array>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

template <std::size_t Count>
tl::expected<PolicyCommandLine, Findings> parse(const std::array<const char*, Count>& arguments) {
  return parse_policy_options(static_cast<int>(Count), arguments.data(), {});
}

}  // namespace

Test(policy_options, uses_the_defaults_without_options) {
  const auto parsed = parse(std::array{"relay"});
  cr_assert(parsed.has_value());
  cr_assert_not(parsed->help);
  cr_assert_eq(parsed->settings.placement.home_share, PlacementSettings{}.home_share);
  cr_assert(parsed->settings.catalog.max_batch_delay == CatalogSettings{}.max_batch_delay);
}

Test(policy_options, applies_the_given_options) {
  const auto parsed = parse(
      std::array{"relay", "--home-share", "0.5", "--in-time-share=1000", "--gather-ms", "900"});
  cr_assert(parsed.has_value());
  cr_assert_eq(parsed->settings.placement.home_share, 0.5);
  cr_assert_eq(parsed->settings.prefill.in_time_share, 1000);
  cr_assert(parsed->settings.catalog.max_batch_delay == 900ms);
}

Test(policy_options, reads_how_engines_are_divided_between_stages) {
  // Guards against an ablation run that silently measures the default instead.
  cr_assert(parse(std::array{"relay"})->settings.stages.mode == StageMode::kDemand);
  const auto fixed = parse(std::array{"relay", "--stages", "fixed"});
  cr_assert(fixed->settings.stages.mode == StageMode::kFixed);
  cr_assert_not(parse(std::array{"relay", "--stages", "often"}).has_value());
}

Test(policy_options, switches_off_the_order_by_slack) {
  cr_assert(parse(std::array{"relay"})->settings.order == RequestOrder::kSlack);
  const auto parsed = parse(std::array{"relay", "--order", "priority"});
  cr_assert(parsed.has_value());
  cr_assert(parsed->settings.order == RequestOrder::kPriority);
  cr_assert_not(parse(std::array{"relay", "--order", "length"}).has_value());
}

Test(policy_options, switches_admission_control) {
  cr_assert(parse(std::array{"relay"})->settings.admission.enabled);
  cr_assert_not(parse(std::array{"relay", "--admission", "off"})->settings.admission.enabled);
  cr_assert_not(parse(std::array{"relay", "--admission", "maybe"}).has_value());
}

Test(policy_options, reports_an_invalid_command_line) {
  const auto unknown = parse(std::array{"relay", "--no-such-policy", "1"});
  cr_assert_not(unknown.has_value());
  cr_assert_eq(unknown.error().items().at(0).place, "command line");
  cr_assert_not(parse(std::array{"relay", "--home-share", "far"}).has_value());
}
