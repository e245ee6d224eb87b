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
  Duration min_phase_duration = seconds(60);
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

std::string format_fixed(double value, int digits) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << value;
  return text.str();
}

class HollowRun {
 public:
  /// Time within which all nodes know all engines after a simultaneous start.
  static constexpr Duration kWarmUp = std::chrono::minutes(2);

  explicit HollowRun(const HollowSettings& settings)
      : settings_(settings), fleet_(fleet_settings(settings)) {}

  void run(std::ostream& output) {
    const double memory_before = resident_megabytes();
    fleet_.configure();
    fleet_.run_for(kWarmUp);
    const double memory = resident_megabytes();
    output << settings_.nodes << " nodes, " << settings_.engines << " engines, "
           << settings_.tenants << " tenants\n"
           << "memory: "
           << format_fixed((memory - memory_before) / static_cast<double>(settings_.nodes), 2)
           << " MB per node above an empty node\n";
    print_row(output, {"PHASE", "CPU %", "SENT B/s", "RECEIVED B/s", "MAX NODE B/s", "MESSAGES/s",
                       "SETTLED s"});
    measure(output, "at rest", [] { return 0.0; });
    measure(output, "a change of configuration", [this] { return change_configuration(); });
    measure(output, "a node killed", [this] { return kill_nodes(1); });
    measure(output, "a zone killed", [this] { return kill_zone(); });
    measure(output, "the zone restarted", [this] { return restart_dead_nodes(); });
    if (settings_.regions > 1) {
      measure(output, "a region cut off for 60 s", [this] { return partition_region(); });
    }
  }

 private:
  static FleetSettings fleet_settings(const HollowSettings& settings) {
    FleetSettings fleet_settings;
    fleet_settings.nodes = static_cast<int>(settings.nodes);
    fleet_settings.engines = static_cast<int>(settings.engines);
    fleet_settings.tenants = static_cast<int>(settings.tenants);
    fleet_settings.models = static_cast<int>(settings.models);
    fleet_settings.regions = static_cast<int>(settings.regions);
    fleet_settings.zones = static_cast<int>(settings.zones);
    fleet_settings.split_roles = false;
    fleet_settings.seed = settings.seed;
    return fleet_settings;
  }

  void measure(std::ostream& output, const std::string& name,
               const std::function<double()>& action) {
    const std::vector<NodeCost> before = fleet_.costs();
    const MonotonicTime start = fleet_.world.now();
    const double settle_seconds = action();
    const MonotonicTime min_end = start + settings_.min_phase_duration;
    if (fleet_.world.now() < min_end) fleet_.world.run_until(min_end);
    const double elapsed = to_seconds(fleet_.world.now() - start);
    const std::vector<NodeCost> after = fleet_.costs();
    NodeCost sum;
    double max_node_bytes = 0;
    double nodes = 0;
    for (std::size_t i = 0; i < after.size(); ++i) {
      if (after[i].boot != before[i].boot || !after[i].alive) continue;
      const NodeCost cost = after[i] - before[i];
      sum = sum + cost;
      max_node_bytes = std::max(max_node_bytes, static_cast<double>(cost.sent + cost.received));
      nodes += 1;
    }
    const double node_seconds = elapsed * nodes;
    print_row(output, {name, format_fixed(100 * sum.processor_seconds / node_seconds, 3),
                       format_fixed(static_cast<double>(sum.sent) / node_seconds, 0),
                       format_fixed(static_cast<double>(sum.received) / node_seconds, 0),
                       format_fixed(max_node_bytes / elapsed, 0),
                       format_fixed(static_cast<double>(sum.messages) / node_seconds, 1),
                       format_fixed(settle_seconds, 2)});
  }

  /// Flushes each row, as a phase of a large fleet takes minutes.
  static void print_row(std::ostream& output, const std::vector<std::string>& cells) {
    constexpr int kFirstWidth = 28;
    constexpr int kWidth = 16;
    output << std::left << std::setw(kFirstWidth) << cells.front();
    for (std::size_t i = 1; i < cells.size(); ++i) output << std::setw(kWidth) << cells[i];
    output << std::endl;
  }

  /// How often `run_until` checks its condition; the resolution of the settle times, the times that
  /// the fleet takes to reach the expected state.
  static constexpr Duration kPollInterval = std::chrono::milliseconds(250);

  /// Runs until `condition` holds, at most 5 simulated minutes. @return the elapsed seconds.
  template <typename Condition>
  double run_until(Condition condition) {
    const MonotonicTime start = fleet_.world.now();
    const MonotonicTime deadline = start + std::chrono::minutes(5);
    while (!condition() && fleet_.world.now() < deadline) {
      fleet_.run_for(kPollInterval);
    }
    return to_seconds(fleet_.world.now() - start);
  }

  double change_configuration() {
    const Revision before = fleet_.newest_revision();
    fleet_.edit_tenant(0, "changed");
    return run_until([this, before] { return fleet_.oldest_revision() > before; });
  }

  double kill_nodes(int count) {
    for (int i = 0; i < count; ++i) fleet_.kill_node(static_cast<int>(settings_.nodes) - 1 - i);
    return run_until([this] { return fleet_.members_agree(); });
  }

  double kill_zone() {
    const int zones = static_cast<int>(settings_.zones);
    for (int i = 1; i < static_cast<int>(settings_.nodes); i += zones) {
      if (fleet_.node_alive(i)) fleet_.kill_node(i);
    }
    return run_until([this] { return fleet_.members_agree(); });
  }

  double restart_dead_nodes() {
    for (int i = 0; i < static_cast<int>(settings_.nodes); ++i) {
      if (!fleet_.node_alive(i)) fleet_.start_node(i);
    }
    return run_until([this] {
      return fleet_.members_agree() && fleet_.oldest_revision() == fleet_.newest_revision();
    });
  }

  /// Partitions the nodes of region 2 from the other nodes for 60 s, then heals the network.
  double partition_region() {
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
    return run_until([this] { return fleet_.members_agree(); });
  }

  const HollowSettings& settings_;
  Fleet fleet_;
};

}  // namespace

ExitCode run_hollow_command(const std::vector<std::string>& arguments, std::ostream& output,
                            std::ostream& errors) {
  HollowSettings settings;
  OptionSet options("shuntbank-bench hollow [options]");
  constexpr std::uint64_t kMaxCount = 100'000;
  options.add_unsigned("nodes", settings.nodes, 3, kMaxCount, "Nodes.");
  options.add_unsigned("engines", settings.engines, 1, kMaxCount, "Engines.");
  options.add_unsigned("tenants", settings.tenants, 1, kMaxCount, "Tenants.");
  options.add_unsigned("models", settings.models, 1, 100, "Model services.");
  options.add_unsigned("regions", settings.regions, 1, 100, "Regions.");
  options.add_unsigned("zones", settings.zones, 1, 100, "Zones.");
  options.add_duration("measure-for", settings.min_phase_duration, seconds(10),
                       std::chrono::hours(1), "Minimum simulated time of each phase.");
  options.add_unsigned("seed", settings.seed, 0, UINT64_MAX, "Seed.");
  static_cast<void>(set_log_levels("off"));
  const OptionsOutcome outcome = options.read(arguments, output, errors);
  if (!outcome.run) return outcome.code;
  HollowRun(settings).run(output);
  return ExitCode::kSuccess;
}

}  // namespace shuntbank
