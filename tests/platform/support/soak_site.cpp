#include "platform/support/soak_site.hpp"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "net/address.hpp"

namespace shuntbank::testing {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// The relays' configured retry budget, with slack for budget state lost by killed relays.
constexpr double kRetryRatio = 0.2;
constexpr double kRetrySlack = 20;

/// Extra routes that make a configuration take half a second on a storm link, longer than the gap
/// between two changes of a storm.
constexpr int kStormRoutes = 1400;
constexpr std::size_t kStormLinkBytesPerSecond = 1'000'000;

/// With `storms`: number of configuration versions that contain an added route, from the version
/// that adds it. They take longer than the recovery timeout, so that probes can find the route.
constexpr std::uint64_t kStormRouteVersions = 120;

/// Kind of the objects in the store that list the relays.
constexpr const char* kNodeKind = "shuntbank-nodes";

/// Time within which a site must serve again after its faults are cleared.
constexpr std::chrono::seconds kRecoveryTimeout{30};

/// The relays' stop grace, and 2 s.
constexpr std::chrono::seconds kStopTimeout{10};

/// @return the first three octets of the relays' addresses, derived from the process id. Ports are
/// chosen before they are bound, so concurrent soaks on the same addresses could pick the same one.
std::string process_network_prefix() {
  constexpr int kNetworks = 254;
  const int process = getpid();
  return "127." + std::to_string(1 + process % kNetworks) + "." +
         std::to_string(process / kNetworks % kNetworks) + ".";
}

json route(const char* prefix, const char* kind, const char* service, bool resumable) {
  return {{"name", prefix},   {"host", "soak.example"}, {"path_prefix", prefix},
          {"kind", kind},     {"timeout_ms", 4000},     {"slo_ms", 500},
          {"priority", 1},    {"service", service},     {"max_attempts", 2},
          {"affinity", true}, {"resumable", resumable}, {"gap_target_ms", 300}};
}

json services() {
  return json::array({{{"name", "model"},
                       {"max_conns", 200},
                       {"engine",
                        {{"slots", 16},
                         {"kv_tokens", 200000},
                         {"kv_token_bytes", 18432},
                         {"link_mbps", 370000.0},
                         {"kv_ttl_s", 5.0},
                         {"switch_s", 0.8}}}},
                      {{"name", "plain"}, {"max_conns", 100}}});
}

const CallerTenant kTenant{"limited", "key-limited", 200};

EngineShape model_shape(const char* stage) {
  return {"model", true, stage, 48, 10ms};
}

}  // namespace
SoakSite::SoakSite(const SoakOptions& own_options)
    : options(own_options),
      random(own_options.seed),
      ledger({kRetryRatio, kRetrySlack, 10s}),
      store(this->loop),
      watchdog(this->loop),
      crash_random(own_options.seed),
      storm_random(own_options.seed),
      notice_random(own_options.seed),
      limit_random(own_options.seed),
      quota_random(own_options.seed),
      path_random(own_options.seed),
      release_random(own_options.seed),
      second_answer_random(own_options.seed),
      outage_random(own_options.seed),
      status_random(own_options.seed),
      flood_random(own_options.seed),
      entry_random(own_options.seed),
      cut_random(own_options.seed),
      replace_random(own_options.seed),
      kill_random(own_options.seed) {
  this->build_engines();
  this->put_configuration();
  if (this->options.path_cuts) this->build_engine_paths();
  this->build_relays();
}

SoakSite::~SoakSite() = default;

/// Gives each relay addresses of its own for the engines.
void SoakSite::build_engine_paths() {
  for (std::size_t i = 0; i < this->options.relay_count; ++i) {
    auto& paths = this->engine_paths.emplace_back();
    for (const auto& engine : this->engines) {
      const auto target = parse_endpoint(engine->link().address());
      paths.push_back(std::make_unique<FaultProxy>(
          this->loop, *target, FaultProxyAddresses{process_network_prefix() + "200", "127.0.0.1"}));
    }
  }
  this->store.set_address_view([this](const std::string& caller, const std::string& address) {
    for (std::size_t i = 0; i < this->relays.size(); ++i) {
      if (this->relays[i]->config().ip != caller) continue;
      for (std::size_t j = 0; j < this->engines.size(); ++j) {
        if (this->engines[j]->link().address() == address)
          return this->engine_paths[i][j]->address();
      }
    }
    return address;
  });
}

