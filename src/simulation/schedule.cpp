#include "simulation/schedule.hpp"

#include <random>

#include "simulation/fleet.hpp"

namespace shuntbank::simulation {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSteps = 60;
constexpr int kOnceKeys = 6;
constexpr Duration kRest = std::chrono::minutes(5);

class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : random_(seed * 7919 + 1), fleet_(shape(seed)) {
    result_.seed = seed;
  }

  ScheduleResult run() {
    fleet_.configure();
    for (int i = 0; i < kSteps && result_.broken.empty(); ++i) {
      step();
      fleet_.run_for(milliseconds(100 + pick(900)));
      result_.broken = fleet_.check();
    }
    if (result_.broken.empty()) rest();
    for (const auto& request : fleet_.requests) {
      ++result_.requests;
      result_.whole += request->whole ? 1 : 0;
    }
    return result_;
  }

 private:
  static FleetSettings shape(std::uint64_t seed) {
    FleetSettings settings;
    settings.seed = seed;
    settings.nodes = 3 + static_cast<int>(seed % 3);
    settings.engines = 3 + static_cast<int>(seed % 2);
    return settings;
  }

  int pick(int below) { return static_cast<int>(random_() % static_cast<std::uint64_t>(below)); }
  int any_node() { return pick(fleet_.settings.nodes); }
  int any_engine() { return pick(fleet_.settings.engines); }

  void note(const std::string& what) {
    const Duration since = fleet_.world.now().time_since_epoch() - std::chrono::hours(1);
    result_.events.push_back(std::to_string(since.count() / 1000) + " ms " + what);
  }

  void step() {
    for (int i = pick(4); i > 0; --i) ask();
    switch (pick(16)) {
      case 0:
        return disturb_node("kill", &Fleet::kill_node);
      case 1:
        return disturb_node("freeze", &Fleet::freeze_node);
      case 2:
        return each_node_back();
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
        return edit();
      case 10:
        return thaw();
      default:
        return;
    }
  }

  void ask() {
    const int node = any_node();
    const bool once = pick(3) == 0;
    const std::string logical = once ? "once-" + std::to_string(pick(kOnceKeys)) : "";
    fleet_.ask(node, static_cast<std::uint32_t>(1 + pick(80)), logical);
    note(fleet_.requests.back()->mark + " to node " + std::to_string(node) + " " + logical);
  }

  void disturb_node(const char* what, void (Fleet::*fault)(int)) {
    const int node = any_node();
    if (!fleet_.node_running(node)) return;
    note(std::string(what) + " node " + std::to_string(node));
    (fleet_.*fault)(node);
  }

  void each_node_back() {
    for (int i = 0; i < fleet_.settings.nodes; ++i) {
      if (fleet_.node_alive(i)) continue;
      note("start node " + std::to_string(i));
      fleet_.start_node(i);
      return;
    }
  }

  void thaw() {
    for (int i = 0; i < fleet_.settings.nodes; ++i) {
      if (!fleet_.node_alive(i) || fleet_.node_running(i)) continue;
      note("thaw node " + std::to_string(i));
      fleet_.thaw_node(i);
    }
  }

  void leave() {
    const int node = any_node();
    if (!fleet_.node_running(node)) return;
    note("node " + std::to_string(node) + " leaves");
    fleet_.leave_node(node);
  }

  void cut() {
    const int node = any_node();
    switch (pick(3)) {
      case 0:
        note("cut node " + std::to_string(node) + " from the platform");
        return fleet_.isolate_from_platform(node);
      case 1: {
        const int other = any_node();
        note("cut nodes " + std::to_string(node) + " and " + std::to_string(other));
        return fleet_.cut_nodes(node, other);
      }
      default: {
        const int engine = any_engine();
        note("cut node " + std::to_string(node) + " from engine " + std::to_string(engine));
        return fleet_.cut_engine(node, engine);
      }
    }
  }

  void heal() {
    note("heal cuts");
    fleet_.world.heal_all();
  }

  void platform_fault() {
    switch (pick(5)) {
      case 0:
        return platform("down", {{"down", true}});
      case 1:
        return platform("slow", {{"delay_ms", 1500}});
      case 2:
        return platform("loses answers", {{"lose_write_answers", 2}});
      case 3:
        return platform("cuts watches", {{"cut_watches", true}});
      default:
        return platform("well", {{"down", false}, {"delay_ms", 0}});
    }
  }

  void platform(const char* what, const json& faults) {
    note(std::string("platform ") + what);
    fleet_.set_platform_faults(faults);
  }

  void engine_fault() {
    const int engine = any_engine();
    const std::string name = "engine " + std::to_string(engine);
    switch (pick(5)) {
      case 0:
        note(name + " crashes");
        return fleet_.crash_engine(engine);
      case 1:
        note(name + " will crash in a change");
        return fleet_.set_engine_faults(engine, {{"crash_in_next_change", true}});
      case 2:
        note(name + " refuses");
        return fleet_.set_engine_faults(engine, {{"refuse_requests", true}});
      case 3:
        note(name + " drops answers");
        return fleet_.set_engine_faults(engine, {{"drop_after_accept", true}});
      default:
        note(name + " is well");
        return fleet_.set_engine_faults(engine,
                                        {{"refuse_requests", false}, {"drop_after_accept", false}});
    }
  }

  void edit() {
    const std::string tenant = "edit-" + std::to_string(pick(30));
    for (int i = 1 + pick(3); i > 0; --i) fleet_.edit(any_node(), tenant);
  }

  void rest() {
    note("heal all and rest");
    fleet_.heal_all();
    for (int i = 0; i < 15 && result_.broken.empty(); ++i) {
      fleet_.run_for(kRest / 15);
      // Nodes that were leaving have left by now; they come back as a restart would bring them.
      if (i == 2) fleet_.heal_all();
      result_.broken = fleet_.check();
    }
    if (result_.broken.empty()) result_.broken = fleet_.check_settled();
    if (result_.broken.empty()) serve_again();
  }

  /// A healed site answers everything.
  void serve_again() {
    const std::size_t before = fleet_.requests.size();
    for (int i = 0; i < 6; ++i) fleet_.ask(i % fleet_.settings.nodes, 20, "");
    fleet_.ask(0, 20, "fresh");
    fleet_.run_for(seconds(30));
    result_.broken = fleet_.check();
    for (std::size_t i = before; i < fleet_.requests.size() && result_.broken.empty(); ++i) {
      const CallerRequest& request = *fleet_.requests[i];
      if (!request.whole) {
        result_.broken = "a healed site did not answer: status " + std::to_string(request.status) +
                         " " + request.outcome + " for " + request.mark;
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
