#include "process/support/site.hpp"

#include <criterion/criterion.h>

#include <utility>

#include "common/hash.hpp"
#include "net/blocking_client.hpp"

namespace shuntbank::testing {
namespace {

using nlohmann::json;

void append(std::vector<std::string>& list, const std::vector<std::string>& more) {
  list.insert(list.end(), more.begin(), more.end());
}

}  // namespace

Reply send(const std::string& method, const std::string& url, const std::string& body,
           const HttpHeaders& headers) {
  OutgoingRequest request;
  request.method = method;
  request.url = url;
  request.body = body;
  request.headers = headers;
  request.total_timeout = std::chrono::seconds(60);
  auto reply = fetch_blocking(std::move(request));
  if (!reply) return {};
  return {reply->status, reply->headers, reply->body, json::parse(reply->body, nullptr, false)};
}

Site::Site(SiteOptions site_options) : options(std::move(site_options)) {
  platform = std::make_unique<Process>(
      "shuntbank-standin", std::vector<std::string>{"platform", "--machine-list-lag", "500ms"});
  for (int i = 0; i < options.engines + options.plain_engines; ++i) {
    std::vector<std::string> arguments{"engine", "--time-scale", "10"};
    if (i >= options.engines) append(arguments, {"--plain"});
    if (i < options.engines) append(arguments, {"--model", std::string(kModel) + "@1"});
    append(arguments, options.engine_options);
    engines.push_back(std::make_unique<Process>("shuntbank-standin", arguments));
  }
  platform_address();
  nodes.resize(static_cast<std::size_t>(options.nodes));
  for (std::size_t i = 0; i < nodes.size(); ++i) start_node(i);
  apply_configuration();
  cr_assert(eventually([this] { return all_see_members(nodes.size()); }), "members");
  cr_assert(eventually([this] {
              const json known_engines = status(nodes.size() - 1)["engines"];
              return known_engines.size() == static_cast<std::size_t>(options.engines);
            }),
            "controller");
}

void Site::register_machine(const std::string& name, const std::string& kind,
                            const std::string& address) {
  send("PUT", "http://" + platform_address() + "/machines?name=" + name,
       json{{"kind", kind}, {"address", address}, {"state", "live"}}.dump());
}

void Site::start_node(std::size_t index) {
  std::vector<std::string> arguments{"--name",         "n" + std::to_string(index),
                                     "--zone",         "z" + std::to_string(index % 3),
                                     "--region",       "r",
                                     "--platform",     platform_address(),
                                     "--seed",         std::to_string(index + 1),
                                     "--lease-length", "2s",
                                     "--leave-grace",  "700ms"};
  append(arguments, options.node_options);
  nodes.at(index) = std::make_unique<Process>("shuntbankd", arguments);
  register_machine("n" + std::to_string(index), "node", nodes[index]->address("cluster"));
  const std::string ready = "http://" + operators(index) + "/readyz";
  cr_assert(eventually([&] { return send("GET", ready).status == 200; }), "node not ready");
}

void Site::apply_configuration() {
  std::vector<ObjectEdit> edits;
  for (int i = 0; i < options.engines + options.plain_engines; ++i) {
    const std::string service = i < options.engines ? "model" : "plain";
    edits.push_back(make_set_edit(ObjectKind::kEngine, "e" + std::to_string(i), 0,
                                  json{{"address", engine(static_cast<std::size_t>(i))},
                                       {"zone", "z" + std::to_string(i % 3)},
                                       {"labels", {{"service", service}}}}));
  }
  const auto selector = [](const char* service) {
    return json{{"match_labels", {{"service", service}}}};
  };
  edits.push_back(
      make_set_edit(ObjectKind::kService, "model", 0,
                    json{{"kind", "model"},
                         {"engine_selector", selector("model")},
                         {"models", json::array({{{"name", kModel}, {"version", "1"}}})},
                         {"allowed_roles", options.allowed_roles}}));
  edits.push_back(make_set_edit(ObjectKind::kService, "plain", 0,
                                json{{"kind", "plain"}, {"engine_selector", selector("plain")}}));
  edits.push_back(
      make_set_edit(ObjectKind::kTenant, "t", 0,
                    json{{"keys", json::array({{{"sha256", sha256_hex(kTenantKey)}}})}}));
  edits.push_back(
      make_set_edit(ObjectKind::kTenant, "other", 0,
                    json{{"keys", json::array({{{"sha256", sha256_hex(kOtherTenantKey)}}})}}));
  const Reply reply = change(0, edits);
  cr_assert_eq(reply.status, 200, "%s", reply.body.c_str());
  cr_assert(eventually([this] {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (status(i)["revision"] != 1) return false;
    }
    return true;
  }));
}

