#include "bench/hollow_command.hpp"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <sstream>

#include "common/log.hpp"
#include "simulation/fleet.hpp"

namespace shuntbank {
namespace {

using simulation::Fleet;
using simulation::FleetSettings;
using simulation::NodeCost;
using std::chrono::seconds;

struct HollowSettings {
  std::uint64_t nodes = 370;
  std::uint64_t engines = 640;
  std::uint64_t tenants = 2800;
  std::uint64_t models = 5;
  std::uint64_t regions = 3;
  std::uint64_t zones = 12;
  Duration measure_for = seconds(60);
  std::uint64_t seed = 1;
};

double resident_megabytes() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  constexpr double kMegabyte = 1e6;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kMegabyte;
}

std::string fixed(double value, int digits) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << value;
  return text.str();
}

class HollowRun {
 public:
  /// Facts of all engines reach all nodes in this time after a start of everything at once.
  static constexpr Duration kWarmUp = std::chrono::minutes(2);

  explicit HollowRun(const HollowSettings& settings)
      : settings_(settings), fleet_(shape(settings)) {}

  void run(std::ostream& output) {
    const double memory_before = resident_megabytes();
    fleet_.configure();
    fleet_.run_for(kWarmUp);
    const double memory = resident_megabytes();
    output << settings_.nodes << " nodes, " << settings_.engines << " engines, "
           << settings_.tenants << " tenants\n"
           << "memory: "
           << fixed((memory - memory_before) / static_cast<double>(settings_.nodes), 2)
           << " MB a node beyond an empty one\n";
    print_row(output, {"STRETCH", "PROCESSOR %", "SENT B/s", "RECEIVED B/s", "MOST OF A NODE",
                       "MESSAGES/s", "SETTLED s"});
    measure(output, "at rest", [] { return 0.0; });
    measure(output, "a change of configuration", [this] { return spread_change(); });
    measure(output, "a node killed", [this] { return kill_some(1); });
    measure(output, "a zone killed", [this] { return kill_zone(); });
    measure(output, "the zone restarted", [this] { return restart_dead(); });
    if (settings_.regions > 1) {
      measure(output, "a region cut off for 60 s", [this] { return cut_region(); });
    }
  }

 private:
  static FleetSettings shape(const HollowSettings& settings) {
    FleetSettings shape;
    shape.nodes = static_cast<int>(settings.nodes);
    shape.engines = static_cast<int>(settings.engines);
    shape.tenants = static_cast<int>(settings.tenants);
    shape.models = static_cast<int>(settings.models);
    shape.regions = static_cast<int>(settings.regions);
    shape.zones = static_cast<int>(settings.zones);
    shape.split_roles = false;
    shape.seed = settings.seed;
    return shape;
  }

  void measure(std::ostream& output, const std::string& name,
               const std::function<double()>& action) {
    const std::vector<NodeCost> before = fleet_.costs();
    const MonotonicTime began = fleet_.world.now();
    const double settled = action();
    const MonotonicTime least = began + settings_.measure_for;
    if (fleet_.world.now() < least) fleet_.world.run_until(least);
    const double elapsed = to_seconds(fleet_.world.now() - began);
    const std::vector<NodeCost> after = fleet_.costs();
    NodeCost sum;
    double most = 0;
    double nodes = 0;
    for (std::size_t i = 0; i < after.size(); ++i) {
      if (after[i].boot != before[i].boot || !after[i].alive) continue;
      const NodeCost cost = after[i] - before[i];
      sum = sum + cost;
      most = std::max(most, static_cast<double>(cost.sent + cost.received));
      nodes += 1;
    }
    const double per = elapsed * nodes;
    print_row(output, {name, fixed(100 * sum.processor_seconds / per, 3),
                       fixed(static_cast<double>(sum.sent) / per, 0),
                       fixed(static_cast<double>(sum.received) / per, 0), fixed(most / elapsed, 0),
                       fixed(static_cast<double>(sum.messages) / per, 1), fixed(settled, 2)});
  }

