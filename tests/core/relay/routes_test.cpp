#include "core/relay/routes.hpp"

#include <map>

#include "support/property.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;

namespace {

Route route(const std::string& name, const std::string& host, const std::string& prefix) {
  Route result;
  result.name = name;
  result.host = host;
  result.path_prefix = prefix;
  result.split = {{ServiceName("s"), 1}};
  return result;
}

RouteConfiguration configuration_with(std::vector<Route> routes) {
  RouteConfiguration configuration;
  configuration.version = 1;
  configuration.routes = std::move(routes);
  configuration.services = {{ServiceName("s"), 0, std::nullopt}};
  return configuration;
}

}  // namespace

Test(routes, matches_the_longest_prefix_of_the_host) {
  const RouteTable table(configuration_with(
      {route("short", "a", "/x/"), route("long", "a", "/x/y/"), route("other", "b", "/x/")}));
  cr_assert_eq(table.find("a", "/x/y/z")->name, "long");
  cr_assert_eq(table.find("A:8080", "/x/z")->name, "short");
  cr_assert_eq(table.find("b", "/x/y/z")->name, "other");
  cr_assert_null(table.find("a", "/x"));
  cr_assert_null(table.find("c", "/x/"));
}

Test(routes, reports_all_findings_with_their_places) {
  auto configuration = configuration_with({route("r", "", "x"), route("r", "", "x")});
  configuration.routes[0].split = {{ServiceName("missing"), -1}};
  configuration.routes[1].max_attempts = 0;
  configuration.routes[1].resumable = true;
  const std::string text = check(configuration).to_text();
  for (const char* place : {"routes/0/host", "routes/0/path_prefix", "routes/0/split/0",
                            "routes/1/max_attempts", "routes/1/resumable", "routes/1:"}) {
    cr_assert_neq(text.find(place), std::string::npos, "%s is missing in %s", place, text.c_str());
  }
}

Test(split_chooser, gives_each_part_its_share_at_any_time) {
  SHUNTBANK_PROPERTY("each part stays within four requests of its share", [] {
    Route split = route("r", "h", "/");
    split.split.clear();
    double total = 0;
    const auto weights =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 100)));
    for (std::size_t i = 0; i < weights.size(); ++i) {
      split.split.push_back({ServiceName(std::to_string(i)), static_cast<double>(weights[i])});
      total += weights[i];
    }
    SplitChooser chooser(*rc::gen::inRange(0, 100) / 100.0);
    std::map<ServiceName, double> counts;
    for (int n = 1; n <= 300; ++n) {
      ++counts[chooser.choose(split)];
      for (const SplitPart& part : split.split) {
        RC_ASSERT(std::abs(counts[part.service] - n * part.weight / total) <= 4);
      }
    }
  });
}

Test(routes, warns_of_suspicious_configuration_but_accepts_it) {
  RouteConfiguration configuration;
  RelayedService service;
  service.name = ServiceName("s");
  service.scale.emplace();
  service.scale->min = 5;
  service.scale->max = 4;
  configuration.services = {service};
  const TenantKey key{"ab12", std::nullopt};
  configuration.tenants = {{TenantName("guild"), {key}, std::nullopt},
                           {TenantName("post"), {key}, std::nullopt},
                           {TenantName("guild"), {}, std::nullopt}};
  cr_assert(check(configuration).empty());
  const std::string warnings = RouteTable(configuration).warnings().to_text();
  for (const char* place :
       {"services/0/scale", "tenants/1/keys/0", "tenants/2/name", "tenants/2/keys"}) {
    cr_assert(warnings.find(place) != std::string::npos, "%s is not in %s", place,
              warnings.c_str());
  }
}

// Guards against an order among requests that differ in nothing but their path.
Test(routes, counts_the_kinds_of_a_service) {
  Route plain = route("plain", "a", "/x/");
  Route alike = route("alike", "a", "/y/");
  Route patient = route("patient", "a", "/z/");
  patient.objective = std::chrono::milliseconds(1500);
  patient.priority = 3;
  plain.priority = alike.priority = 2;
  cr_assert_eq(RouteTable(configuration_with({plain, alike})).kinds_of(ServiceName("s")).count, 1);
  RouteConfiguration configuration = configuration_with({plain, alike, patient});
  cr_assert_eq(RouteTable(configuration).kinds_of(ServiceName("s")).count, 2);
  cr_assert_eq(RouteTable(configuration).kinds_of(ServiceName("s")).most_urgent, 2);
  cr_assert_eq(RouteTable(configuration).kinds_of(ServiceName("t")).count, 0);
  configuration.tenants = {{TenantName("first"), {}, 1}};
  cr_assert_eq(RouteTable(configuration).kinds_of(ServiceName("s")).most_urgent, 1);
}
