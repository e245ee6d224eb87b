/// @file
/// Soak test: injects faults around real relay processes and checks invariants while it runs.
///
///     platform_soak --program build/release/shuntbank-relay --folder DIR [--seeds A..B] [--seconds
///     N]

#include <boost/program_options.hpp>
#include <filesystem>
#include <iostream>

#include "common/log.hpp"
#include "platform/support/soak_site.hpp"

namespace {

namespace options = boost::program_options;
using shuntbank::testing::CallerCounts;
using shuntbank::testing::SoakOptions;
using shuntbank::testing::SoakSite;
using shuntbank::testing::Violation;

struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};

SeedRange parse_seeds(const std::string& text) {
  const std::size_t dots = text.find("..");
  const std::uint64_t first = std::stoull(text.substr(0, dots));
  if (dots == std::string::npos) return {first, first};
  return {first, std::stoull(text.substr(dots + 2))};
}

/// @return whether no invariant was violated.
bool run_seed(SoakOptions soak_options) {
  soak_options.folder += "/seed-" + std::to_string(soak_options.seed);
  std::filesystem::create_directories(soak_options.folder);
  SoakSite site(soak_options);
  site.run();
  const CallerCounts& counts = site.counts();
  std::cout << "seed " << soak_options.seed << ": " << site.faults().size() << " faults, "
            << counts.completed << " whole, " << counts.refused << " refused, " << counts.failed
            << " failed, " << counts.cancelled << " left early, "
            << site.result().max_limit_utilization() << " of a limit at most, " << counts.over_quota
            << " over quota, " << site.result().max_quota_utilization() << " of a quota at most, "
            << site.result().judged_at_cut_nodes() << " judged at cut nodes, "
            << site.result().judged_after_draining() << " judged at draining engines, "
            << site.result().stream_versions().taken_up_count() << " streams taken up, "
            << site.result().stream_versions().continued_count() << " of "
            << site.result().stream_versions().judged_count() << " judged went on, "
            << site.cut_answers() << " answers cut, " << site.max_endless_answer()
            << " bytes of an answer without end at most, " << site.max_memory()
            << " bytes of memory, " << site.result().violations().size() << " promises broken"
            << std::endl;
  for (const Violation& violation : site.result().violations()) {
    std::cout << "  " << violation.rule << ": " << violation.what << std::endl;
  }
  if (site.result().violations().empty()) return true;
  for (const std::string& fault : site.faults()) std::cout << "    fault: " << fault << "\n";
  std::cout << "  logs: " << soak_options.folder << std::endl;
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  SoakOptions soak_options;
  std::string seeds;
  std::int64_t seconds = 0;
  options::options_description description("Options");
  description.add_options()("help", "print this")(
      "program", options::value(&soak_options.program)->required(), "path of the relay program")(
      "folder", options::value(&soak_options.folder)->required(), "folder for settings and logs")(
      "seeds", options::value(&seeds)->default_value("1"), "one seed, or FIRST..LAST")(
      "seconds", options::value(&seconds)->default_value(30),
      "duration of fault injection per seed")(
      "deadly", options::bool_switch(&soak_options.crashing_requests),
      "keep sending a request that crashes each engine that runs it")(
      "storms", options::bool_switch(&soak_options.storms),
      "large configurations in quick succession, over slow links to the store")(
      "words", options::bool_switch(&soak_options.engine_notices),
      "engines drain during store outages, half of them shed all requests, and registrations "
      "lapse")("limits", options::bool_switch(&soak_options.engine_limits),
               "engines announce a request rate limit over all nodes")(
      "quotas", options::bool_switch(&soak_options.tenant_quotas),
      "a tenant asks for more than its quota, which changes")(
      "cuts", options::bool_switch(&soak_options.path_cuts),
      "relays are cut off from the engines, while callers, the store and other relays reach them")(
      "versions", options::bool_switch(&soak_options.software_versions),
      "engines of two software versions are replaced all the while, and callers take streams up")(
      "second-answers", options::bool_switch(&soak_options.second_answers),
      "engines lose handles, and their answers are followed by late copies or by refusals that "
      "name no request")("unmarked", options::bool_switch(&soak_options.unmarked_statuses),
                         "engines run requests and answer with a status of a refusal, without "
                         "saying that they refuse")(
      "endless", options::bool_switch(&soak_options.endless_answers),
      "engines answer with bytes without end")(
      "odd-entries", options::bool_switch(&soak_options.odd_entries),
      "another writer puts entries that can't be read among those of the engines and nodes")(
      "cut-answers", options::bool_switch(&soak_options.cut_answers),
      "engines close or reset within their answers, heads included")(
      "outages", options::bool_switch(&soak_options.store_outages),
      "the store loses the calls of most relays, then of the others, while engines drain")(
      "replaced", options::bool_switch(&soak_options.replaced_nodes),
      "nodes are lost for good, and others come under other names and addresses")(
      "killed-fleet", options::bool_switch(&soak_options.killed_fleet),
      "all nodes are killed at once, again and again")(
      "dead-nodes", options::value(&soak_options.dead_nodes)->default_value(0),
      "nodes that were lost before the run and are still listed")(
      "other-program", options::value(&soak_options.previous_program),
      "relay program of an earlier version, for a rolling downgrade and upgrade")(
      "relays", options::value(&soak_options.relay_count)->default_value(5),
      "number of relay processes");
  options::variables_map variables;
  try {
    options::store(options::parse_command_line(argc, argv, description), variables);
    if (variables.count("help") > 0) {
      std::cout << description;
      return 0;
    }
    options::notify(variables);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << description;
    return 2;
  }
  soak_options.fault_duration = std::chrono::seconds(seconds);
  const SeedRange range = parse_seeds(seeds);
  int failed_seeds = 0;
  for (soak_options.seed = range.first; soak_options.seed <= range.last; ++soak_options.seed) {
    if (!run_seed(soak_options)) ++failed_seeds;
  }
  std::cout << range.last - range.first + 1 - failed_seeds << " seeds kept every promise, "
            << failed_seeds << " did not" << std::endl;
  return failed_seeds == 0 ? 0 : 1;
}
