#include "simulation/fleet.hpp"

#include <algorithm>
#include <utility>

#include "common/hash.hpp"
#include "config/document.hpp"
#include "engine/event_stream.hpp"
#include "standin/answer.hpp"

namespace shuntbank::simulation {
namespace {

using nlohmann::json;

constexpr const char* kPlatformAddress = "10.0.0.1:1";
constexpr const char* kCallerAddress = "10.0.0.2:1";
constexpr const char* kApiKey = "sb-simulated";

/// New work may reach a draining engine for this long: machine list lag plus a node's poll
/// interval.
constexpr Duration kDrainingGrace = std::chrono::seconds(8);

/// Longer than any simulated request stays in flight.
constexpr Duration kClaimRetention = std::chrono::minutes(3);

std::string numbered(const char* name, int index) {
  return name + std::to_string(index);
}

}  // namespace

/// A node with its process and transports.
struct Fleet::SimNode {
  NodeSettings settings;
  ProcessPointer process;
  std::unique_ptr<SimulatedHttpClient> http;
  std::unique_ptr<SimulatedTransport> transport;
  std::unique_ptr<Node> node;
  std::uint64_t boot = 0;  ///< Number of the process start; unique in the fleet.
  Revision last_revision = 0;
  bool has_left = false;
};

/// An engine stand-in and its process.
struct Fleet::SimEngine {
  ProcessPointer process;
  std::unique_ptr<EngineStandin> standin;
  std::optional<MonotonicTime> draining_since;
};

Fleet::Fleet(const FleetSettings& wanted) : world(wanted.seed, wanted.network), settings(wanted) {
  start_platform();
  for (int i = 0; i < settings.engines; ++i) start_engine(i);
  caller_process_ = world.start(kCallerAddress);
  caller_http_ = std::make_unique<SimulatedHttpClient>(caller_process_);
  nodes_.resize(static_cast<std::size_t>(settings.nodes));
  for (int i = 0; i < settings.nodes; ++i) start_node(i);
}

Fleet::~Fleet() {
  world.stop();
}

void Fleet::start_platform() {
  platform_process_ = world.start(kPlatformAddress);
  PlatformStandinSettings platform;
  platform.max_watches = 64;
  platform_ = std::make_unique<PlatformStandin>(*platform_process_, platform);
  platform_process_->http_handler = [this](const HttpRequest& request, const auto& responder) {
    platform_->handle(request, responder);
  };
}

std::string Fleet::node_address(int index) const {
  return "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":1";
}

std::string Fleet::engine_address(int index) const {
  return "10.2." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":1";
}

void Fleet::start_engine(int index) {
  auto engine = std::make_unique<SimEngine>();
  engine->process = world.start(engine_address(index));
  EngineStandinSettings standin;
  standin.preloaded = {{numbered("m", index % settings.models), "1", {}}};
  standin.costs.role_change_time = std::chrono::seconds(2);
  engine->standin = std::make_unique<EngineStandin>(*engine->process, standin);
  engine->process->http_handler = [target = engine->standin.get()](const HttpRequest& request,
                                                                   const auto& responder) {
    target->handle(request, responder);
  };
  engines_.push_back(std::move(engine));
}

void Fleet::start_node(int index) {
  auto node = std::make_unique<SimNode>();
  node->boot = ++boot_count_;
  node->settings.name = numbered("n", index);
  node->settings.zone = numbered("z", index % settings.zones);
  node->settings.region = numbered("r", index % settings.zones % settings.regions);
  node->settings.platform = kPlatformAddress;
  node->settings.seed = settings.seed * 1000 + static_cast<std::uint64_t>(index) + 1;
  node->settings.lease_duration = std::chrono::seconds(4);
  node->settings.leave_grace = std::chrono::seconds(2);
  node->settings.engine_idle_timeout = std::chrono::seconds(10);
  node->settings.request_timeout = std::chrono::seconds(40);
  node->settings.claim_retention = kClaimRetention;
  node->process = world.start(node_address(index));
  node->http = std::make_unique<SimulatedHttpClient>(node->process);
  node->transport = std::make_unique<SimulatedTransport>(node->process);
  SimNode* raw = node.get();
  node->node = std::make_unique<Node>(NodeIo{*node->process, *node->http, *node->transport},
                                      node->settings, [raw] {
                                        raw->has_left = true;
                                        raw->process->kill();
                                      });
  node->process->http_handler = [raw](const HttpRequest& request, const auto& responder) {
    // Operators and callers share the simulated address; their paths do not overlap.
    const bool for_operator = request.path.rfind("/v1/config", 0) == 0 ||
                              request.path == "/v1/status" || request.path == "/metrics";
    if (for_operator) return raw->node->handle_operator(request, responder);
    raw->node->handle_caller(request, responder);
  };
  node->node->on_close_callers([raw] { raw->process->listening = false; });
  auto& slot = nodes_.at(static_cast<std::size_t>(index));
  if (slot) stopped_nodes_.push_back(std::move(slot));
  slot = std::move(node);
  fetch(kPlatformAddress, "PUT", "/machines?name=" + numbered("n", index),
        {{"kind", "node"}, {"address", node_address(index)}, {"state", "live"}});
}

HttpReply Fleet::fetch(const std::string& address, const std::string& method,
                       const std::string& path, const json& body) {
  OutgoingRequest request;
  request.method = method;
  request.url = "http://" + address + path;
  if (!body.is_null()) request.body = body.dump();
  request.total_timeout = std::chrono::seconds(20);
  auto result = std::make_shared<std::optional<HttpReply>>();
  caller_http_->fetch(std::move(request),
                      [result](const auto& reply) { *result = reply ? *reply : HttpReply{}; });
  const MonotonicTime deadline = world.now() + std::chrono::seconds(30);
  while (!result->has_value() && world.step(deadline)) {
  }
  return result->value_or(HttpReply{});
}

json Fleet::declared_edits() const {
  std::vector<ObjectEdit> edits;
  for (int i = 0; i < settings.engines; ++i) {
    const json labels{{"service", numbered("s", i % settings.models)}};
    edits.push_back(make_set_edit(ObjectKind::kEngine, numbered("e", i), 0,
                                  {{"address", engine_address(i)},
                                   {"zone", numbered("z", i % settings.zones)},
                                   {"labels", labels}}));
  }
  for (int i = 0; i < settings.models; ++i) {
    const json models = json::array({{{"name", numbered("m", i)}, {"version", "1"}}});
    json roles = json::array({"mixed"});
    if (settings.split_roles) roles = {"mixed", "prefill", "decode"};
    edits.push_back(
        make_set_edit(ObjectKind::kService, numbered("s", i), 0,
                      {{"kind", "model"},
                       {"engine_selector", {{"match_labels", {{"service", numbered("s", i)}}}}},
                       {"models", models},
                       {"allowed_roles", roles}}));
  }
  for (int i = 0; i < settings.tenants; ++i) {
    const std::string key = i == 0 ? kApiKey : numbered(kApiKey, i);
    edits.push_back(make_set_edit(ObjectKind::kTenant, numbered("t", i), 0,
                                  {{"keys", json::array({{{"sha256", sha256_hex(key)}}})}}));
  }
  edits.push_back(make_set_edit(ObjectKind::kPolicy, "p", 0, {{"drain_bound", "5s"}}));
  return to_json(edits);
}

void Fleet::configure() {
  run_for(std::chrono::seconds(2));
  for (int attempt = 0; attempt < 5; ++attempt) {
    const HttpReply reply = fetch(node_address(0), "POST", "/v1/config/changes", declared_edits());
    if (reply.status == 200) break;
    run_for(std::chrono::seconds(1));
  }
  run_for(std::chrono::seconds(8));
}

json Fleet::status(int index) {
  const HttpReply reply = fetch(node_address(index), "GET", "/v1/status", nullptr);
  return json::parse(reply.body, nullptr, false);
}

NodeCost operator-(const NodeCost& after, const NodeCost& before) {
  NodeCost cost = after;
  cost.sent -= before.sent;
  cost.received -= before.received;
  cost.messages -= before.messages;
  cost.processor_seconds -= before.processor_seconds;
  return cost;
}

NodeCost operator+(const NodeCost& a, const NodeCost& b) {
  NodeCost sum = a;
  sum.sent += b.sent;
  sum.received += b.received;
  sum.messages += b.messages;
  sum.processor_seconds += b.processor_seconds;
  return sum;
}

std::vector<NodeCost> Fleet::costs() const {
  std::vector<NodeCost> costs;
  for (const auto& node : nodes_) {
    const Process& process = *node->process;
    costs.push_back({node->boot, process.alive(),
                     process.datagram_bytes_sent + process.call_bytes_sent,
                     process.datagram_bytes_received + process.call_bytes_received,
                     process.messages_sent, process.processor_seconds});
  }
  return costs;
}

Revision Fleet::newest_revision() const {
  Revision newest = 0;
  for (const auto& node : nodes_) {
    if (node->process->alive()) newest = std::max(newest, node->node->revision());
  }
  return newest;
}

Revision Fleet::oldest_revision() const {
  Revision oldest = newest_revision();
  for (const auto& node : nodes_) {
    if (node->process->alive()) oldest = std::min(oldest, node->node->revision());
  }
  return oldest;
}

bool Fleet::members_agree() const {
  const auto running = static_cast<std::size_t>(std::count_if(
      nodes_.begin(), nodes_.end(), [](const auto& node) { return node->process->alive(); }));
  return std::all_of(nodes_.begin(), nodes_.end(), [running](const auto& node) {
    return !node->process->alive() || node->node->usable_members() == running;
  });
}

bool Fleet::node_alive(int index) const {
  return nodes_.at(static_cast<std::size_t>(index))->process->alive();
}

bool Fleet::node_running(int index) const {
  const SimNode& node = *nodes_.at(static_cast<std::size_t>(index));
  return node.process->alive() && !node.process->frozen();
}

void Fleet::send_request(int node, std::uint32_t tokens, const std::string& request_key) {
  auto request = std::make_shared<CallerRequest>();
  request->try_id = numbered("try-", ++request_count_);
  request->request_key = request_key.empty() ? request->try_id : request_key;
  request->at_most_once = !request_key.empty();
  request->node = node;
  request->sent = world.now();
  request->node_disturbed = !node_running(node);
  requests.push_back(request);
  OutgoingRequest outgoing;
  outgoing.method = "POST";
  outgoing.url = "http://" + node_address(node) + "/v1/completions";
  outgoing.headers.add("Authorization", std::string("Bearer ") + kApiKey);
  if (request->at_most_once) outgoing.headers.add("Idempotency-Key", request->request_key);
  outgoing.total_timeout = std::chrono::seconds(60);
  outgoing.body = json{
      {"model", numbered("m", request_count_ % settings.models)},
      {"prompt", request->try_id},
      {"user", request->request_key + "/" + request->try_id},
      {"max_tokens", tokens},
      {"stream",
       true}}.dump();
  auto splitter = std::make_shared<EventStreamSplitter>();
  auto error_body = std::make_shared<std::string>();
  TransferHandlers handlers;
  handlers.on_headers = [request](int status, const HttpHeaders&) { request->status = status; };
  handlers.on_data = [request, splitter, error_body](std::string_view piece) {
    if (request->status != 200) {
      *error_body += piece;
      return true;
    }
    splitter->feed(piece, [request](const ServerSentEvent& event) {
      if (event.data == kDoneMarker) {
        request->completed = true;
        return;
      }
      const json chunk = json::parse(event.data, nullptr, false);
      if (chunk.contains("error")) {
        request->outcome = chunk["error"].value("outcome", "");
        return;
      }
      request->text += chunk["choices"][0].value("text", "");
    });
    return true;
  };
  handlers.on_done = [request, error_body, tokens](const auto& result) {
    request->ended = true;
    const bool refused = !result && result.error().failure == TransferFailure::kNothingSent;
    if (refused) request->outcome = "not_run";
    const json error = json::parse(*error_body, nullptr, false);
    if (error.is_object() && error.contains("error")) {
      request->outcome = error["error"].value("outcome", "");
    }
    request->completed =
        request->completed && request->text == whole_answer(request->try_id, tokens);
  };
  caller_http_->start(std::move(outgoing), std::move(handlers));
}

void Fleet::edit_tenant(int node, const std::string& tenant) {
  OutgoingRequest request;
  request.method = "POST";
  request.url = "http://" + node_address(node) + "/v1/config/changes";
  request.body = to_json(std::vector<ObjectEdit>{
                             make_set_edit(ObjectKind::kTenant, tenant, 0,
                                           {{"weight", static_cast<double>(++edit_count_)}})})
                     .dump();
  request.total_timeout = std::chrono::seconds(20);
  caller_http_->fetch(std::move(request), [this, tenant](const auto& reply) {
    if (!reply || reply->status != 200) return;
    accepted_edits_[tenant] = json::parse(reply->body).value("revision", Revision{0});
  });
}

void Fleet::mark_requests_disturbed(int node) {
  for (const auto& request : requests) {
    if (request->node == node && !request->ended) request->node_disturbed = true;
  }
}

void Fleet::kill_node(int index) {
  mark_requests_disturbed(index);
  nodes_.at(static_cast<std::size_t>(index))->process->kill();
}

void Fleet::freeze_node(int index) {
  mark_requests_disturbed(index);
  nodes_.at(static_cast<std::size_t>(index))->process->freeze();
}

void Fleet::thaw_node(int index) {
  auto& process = *nodes_.at(static_cast<std::size_t>(index))->process;
  if (process.frozen()) process.thaw();
}

void Fleet::leave_node(int index) {
  SimNode& node = *nodes_.at(static_cast<std::size_t>(index));
  node.process->run([&node] { node.node->leave(); });
}

void Fleet::isolate_from_platform(int node) {
  world.cut(node_address(node), kPlatformAddress);
}
void Fleet::cut_nodes(int a, int b) {
  world.cut(node_address(a), node_address(b));
}

void Fleet::cut_engine(int node, int engine) {
  world.cut(node_address(node), engine_address(engine));
}

void Fleet::crash_engine(int index) {
  set_engine_faults(index, {{"crash", true}});
}

void Fleet::set_engine_faults(int index, const json& faults) {
  OutgoingRequest request;
  request.method = "POST";
  request.url = "http://" + engine_address(index) + "/faults";
  request.body = faults.dump();
  caller_http_->fetch(std::move(request), [](const auto&) {});
}

void Fleet::set_platform_faults(const json& faults) {
  OutgoingRequest request;
  request.method = "POST";
  request.url = std::string("http://") + kPlatformAddress + "/faults";
  request.body = faults.dump();
  caller_http_->fetch(std::move(request), [](const auto&) {});
}

void Fleet::mark_engine_draining(int index) {
  OutgoingRequest request;
  request.method = "PUT";
  request.url =
      std::string("http://") + kPlatformAddress + "/machines?name=" + numbered("e", index);
  request.body =
      json{{"kind", "engine"}, {"address", engine_address(index)}, {"state", "leaving"}}.dump();
  engines_.at(static_cast<std::size_t>(index))->draining_since = world.now();
  caller_http_->fetch(std::move(request), [](const auto&) {});
}

void Fleet::heal_all() {
  world.heal_all();
  set_platform_faults({{"down", false}, {"delay_ms", 0}, {"lose_write_answers", 0}});
  for (int i = 0; i < settings.engines; ++i) {
    set_engine_faults(i, {{"refuse_requests", false}, {"drop_after_accept", false}});
  }
  for (int i = 0; i < settings.nodes; ++i) {
    thaw_node(i);
    if (!nodes_[static_cast<std::size_t>(i)]->process->alive()) start_node(i);
  }
}

std::string Fleet::check_orders(const SimEngine& engine) const {
  OrderStamp last;
  for (const OrderHistoryEntry& entry : engine.standin->emulator().order_history()) {
    if (entry.verdict != OrderVerdict::kAccepted) continue;
    if (entry.order.stamp <= last) return "an engine accepted an order not newer than its last";
    last = entry.order.stamp;
  }
  if (engine.standin->emulator().interrupted_by_change() > 0)
    return "a role change interrupted a request";
  if (!engine.draining_since) return {};
  for (const Execution& execution : engine.standin->emulator().executions()) {
    if (execution.started > *engine.draining_since + kDrainingGrace) {
      return "a draining engine got new work";
    }
  }
  return {};
}

std::string Fleet::check_request(const CallerRequest& request) {
  const std::string expected = whole_answer(request.try_id, 400);
  if (expected.compare(0, request.text.size(), request.text) != 0) return "a wrong answer";
  if (!request.ended) return {};
  const bool reported = request.completed || !request.outcome.empty();
  if (!reported && !request.node_disturbed)
    return "a request ended without an outcome: " + request.try_id;
  return {};
}

std::string Fleet::check_runs() {
  std::map<std::string, int> runs_of_try;
  std::map<std::string, int> runs_of_request;
  for (const auto& engine : engines_) {
    for (const Execution& execution : engine->standin->emulator().executions()) {
      const std::size_t slash = execution.user.find('/');
      // The prefill and decode executions of one attempt have the same attempt ID.
      const std::string request_key = execution.user.substr(0, slash);
      const std::string attempt = execution.attempt.value();
      runs_of_try[execution.user.substr(slash + 1)] += 1;
      std::string key = request_key;
      key += "\n";
      key += attempt;
      runs_of_request[key] += 1;
    }
  }
  std::map<std::string, std::set<std::string>> attempts;
  for (const auto& [key, count] : runs_of_request) {
    const std::size_t separator = key.find('\n');
    attempts[key.substr(0, separator)].insert(key.substr(separator + 1));
  }
  for (const auto& request : requests) {
    if (request->at_most_once && attempts[request->request_key].size() > 1) {
      std::string text = "an at-most-once request ran twice: " + request->request_key;
      for (const std::string& attempt : attempts[request->request_key])
        text.append(" ").append(attempt);
      return text;
    }
    if (request->ended && request->outcome == "not_run" && runs_of_try[request->try_id] > 0) {
      return "a request reported as not run was run: " + request->try_id;
    }
  }
  return {};
}

std::string Fleet::check_revisions() {
  for (int i = 0; i < settings.nodes; ++i) {
    SimNode& node = *nodes_[static_cast<std::size_t>(i)];
    if (!node.process->alive()) continue;
    const Revision revision = node.node->revision();
    if (revision < node.last_revision) return "a node went back to an older revision";
    node.last_revision = revision;
  }
  return {};
}

std::string Fleet::check() {
  for (const auto& engine : engines_) {
    if (std::string violation = check_orders(*engine); !violation.empty()) return violation;
  }
  for (const auto& request : requests) {
    if (std::string violation = check_request(*request); !violation.empty()) return violation;
  }
  if (std::string violation = check_runs(); !violation.empty()) return violation;
  return check_revisions();
}

std::string Fleet::check_settled() {
  if (std::string violation = check(); !violation.empty()) return violation;
  for (const auto& request : requests) {
    if (!request->ended) return "a request never ended: " + request->try_id;
  }
  Revision newest = 0;
  for (const auto& [tenant, revision] : accepted_edits_) newest = std::max(newest, revision);
  int lease_holders = 0;
  for (int i = 0; i < settings.nodes; ++i) {
    SimNode& node = *nodes_[static_cast<std::size_t>(i)];
    if (node.node->revision() < newest)
      return "an accepted change is not active on " + node.settings.name;
    const json document =
        json::parse(fetch(node_address(i), "GET", "/v1/config", nullptr).body, nullptr, false);
    if (!document.is_object()) return "a node does not answer operators: " + node.settings.name;
    for (const auto& [tenant, revision] : accepted_edits_) {
      const bool present =
          std::any_of(document["objects"].begin(), document["objects"].end(),
                      [&tenant = tenant](const json& object) {
                        return object["name"] == tenant && !object.contains("removed");
                      });
      if (!present) return "an accepted change was lost: " + tenant;
    }
    const json duties = status(i)["duties"];
    for (const json& duty : duties) lease_holders += duty.contains("fence") ? 1 : 0;
  }
  if (lease_holders != settings.models * settings.regions) {
    return "unexpected number of lease holders after settling: " + std::to_string(lease_holders);
  }
  return {};
}

}  // namespace shuntbank::simulation