void SoakSite::build_engines() {
  const std::vector<EngineShape> shapes = {
      model_shape("decode"),          model_shape("decode"),         model_shape("decode"),
      model_shape("decode"),          model_shape("prefill"),        {"plain", false, "", 12, 15ms},
      {"plain", false, "", 12, 15ms}, {"plain", false, "", 12, 15ms}};
  for (EngineShape engine : shapes) {
    if (this->options.software_versions && engine.model) engine.versions = {"v1", "v2"};
    this->engines.push_back(std::make_unique<EngineStandin>(this->loop, this->store, this->ledger,
                                                            engine, this->random()));
    EngineStandin& made = *this->engines.back();
    made.set_crash_handlers([this, &made] { this->crash_and_restart(made); },
                            [this] { return this->undisturbed(); });
    made.start();
  }
}

void SoakSite::build_relays() {
  this->put_dead_nodes();
  std::vector<NodeEndpoints> entry;
  for (std::size_t i = 0; i < this->options.relay_count; ++i) {
    this->add_relay(i);
    entry.push_back({this->relays[i]->caller_address(), this->relays[i]->ready_address()});
  }
  this->callers = std::make_unique<Callers>(this->loop, this->ledger, entry, this->random());
}

/// Adds a relay with a name and an address of its own, in the place of another one if there is one.
void SoakSite::add_relay(std::size_t index) {
  const std::string number = std::to_string(++this->relay_number);
  const std::string relay_ip = process_network_prefix() + number;
  auto link = std::make_unique<FaultProxy>(this->loop, this->store.endpoint(),
                                           FaultProxyAddresses{"127.0.0.1", relay_ip});
  if (this->options.storms) link->set_rate_down(kStormLinkBytesPerSecond);
  RelayConfig config;
  config.name = "relay-" + number;
  config.ip = relay_ip;
  config.zone = "z" + std::to_string(index % 3);
  config.store_address = link->address();
  // The kernel may return the same free port twice.
  std::set<std::uint16_t> drawn;
  for (std::uint16_t* port :
       {&config.caller_port, &config.ready_port, &config.control_port, &config.peer_port}) {
    do {
      *port = free_port(config.ip);
    } while (!drawn.insert(*port).second);
  }
  auto relay = std::make_unique<RelayChild>(this->options.program, config, this->options.folder);
  if (index == this->relays.size()) {
    this->store_links.push_back(std::move(link));
    this->relays.push_back(std::move(relay));
    return;
  }
  this->replaced_links.push_back(std::exchange(this->store_links[index], std::move(link)));
  this->replaced_relays.push_back(std::exchange(this->relays[index], std::move(relay)));
}

void SoakSite::put_dead_nodes() {
  for (std::size_t i = 0; i < this->options.dead_nodes; ++i) {
    const std::string name = "gone-" + std::to_string(i);
    this->store.put(kNodeKind, name,
                    {{"address", process_network_prefix() + "250:" + std::to_string(10000 + i)},
                     {"zone", "z" + std::to_string(i % 3)},
                     {"capacity", 0.25}});
  }
}

void SoakSite::put_configuration() {
  ++this->configuration_version;
  json routes = json::array(
      {route("/stream/", "stream", "model", true), route("/ask/", "stream", "model", false),
       route("/once/", "unsafe", "plain", false), route("/safe/", "safe", "plain", false)});
  for (int i = 0; this->options.storms && i < kStormRoutes; ++i) {
    const std::string filler = "/filler" + std::to_string(i) + "/";
    routes.push_back(route(filler.c_str(), "safe", "plain", false));
  }
  const std::uint64_t versions = this->options.storms ? kStormRouteVersions : 1;
  for (std::uint64_t at = this->configuration_version;
       at > 0 && at + versions > this->configuration_version; --at) {
    const std::string added = "/added" + std::to_string(at) + "/";
    routes.push_back(route(added.c_str(), "safe", "plain", false));
  }
  json configuration = {
      {"version", this->configuration_version}, {"routes", routes}, {"services", services()}};
  if (this->options.tenant_quotas) {
    for (json& each : configuration["routes"]) each["public"] = true;
    configuration["tenants"] = json::array({{{"name", kTenant.name},
                                             {"keys", {kTenant.key}},
                                             {"unit", "tokens"},
                                             {"uncached_tokens", kTenant.plain_cost},
                                             {"rate_per_s", this->quota_per_second},
                                             {"burst", this->quota_per_second}}});
    this->ledger.set_quota(kTenant.name, this->quota_per_second, this->quota_per_second);
  }
  this->store.put("config", "main", configuration);
}

