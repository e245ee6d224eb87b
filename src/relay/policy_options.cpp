#include "relay/policy_options.hpp"

#include <boost/program_options/parsers.hpp>
#include <boost/program_options/variables_map.hpp>

namespace shuntbank::relay {
namespace {

namespace options = boost::program_options;

template <typename Value>
options::typed_value<Value>* bind_option(Value& target) {
  return options::value(&target)->default_value(target);
}

options::typed_value<std::int64_t>* bind_milliseconds(Duration& target) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(target).count();
  return options::value<std::int64_t>()->default_value(ms)->notifier(
      [&target](std::int64_t value) { target = std::chrono::milliseconds(value); });
}

options::typed_value<std::string>* bind_switch(bool& target) {
  return options::value<std::string>()
      ->default_value(target ? "on" : "off")
      ->notifier([&target](const std::string& value) {
        if (value != "on" && value != "off") throw options::invalid_option_value(value);
        target = value == "on";
      });
}

}  // namespace

options::options_description policy_options(RelaySettings& settings) {
  options::options_description description("Policy options");
  auto add = description.add_options();
  add("home-share", bind_option(settings.placement.home_share),
      "lead that another engine needs over the home engine, in prefill times of the shared parts");
  add("pause-share", bind_option(settings.prefill.pause_share),
      "share of the longest in-time event gap; slower decode engines prefill nothing; 0: never do");
  add("held-up-weight", bind_option(settings.prefill.stalled_stream_weight),
      "cost of prefill on a decode engine, per stream running there");
  add("in-time-share", bind_option(settings.prefill.in_time_share),
      "share of the time to the objective; requests expected later are deferred; 1000: never");
  add("order", bind_option(settings.order),
      "order of requests at engines: slack (time left to the objective) or priority");
  add("admission", bind_switch(settings.admission.enabled),
      "on or off: admission control of model services while their capacity is short");
  add("gather-ms", bind_milliseconds(settings.catalog.max_batch_delay),
      "maximum time for which engine changes are batched, in ms");
  add("told-directly", bind_option(settings.exchange.max_direct_peers),
      "maximum peers for load reports to all nodes; with more, load is aggregated by zone");
  add("collect-ms", bind_milliseconds(settings.exchange.zones.min_collect_interval),
      "interval between load sums of a zone's collector, in ms");
  add("stages-at-once", bind_option(settings.stages.max_batch_share),
      "maximum share of a service's engines that change stage in one batch");
  add("buy", bind_option(settings.capacity.planner.strategy),
      "how engines are ordered: none, spot-swap or spot-spare");
  add("full-floor", bind_option(settings.capacity.planner.min_full_price_share),
      "share of the needed engines that is kept at full price");
  add("size-by-demand", bind_option(settings.capacity.needed.by_demand),
      "whether the needed engines follow demand; otherwise the operator's first sizing applies");
  add("prefill-share", bind_option(settings.stages.prefill_share),
      "share of a service's engines used for prefill, with --stages demand until demand is known");
  add("stages", bind_option(settings.stages.mode),
      "how engines are divided between prefill and decode: fixed (by prefill-share) or demand");
  return description;
}

tl::expected<PolicyCommandLine, Findings> parse_policy_options(int argc, const char* const* argv,
                                                               const RelaySettings& settings) {
  PolicyCommandLine command_line{settings, false};
  auto description = policy_options(command_line.settings);
  description.add_options()("help", options::bool_switch(&command_line.help),
                            "print the options and exit");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
  } catch (const options::error& error) {
    Findings findings;
    findings.add("command line", error.what());
    return tl::make_unexpected(findings);
  }
  return command_line;
}

}  // namespace shuntbank::relay