Reply Site::change(std::size_t node, const std::vector<ObjectEdit>& edits) {
  return send("POST", "http://" + operators(node) + "/v1/config/changes", to_json(edits).dump());
}

Reply Site::set_weight(std::size_t node, const std::string& tenant, Revision base, double weight) {
  return change(node, {make_set_edit(ObjectKind::kTenant, tenant, base, json{{"weight", weight}})});
}

json Site::completion(const std::string& prompt, int tokens, bool stream) {
  return {{"model", kModel}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}};
}

Reply Site::send_request(std::size_t node, const json& body, HttpHeaders headers) {
  if (headers.get("Authorization").empty()) {
    headers.add("Authorization", std::string("Bearer ") + kTenantKey);
  }
  return send("POST", "http://" + callers(node) + "/v1/completions", body.dump(), headers);
}

void Site::set_faults(const std::string& address, const json& faults) {
  cr_assert_eq(send("POST", "http://" + address + "/faults", faults.dump()).status, 200);
}

json Site::status(std::size_t node) {
  const json status = send("GET", "http://" + operators(node) + "/v1/status").json;
  return status.is_object() ? status
                            : json{{"revision", -1},
                                   {"members", json::array()},
                                   {"engines", json::array()},
                                   {"duties", json::array()}};
}

json Site::executions(std::size_t index) {
  return send("GET", "http://" + engine(index) + "/control/executions").json;
}

int Site::count_executions(const std::string& request_id) {
  int execution_count = 0;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const json log = executions(i)["executions"];
    for (const json& execution : log) {
      execution_count += execution["request"] == request_id ? 1 : 0;
    }
  }
  return execution_count;
}

bool Site::orders_are_consistent() {
  for (std::size_t i = 0; i < engines.size(); ++i) {
    std::pair<std::uint64_t, std::uint64_t> last{0, 0};
    const json orders = executions(i)["orders"];
    for (const json& order : orders) {
      if (!order["taken"].get<bool>()) continue;
      const std::pair<std::uint64_t, std::uint64_t> stamp{order["fence"], order["sequence"]};
      if (stamp <= last) return false;
      last = stamp;
    }
  }
  return true;
}

int Site::lease_holder() {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (!nodes[i]->running()) continue;
    const json duties = status(i)["duties"];
    if (!duties.empty() && duties.front().contains("fence")) return static_cast<int>(i);
  }
  return -1;
}

bool Site::all_see_members(std::size_t count) {
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (!nodes[i] || !nodes[i]->running()) continue;
    std::size_t alive_count = 0;
    const json members = status(i)["members"];
    for (const json& member : members) {
      alive_count += member["state"] == "alive" ? 1 : 0;
    }
    if (alive_count != count) return false;
  }
  return true;
}

bool Site::claims_are_ready() {
  json newest_claims;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const json claims = status(i)["claims"];
    if (newest_claims.is_null() || claims["view"] > newest_claims["view"]) newest_claims = claims;
  }
  if (newest_claims["members"].size() != 3 || newest_claims["stable"] != true) return false;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (status(i)["claims"]["active_view_here"] != newest_claims["view"]) return false;
  }
  return true;
}

LoadSettings Site::load_settings(double rate, Duration length, std::uint32_t output_tokens) {
  LoadSettings settings;
  for (std::size_t i = 0; i < nodes.size(); ++i) settings.targets.push_back(callers(i));
  settings.key = kTenantKey;
  settings.model = kModel;
  settings.phases = {{length, rate, 50, output_tokens}};
  return settings;
}

}  // namespace shuntbank::testing