void SoakSite::wait(std::chrono::milliseconds duration) {
  this->wait_until([] { return false; }, duration);
}

bool SoakSite::wait_until(const std::function<bool()>& condition,
                          std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    this->loop.run_for(10ms);
    this->loop.restart();
  }
  return true;
}

bool SoakSite::all_ready() const {
  const auto& nodes = this->callers->nodes();
  return std::all_of(nodes.begin(), nodes.end(),
                     [](const NodeEndpoints& node) { return node.failed_checks == 0; });
}

/// Restarts exited processes after a short delay, as the platform does.
void SoakSite::keep_relays_running() {
  if (this->relays_stopping) return;
  this->check_ended_relays();
  for (const auto& relay : this->relays) {
    if (relay->running()) continue;
    this->check_end(*relay);
    this->ledger.on_node_disturbed(relay->caller_address());
    const bool previous = relay->next_program() == this->options.previous_program;
    this->ledger.set_unaware_of_limits(relay->caller_address(), previous);
    relay->start(this->bootstrap);
  }
  this->bootstrap = false;
  this->watchdog.expires_after(300ms);
  this->watchdog.async_wait([this](const std::error_code& error) {
    if (!error) this->keep_relays_running();
  });
}

void SoakSite::check_end(RelayChild& relay) {
  const auto end = relay.take_unexpected_end();
  if (end) this->ledger.add_violation("FAULT", relay.config().name + " ended by itself: " + *end);
}

/// Relays that were replaced end as well.
void SoakSite::check_ended_relays() {
  for (const auto& relay : this->replaced_relays) {
    if (!relay->running()) this->check_end(*relay);
  }
}

/// Each relay must end as asked, after the requests that it has.
void SoakSite::stop_relays() {
  this->relays_stopping = true;
  for (const auto& relay : this->relays) {
    if (relay->running()) relay->send_signal(SIGTERM);
  }
  const auto all_ended = [this] {
    return std::none_of(this->relays.begin(), this->relays.end(),
                        [](const auto& relay) { return relay->running(); });
  };
  this->wait_until(all_ended, kStopTimeout);
  for (const auto& relay : this->relays) {
    if (relay->running()) {
      this->ledger.add_violation("FAULT", relay->config().name + " does not stop");
    }
    this->check_end(*relay);
  }
  this->check_ended_relays();
}

void SoakSite::schedule(std::chrono::milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(this->loop, delay);
  timer->async_wait([timer, action = std::move(action)](const std::error_code& error) {
    if (!error) action();
  });
  this->timers.push_back(timer);
}

void SoakSite::run() {
  this->keep_relays_running();
  if (this->options.tenant_quotas) this->callers->set_tenant(kTenant);
  this->callers->start(this->options.caller_count);
  if (!this->wait_until([this] { return this->all_ready(); }, kRecoveryTimeout)) {
    this->ledger.add_violation("RECOVER", "not all relays became ready at the start");
  }
  if (this->options.crashing_requests) this->send_crashing_requests();
  if (this->options.storms) this->start_storm();
  if (this->options.engine_notices) this->inject_engine_notices();
  if (this->options.engine_limits) this->inject_limit_changes();
  if (this->options.tenant_quotas) {
    this->schedule(8s, [this] { this->inject_quota_changes(); });
  }
  if (this->options.software_versions) {
    this->callers->take_up_streams([this](const std::string& version) {
      return std::count_if(this->engines.begin(), this->engines.end(), [&](const auto& engine) {
               return engine->serves_version(version);
             }) >= 2;
    });
    this->schedule(2s, [this] { this->replace_engine(); });
  }
  if (this->options.path_cuts) this->schedule(4s, [this] { this->cut_paths(); });
  if (this->options.second_answers) this->inject_second_answers();
  if (this->options.unmarked_statuses) this->inject_unmarked_statuses();
  if (this->options.endless_answers) this->inject_endless_answers();
  if (this->options.odd_entries) this->inject_odd_entries();
  if (this->options.cut_answers) this->inject_cut_answers();
  if (this->options.store_outages) this->schedule(4s, [this] { this->inject_store_outages(); });
  if (this->options.replaced_nodes) this->schedule(3s, [this] { this->replace_relay(); });
  if (this->options.killed_fleet) this->schedule(5s, [this] { this->kill_fleet(); });
  if (!this->options.previous_program.empty()) this->switch_next_program();
  this->wait(2s);
  const auto end = std::chrono::steady_clock::now() + this->options.fault_duration;
  while (std::chrono::steady_clock::now() < end) {
    this->inject_fault();
    this->wait(std::chrono::milliseconds(300 + this->draw(1500)));
  }
  if (this->options.endless_answers) this->check_endless_answers();
  this->clear_faults();
  if (this->options.crashing_requests) this->check_crashing_request();
  this->check_recovery();
  this->callers->stop();
  this->wait_until([this] { return this->callers->in_flight() == 0; }, 6s);
  this->ledger.check_stream_versions();
  this->stop_relays();
}

