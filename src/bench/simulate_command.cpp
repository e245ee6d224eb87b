#include "bench/simulate_command.hpp"

#include <charconv>
#include <map>
#include <mutex>
#include <ostream>
#include <thread>

#include "common/log.hpp"
#include "simulation/schedule.hpp"

namespace shuntbank {
namespace {

struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 100;
};

tl::expected<SeedRange, std::string> parse_seeds(const std::string& text) {
  SeedRange range;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, range.first);
  range.last = range.first;
  if (error == std::errc{} && rest == end) return range;
  const bool has_range = error == std::errc{} && std::string_view(rest, 2) == "..";
  if (has_range) {
    const auto [last_end, last_error] = std::from_chars(rest + 2, end, range.last);
    if (last_error == std::errc{} && last_end == end && range.last >= range.first) return range;
  }
  return tl::make_unexpected("'" + text + "' is neither A nor A..B");
}

/// Runs all seeds on several threads; the schedules share no state.
class SeedRunner {
 public:
  SeedRunner(const SeedRange& range, std::uint64_t threads)
      : next_(range.first), last_(range.last) {
    for (std::uint64_t i = 0; i < threads; ++i) threads_.emplace_back([this] { run_seeds(); });
    for (std::thread& thread : threads_) thread.join();
  }

  std::map<std::uint64_t, simulation::ScheduleResult> violations;
  std::uint64_t schedule_count = 0;
  std::uint64_t requests = 0;
  std::uint64_t completed = 0;

 private:
  void run_seeds() {
    while (true) {
      std::unique_lock lock(mutex_);
      if (next_ > last_) return;
      const std::uint64_t seed = next_++;
      lock.unlock();
      simulation::ScheduleResult result = simulation::run_schedule(seed);
      lock.lock();
      ++schedule_count;
      requests += result.requests;
      completed += result.completed;
      if (!result.violation.empty()) violations.emplace(seed, std::move(result));
    }
  }

  std::uint64_t next_;
  std::uint64_t last_;
  std::mutex mutex_;
  std::vector<std::thread> threads_;
};

}  // namespace

ExitCode run_simulate_command(const std::vector<std::string>& arguments, std::ostream& output,
                              std::ostream& errors) {
  SeedRange range;
  std::uint64_t threads = 1;
  bool events = false;
  OptionSet options("shuntbank-bench simulate [options]");
  options.add("seeds", "One seed, or A..B.", "1..100",
              [&range](const std::string& text) -> tl::expected<void, std::string> {
                const auto parsed = parse_seeds(text);
                if (!parsed) return tl::make_unexpected(parsed.error());
                range = *parsed;
                return {};
              });
  options.add_unsigned("threads", threads, 1, 256, "Schedules run in parallel.");
  options.add_flag("events", events, "Print the events of the first failed schedule.");
  // Logs are off unless --log-level is given, which is useful with a single seed.
  static_cast<void>(set_log_levels("off"));
  const OptionsOutcome outcome = options.read(arguments, output, errors);
  if (!outcome.run) return outcome.code;
  const SeedRunner run(range, threads);
  std::map<std::string, std::uint64_t> violation_counts;
  for (const auto& [seed, result] : run.violations) {
    output << "seed " << seed << ": " << result.violation << "\n";
    ++violation_counts[result.violation.substr(0, result.violation.find(':'))];
  }
  if (events && !run.violations.empty()) {
    for (const std::string& event : run.violations.begin()->second.events) output << event << "\n";
  }
  output << run.schedule_count << " schedules, " << run.requests << " requests, " << run.completed
         << " completed, " << run.violations.size() << " schedules violated an invariant\n";
  for (const auto& [invariant, count] : violation_counts)
    output << "  " << count << " x " << invariant << "\n";
  return run.violations.empty() ? ExitCode::kSuccess : ExitCode::kFailure;
}

}  // namespace shuntbank
