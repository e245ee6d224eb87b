#include "relay/policy_options.hpp"

#include <boost/program_options/parsers.hpp>
#include <boost/program_options/variables_map.hpp>

namespace shuntbank::relay {
namespace {

namespace options = boost::program_options;

template <typename Value>
options::typed_value<Value>* into(Value& target) {
  return options::value(&target)->default_value(target);
}

options::typed_value<std::int64_t>* milliseconds_into(Duration& target) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(target).count();
  return options::value<std::int64_t>()->default_value(ms)->notifier(
      [&target](std::int64_t value) { target = std::chrono::milliseconds(value); });
}

}  // namespace

options::options_description policy_options(RelaySettings& settings) {
  options::options_description known("Policy of a relay node");
  auto add = known.add_options();
  add("home-share", into(settings.placement.home_share),
      "of reading the shared parts: how much sooner than their home another engine must be");
  add("pause-share", into(settings.prefill.pause_share),
      "of the longest pause in time: slower decode engines read no prompts; 0: never read there");
  add("held-up-weight", into(settings.prefill.held_up_stream_weight),
      "cost of reading at a decode engine, for each stream there");
  add("in-time-share", into(settings.prefill.in_time_share),
      "of the time to the objective: requests expected later are deferred; 1000: never");
  add("gather-ms", milliseconds_into(settings.catalog.longest_gather),
      "longest time for which changes of engines are gathered");
  add("told-directly", into(settings.exchange.most_told_directly),
      "peers up to which each node tells all others; with more, load is gathered by zones");
  add("collect-ms", milliseconds_into(settings.exchange.zones.collect_every),
      "between two sums of a zone's collector");
  add("stages-at-once", into(settings.stages.share_at_once),
      "of a service's engines that change their stage in one batch");
  add("buy", into(settings.capacity.planner.strategy),
      "how engines are ordered: none, spot-swap or spot-spare");
  add("full-floor", into(settings.capacity.planner.min_full_price_share),
      "of the engines that a service needs: kept at full price");
  add("prefill-share", into(settings.stages.prefill_share),
      "of a service's engines that read prompts");
  return known;
}

tl::expected<PolicyRequest, Findings> take_policy_options(int argc, const char* const* argv,
                                                          const RelaySettings& settings) {
  PolicyRequest request{settings, false};
  auto known = policy_options(request.settings);
  known.add_options()("help", options::bool_switch(&request.help), "show the options and end");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, known), values);
    options::notify(values);
  } catch (const options::error& error) {
    Findings findings;
    findings.add("command line", error.what());
    return tl::make_unexpected(findings);
  }
  return request;
}

}  // namespace shuntbank::relay
