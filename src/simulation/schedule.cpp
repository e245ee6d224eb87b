#include "simulation/schedule.hpp"

#include <random>

#include "simulation/fleet.hpp"

namespace shuntbank::simulation {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSteps = 60;
constexpr int kRequestKeys = 6;
constexpr Duration kSettleTime = std::chrono::minutes(5);

class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : random_(seed * 7919 + 1), fleet_(make_settings(seed)) {
    result_.seed = seed;
  }

  ScheduleResult run() {
    fleet_.configure();
    for (int i = 0; i < kSteps && result_.violation.empty(); ++i) {
      step();
      fleet_.run_for(milliseconds(100 + random_below(900)));
      result_.violation = fleet_.check();
    }
    if (result_.violation.empty()) heal_and_settle();
    for (const auto& request : fleet_.requests) {
      ++result_.requests;
      result_.completed += request->completed ? 1 : 0;
    }
    return result_;
  }

 private:
  static FleetSettings make_settings(std::uint64_t seed) {
    FleetSettings settings;
    settings.seed = seed;
    settings.nodes = 3 + static_cast<int>(seed % 3);
    settings.engines = 3 + static_cast<int>(seed % 2);
    return settings;
  }

  int random_below(int bound) {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(bound));
  }
  int random_node() { return random_below(fleet_.settings.nodes); }
  int random_engine() { return random_below(fleet_.settings.engines); }

  void record_event(const std::string& what) {
    const Duration since = fleet_.world.now().time_since_epoch() - std::chrono::hours(1);
    result_.events.push_back(std::to_string(since.count() / 1000) + " ms " + what);
  }

  void step() {
    for (int i = random_below(4); i > 0; --i) send_request();
    switch (random_below(16)) {
      case 0:
        return inject_node_fault("kill", &Fleet::kill_node);
      case 1:
        return inject_node_fault("freeze", &Fleet::freeze_node);
      case 2:
        return restart_one_node();
      case 3:
        return leave();
      case 4:
        return cut();
      case 5:
        return heal();
      case 6:
        return platform_fault();
      case 7:
        return engine_fault();
      case 8:
      case 9:
        return edit_tenant();
      case 10:
        return thaw();
      default:
        return;
    }
  }

  void send_request() {
    const int node = random_node();
    const bool at_most_once = random_below(3) == 0;
    const std::string request_key =
        at_most_once ? "once-" + std::to_string(random_below(kRequestKeys)) : "";
    fleet_.send_request(node, static_cast<std::uint32_t>(1 + random_below(80)), request_key);
    record_event(fleet_.requests.back()->try_id + " to node " + std::to_string(node) + " " +
                 request_key);
  }

  void inject_node_fault(const char* what, void (Fleet::*fault)(int)) {
    const int node = random_node();
    if (!fleet_.node_running(node)) return;
    record_event(std::string(what) + " node " + std::to_string(node));
    (fleet_.*fault)(node);
  }

  void restart_one_node() {
    for (int i = 0; i < fleet_.settings.nodes; ++i) {
      if (fleet_.node_alive(i)) continue;
      record_event("start node " + std::to_string(i));
      fleet_.start_node(i);
      return;
    }
  }

  void thaw() {
    for (int i = 0; i < fleet_.settings.nodes; ++i) {
      if (!fleet_.node_alive(i) || fleet_.node_running(i)) continue;
      record_event("thaw node " + std::to_string(i));
      fleet_.thaw_node(i);
    }
  }

  void leave() {
    const int node = random_node();
    if (!fleet_.node_running(node)) return;
    record_event("node " + std::to_string(node) + " leaves");
    fleet_.leave_node(node);
  }

  void cut() {
    const int node = random_node();
    switch (random_below(3)) {
      case 0:
        record_event("cut node " + std::to_string(node) + " from the platform");
        return fleet_.isolate_from_platform(node);
      case 1: {
        const int other = random_node();
        record_event("cut nodes " + std::to_string(node) + " and " + std::to_string(other));
        return fleet_.cut_nodes(node, other);
      }
      default: {
        const int engine = random_engine();
        record_event("cut node " + std::to_string(node) + " from engine " + std::to_string(engine));
        return fleet_.cut_engine(node, engine);
      }
    }
  }

  void heal() {
    record_event("heal cuts");
    fleet_.world.heal_all();
  }

  void platform_fault() {
    switch (random_below(5)) {
      case 0:
        return apply_platform_faults("down", {{"down", true}});
      case 1:
        return apply_platform_faults("slow", {{"delay_ms", 1500}});
      case 2:
        return apply_platform_faults("loses answers", {{"lose_write_answers", 2}});
      case 3:
        return apply_platform_faults("cuts watches", {{"cut_watches", true}});
      default:
        return apply_platform_faults("recovers", {{"down", false}, {"delay_ms", 0}});
    }
  }

  void apply_platform_faults(const char* what, const json& faults) {
    record_event(std::string("platform ") + what);
    fleet_.set_platform_faults(faults);
  }

  void engine_fault() {
    const int engine = random_engine();
    const std::string name = "engine " + std::to_string(engine);
    switch (random_below(5)) {
      case 0:
        record_event(name + " crashes");
        return fleet_.crash_engine(engine);
      case 1:
        record_event(name + " crashes in its next change");
        return fleet_.set_engine_faults(engine, {{"crash_in_next_change", true}});
      case 2:
        record_event(name + " refuses");
        return fleet_.set_engine_faults(engine, {{"refuse_requests", true}});
      case 3:
        record_event(name + " drops answers");
        return fleet_.set_engine_faults(engine, {{"drop_after_accept", true}});
      default:
        record_event(name + " recovers");
        return fleet_.set_engine_faults(engine,
                                        {{"refuse_requests", false}, {"drop_after_accept", false}});
    }
  }

  void edit_tenant() {
    const std::string tenant = "edit-" + std::to_string(random_below(30));
    for (int i = 1 + random_below(3); i > 0; --i) fleet_.edit_tenant(random_node(), tenant);
  }

  void heal_and_settle() {
    record_event("heal all and settle");
    fleet_.heal_all();
    for (int i = 0; i < 15 && result_.violation.empty(); ++i) {
      fleet_.run_for(kSettleTime / 15);
      // Restarts the nodes that have finished leaving since the first `heal_all`.
      if (i == 2) fleet_.heal_all();
      result_.violation = fleet_.check();
    }
    if (result_.violation.empty()) result_.violation = fleet_.check_settled();
    if (result_.violation.empty()) check_serving();
  }

  /// Checks that a healed site answers all requests.
  void check_serving() {
    const std::size_t before = fleet_.requests.size();
    for (int i = 0; i < 6; ++i) fleet_.send_request(i % fleet_.settings.nodes, 20, "");
    fleet_.send_request(0, 20, "fresh");
    fleet_.run_for(seconds(30));
    result_.violation = fleet_.check();
    for (std::size_t i = before; i < fleet_.requests.size() && result_.violation.empty(); ++i) {
      const CallerRequest& request = *fleet_.requests[i];
      if (!request.completed) {
        result_.violation = "a healed site did not answer: status " +
                            std::to_string(request.status) + " " + request.outcome + " for " +
                            request.try_id;
      }
    }
  }

  std::mt19937_64 random_;
  Fleet fleet_;
  ScheduleResult result_;
};

}  // namespace

ScheduleResult run_schedule(std::uint64_t seed) {
  return Schedule(seed).run();
}

}  // namespace shuntbank::simulation