void SoakSite::clear_faults() {
  this->faults_cleared = true;
  this->timers.clear();
  // Pending timers still run; what they would undo is undone here too.
  this->set_store_fault(StoreFault::kNone);
  for (const auto& link : this->store_links) link->set({});
  for (const auto& relay : this->relays) {
    this->ledger.on_node_disturbed(relay->caller_address());
    relay->send_signal(SIGCONT);
  }
  for (const auto& engine : this->engines) {
    engine->on_link_disturbed();
    engine->set_fault(EngineFault::kNone, 0);
    engine->set_slowness(1);
    engine->set_limit({});
    engine->link().set({});
    engine->link().add_answers(0, "");
    engine->link().flood_answers(0, {});
    engine->link().cut_answers(0, {});
  }
  for (const auto& paths : this->engine_paths) {
    for (const auto& path : paths) {
      path->block(Blockade::kNone);
      path->set({});
    }
  }
  this->callers->set_cancel_share(0);
  // Draining engines stop first; all are restarted after that.
  this->wait(6s);
  for (const auto& engine : this->engines) {
    if (!engine->running()) engine->start();
  }
}

/// Waits for conditions instead of fixed times, so that the result does not depend on speed.
void SoakSite::check_recovery() {
  if (!this->wait_until([this] { return this->all_ready(); }, kRecoveryTimeout)) {
    this->ledger.add_violation("RECOVER", "not all relays are ready after the faults were cleared");
  }
  const auto end = std::chrono::steady_clock::now() + kRecoveryTimeout;
  while (!this->serves_normally()) {
    if (std::chrono::steady_clock::now() < end) continue;
    this->ledger.add_violation("RECOVER",
                               "no interval was served normally after the faults were cleared");
    break;
  }
  this->check_configuration();
  this->check_listed_nodes();
}

/// The list must hold the relays that live, and no others.
void SoakSite::check_listed_nodes() {
  std::set<std::string> live;
  for (const auto& relay : this->relays) live.insert(relay->config().name);
  const auto is_true = [&] { return this->store.names(kNodeKind) == live; };
  if (this->wait_until(is_true, kRecoveryTimeout)) return;
  this->ledger.add_violation("NODES", std::to_string(this->store.names(kNodeKind).size()) +
                                          " nodes are listed for " + std::to_string(live.size()) +
                                          " relays");
}

/// Waits 2 s. @return whether nearly all requests that ended in that time completed.
bool SoakSite::serves_normally() {
  const CallerCounts before = this->counts();
  this->wait(2s);
  const CallerCounts& after = this->counts();
  const auto completed = static_cast<double>(after.completed - before.completed);
  const auto unsuccessful = static_cast<double>(after.refused - before.refused) +
                            static_cast<double>(after.failed - before.failed);
  return completed >= 50 && unsuccessful <= completed * 0.02;
}

/// Every relay must eventually serve a newly added route.
void SoakSite::check_configuration() {
  this->put_configuration();
  const std::string target = "/added" + std::to_string(this->configuration_version) + "/";
  auto serving = std::make_shared<std::map<std::string, bool>>();
  const auto all_serve = [&] { return serving->size() == this->options.relay_count; };
  const auto end = std::chrono::steady_clock::now() + kRecoveryTimeout;
  while (!all_serve() && std::chrono::steady_clock::now() < end) {
    for (const NodeEndpoints& node : this->callers->nodes()) {
      this->callers->probe(node, target, [serving, name = node.caller_address](int status) {
        if (status == 200) (*serving)[name] = true;
      });
    }
    this->wait_until(all_serve, 500ms);
  }
  if (!all_serve()) this->ledger.add_violation("CONFIG", target + " is not served by every relay");
}

}  // namespace shuntbank::testing