  /// Prints at once: a large fleet takes minutes for each stretch.
  static void print_row(std::ostream& output, const std::vector<std::string>& cells) {
    constexpr int kFirstWidth = 28;
    constexpr int kWidth = 16;
    output << std::left << std::setw(kFirstWidth) << cells.front();
    for (std::size_t i = 1; i < cells.size(); ++i) output << std::setw(kWidth) << cells[i];
    output << std::endl;
  }

  /// How exactly a time to settle is measured.
  static constexpr Duration kLookEvery = std::chrono::milliseconds(250);

  /// Runs until `condition` holds. @return the seconds that took.
  template <typename Condition>
  double until(Condition condition) {
    const MonotonicTime began = fleet_.world.now();
    const MonotonicTime deadline = began + std::chrono::minutes(5);
    while (!condition() && fleet_.world.now() < deadline) {
      fleet_.run_for(kLookEvery);
    }
    return to_seconds(fleet_.world.now() - began);
  }

  double spread_change() {
    const Revision before = fleet_.newest_revision();
    fleet_.edit(0, "changed");
    return until([this, before] { return fleet_.oldest_revision() > before; });
  }

  double kill_some(int count) {
    for (int i = 0; i < count; ++i) fleet_.kill_node(static_cast<int>(settings_.nodes) - 1 - i);
    return until([this] { return fleet_.members_agree(); });
  }

  double kill_zone() {
    const int zones = static_cast<int>(settings_.zones);
    for (int i = 1; i < static_cast<int>(settings_.nodes); i += zones) {
      if (fleet_.node_alive(i)) fleet_.kill_node(i);
    }
    return until([this] { return fleet_.members_agree(); });
  }

  double restart_dead() {
    for (int i = 0; i < static_cast<int>(settings_.nodes); ++i) {
      if (!fleet_.node_alive(i)) fleet_.start_node(i);
    }
    return until([this] {
      return fleet_.members_agree() && fleet_.oldest_revision() == fleet_.newest_revision();
    });
  }

  /// Cuts the nodes of region 2 from the others, which keep the platform; then heals.
  double cut_region() {
    const int zones = static_cast<int>(settings_.zones);
    const int regions = static_cast<int>(settings_.regions);
    const auto region_of = [zones, regions](int node) { return node % zones % regions; };
    for (int a = 0; a < static_cast<int>(settings_.nodes); ++a) {
      for (int b = a + 1; b < static_cast<int>(settings_.nodes); ++b) {
        if ((region_of(a) == 2) != (region_of(b) == 2)) fleet_.cut_nodes(a, b);
      }
    }
    fleet_.run_for(seconds(60));
    fleet_.world.heal_all();
    return until([this] { return fleet_.members_agree(); });
  }

  const HollowSettings& settings_;
  Fleet fleet_;
};

}  // namespace

ExitCode run_hollow_command(const std::vector<std::string>& arguments, std::ostream& output,
                            std::ostream& errors) {
  HollowSettings settings;
  OptionSet options("shuntbank-bench hollow [options]");
  constexpr std::uint64_t kMost = 100'000;
  options.add_unsigned("nodes", settings.nodes, 3, kMost, "Nodes.");
  options.add_unsigned("engines", settings.engines, 1, kMost, "Engines.");
  options.add_unsigned("tenants", settings.tenants, 1, kMost, "Tenants.");
  options.add_unsigned("models", settings.models, 1, 100, "Model services.");
  options.add_unsigned("regions", settings.regions, 1, 100, "Regions.");
  options.add_unsigned("zones", settings.zones, 1, 100, "Zones.");
  options.add_duration("measure-for", settings.measure_for, seconds(10), std::chrono::hours(1),
                       "Simulated time of each stretch, at least.");
  options.add_unsigned("seed", settings.seed, 0, UINT64_MAX, "Seed.");
  static_cast<void>(set_log_levels("off"));
  const OptionsOutcome outcome = options.read(arguments, output, errors);
  if (!outcome.run) return outcome.code;
  HollowRun(settings).run(output);
  return ExitCode::kSuccess;
}

}  // namespace shuntbank
