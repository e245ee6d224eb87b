#include "relay/usage_reporter.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <vector>

#include "relay/support/exchanging_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::DutyOutcome;

namespace {

/// One machine's clock: the same monotonic time, and a time of day of its own.
class MachineRuntime : public Runtime {
 public:
  explicit MachineRuntime(ManualRuntime& shared) : shared_(shared) {}
  MonotonicTime now() const override { return shared_.now(); }
  std::uint64_t unix_milliseconds() const override {
    const auto since_boot =
        std::chrono::duration_cast<std::chrono::milliseconds>(shared_.now().time_since_epoch());
    return static_cast<std::uint64_t>(kNoon + since_boot.count() + wrong_ms);
  }
  std::unique_ptr<Timer> after(Duration delay, std::function<void()> function) override {
    return shared_.after(delay, std::move(function));
  }
  void post(std::function<void()> function) override { shared_.post(std::move(function)); }
  std::string random_hex(std::size_t bytes) override { return shared_.random_hex(bytes); }

  static constexpr std::int64_t kNoon = 1'796'000'000'000;
  std::int64_t wrong_ms = 0;

 private:
  ManualRuntime& shared_;
};

/// Takes reports as the service does: under the highest fence, and late ones too.
class DutyStandin : public relay::DutyService {
 public:
  explicit DutyStandin(Runtime& runtime) : runtime_(runtime) {}

  void report_usage(const relay::DutyAuthority& authority, const relay::UsageReport& report,
                    Duration, Handler handler) override {
    if (down) return reply(handler, DutyOutcome::kThrottled);
    if (done_late) {
      late.push_back({authority, report});
      return reply(handler, DutyOutcome::kUnknown);
    }
    const DutyOutcome outcome = take(authority, report);
    reply(handler, lose_answers ? DutyOutcome::kUnknown : outcome);
  }
  void order_engines(const relay::DutyAuthority&, const relay::EngineOrder&, Duration,
                     Handler) override {}

  void carry_out_late() {
    for (const auto& [authority, report] : late) take(authority, report);
    late.clear();
  }

  std::map<usage::WindowNumber, std::vector<usage::TenantCounts>> accepted;
  bool down = false;
  bool lose_answers = false;
  bool done_late = false;
  std::vector<std::pair<relay::DutyAuthority, relay::UsageReport>> late;

 private:
  DutyOutcome take(const relay::DutyAuthority& authority, const relay::UsageReport& report) {
    if (authority.fence < highest_) return DutyOutcome::kRefused;
    highest_ = authority.fence;
    accepted[report.window].push_back(report.counts);
    return DutyOutcome::kDone;
  }
  void reply(const Handler& handler, DutyOutcome outcome) {
    runtime_.post([handler, outcome] { handler(outcome); });
  }

  Runtime& runtime_;
  Fence highest_ = 0;
};

/// One machine with its part in the report.
struct Machine {
  Machine(ManualRuntime& shared, MemoryStore& store, MockNetwork& network, DutyStandin& duties,
          const std::string& own_name, bool first_start, std::int64_t wrong_ms = 0)
      : runtime(shared), transport(network, own_name + ":1") {
    runtime.wrong_ms = wrong_ms;
    settings.window = 5s;
    peers = std::make_unique<relay::PeerDirectory>(
        runtime, store, NodeId(own_name), relay::PeerRecord{own_name + ":1", ZoneName("z"), 1},
        relay::PeerDirectorySettings{"nodes", 0s}, [] {});
    lease = std::make_unique<relay::LeaseKeeper>(runtime, store, *site.node, own_name,
                                                 relay::LeaseKeeperSettings());
    exchange = std::make_unique<relay::UsageExchange>(runtime, transport, *peers,
                                                      random_number(shared), first_start, settings);
    reporter = std::make_unique<relay::UsageReporter>(runtime, store, *lease, duties, *exchange,
                                                      metrics, own_name, settings);
    transport.set_handlers(
        [this](std::string_view bytes, const std::string&) { exchange->on_message(bytes); },
        [](const std::string&, const auto&) {});
  }

  RelayFixture site;
  MachineRuntime runtime;
  MockTransport transport;
  relay::UsageSettings settings;
  relay::RelayMetrics metrics;
  std::unique_ptr<relay::PeerDirectory> peers;
  std::unique_ptr<relay::LeaseKeeper> lease;
  std::unique_ptr<relay::UsageExchange> exchange;
  std::unique_ptr<relay::UsageReporter> reporter;
};

struct ReportingFleet {
  explicit ReportingFleet(std::size_t count, std::size_t wrong = 0, std::int64_t wrong_ms = 0) {
    for (std::size_t i = 0; i < count; ++i) start(i, true, i < wrong ? wrong_ms : 0);
  }

  void start(std::size_t i, bool first_start, std::int64_t wrong_ms = 0) {
    if (machines.size() <= i) machines.resize(i + 1);
    machines[i] = std::make_unique<Machine>(runtime, store, network, duties,
                                            "n" + std::to_string(i), first_start, wrong_ms);
  }

  /// From now on nothing leaves or reaches the machine, which forgets everything.
  void kill(std::size_t i) {
    network.ends.erase(machines[i]->transport.address);
    machines[i].reset();
  }

  /// Lets time pass while each machine has one request of a tenant begin, ten times a second.
  void serve(Duration duration) {
    for (Duration passed{}; passed < duration; passed += 100ms) {
      for (const auto& machine : machines) {
        if (machine) machine->exchange->on_began(TenantName("guild")), ++begun[truth() / 5000];
      }
      runtime.advance(100ms);
    }
  }

  std::int64_t truth() const {
    return MachineRuntime::kNoon +
           std::chrono::duration_cast<std::chrono::milliseconds>(runtime.now().time_since_epoch())
               .count();
  }

  std::size_t holder() const {
    const auto found = std::find_if(machines.begin(), machines.end(), [](const auto& machine) {
      return machine && machine->lease->authority();
    });
    return static_cast<std::size_t>(found - machines.begin());
  }

  /// No window has two reports that differ.
  void assert_one_report_a_window() const {
    for (const auto& [window, reports] : duties.accepted) {
      for (const auto& counts : reports) cr_assert(counts == reports.front(), "window %lu", window);
    }
  }

  /// @return the part of the requests of a window that is missing or too many in its report.
  double error(std::int64_t window) const {
    const auto reports = duties.accepted.find(static_cast<usage::WindowNumber>(window));
    if (reports == duties.accepted.end()) return 1;
    const double told = static_cast<double>(usage::total(reports->second.front()));
    const double real = static_cast<double>(begun.at(window));
    return std::abs(told - real) / real;
  }

  ManualRuntime runtime;
  MemoryStore store{runtime};
  MockNetwork network;
  DutyStandin duties{runtime};
  std::vector<std::unique_ptr<Machine>> machines;
  std::map<std::int64_t, std::uint64_t> begun;  ///< By window of true time.
};

}  // namespace

Test(usage_reporter, reports_each_window_of_the_fleet_once_and_in_time) {
  ReportingFleet fleet(5);
  fleet.serve(40s);
  const std::int64_t last = fleet.truth() / 5000 - 2;
  for (std::int64_t window = last - 4; window <= last; ++window) {
    cr_assert_eq(fleet.duties.accepted[static_cast<usage::WindowNumber>(window)].size(), 1);
    cr_assert_lt(fleet.error(window), 0.03, "%f", fleet.error(window));
  }
}

Test(usage_reporter, whoever_comes_next_repeats_what_was_written_before_the_holder_was_killed) {
  ReportingFleet fleet(5);
  fleet.serve(20s);
  fleet.duties.done_late = true;  // The service takes calls, says nothing, and does them later.
  fleet.serve(10s);
  const std::size_t first = fleet.holder();
  cr_assert_lt(first, 5);
  fleet.kill(first);
  fleet.duties.done_late = false;
  fleet.serve(15s);
  cr_assert_neq(fleet.holder(), first);
  fleet.duties.carry_out_late();
  fleet.assert_one_report_a_window();
  const std::int64_t last = fleet.truth() / 5000 - 2;
  for (std::int64_t window = last - 3; window <= last; ++window) {
    cr_assert_lt(fleet.error(window), 0.2, "only the killed node's last second is missing");
  }
}

Test(usage_reporter, a_late_call_of_an_earlier_holder_never_makes_a_second_report) {
  ReportingFleet fleet(4);
  fleet.serve(20s);
  fleet.duties.done_late = true;
  fleet.serve(6s);
  fleet.kill(fleet.holder());
  fleet.serve(4s);
  fleet.duties.carry_out_late();  // Before the new holder has said anything.
  fleet.duties.done_late = false;
  fleet.serve(20s);
  fleet.assert_one_report_a_window();
}

Test(usage_reporter, a_lost_answer_is_followed_by_the_same_report) {
  ReportingFleet fleet(4);
  fleet.serve(15s);
  fleet.duties.lose_answers = true;
  fleet.store.lose_answers = true;
  fleet.serve(10s);
  fleet.store.lose_answers = false;
  fleet.duties.lose_answers = false;
  fleet.serve(15s);
  fleet.assert_one_report_a_window();
  const std::int64_t last = fleet.truth() / 5000 - 2;
  cr_assert_lt(fleet.error(last), 0.03);
}

Test(usage_reporter, clocks_that_are_an_hour_wrong_on_a_third_do_not_move_windows) {
  // The first to take the lease is among them.
  ReportingFleet fleet(6, 2, 3'600'000);
  fleet.serve(40s);
  const std::int64_t last = fleet.truth() / 5000 - 2;
  cr_assert_lt(fleet.error(last), 0.03, "%f", fleet.error(last));
  fleet.assert_one_report_a_window();
}

Test(usage_reporter, a_clock_that_jumps_on_the_holder_moves_no_window) {
  ReportingFleet fleet(4);
  fleet.serve(20s);
  fleet.machines[fleet.holder()]->runtime.wrong_ms = -90'000;
  fleet.serve(20s);
  const std::int64_t last = fleet.truth() / 5000 - 2;
  cr_assert_lt(fleet.error(last), 0.03);
  fleet.assert_one_report_a_window();
}

Test(usage_reporter, after_all_were_killed_no_window_is_reported_that_nobody_has_counted_through) {
  ReportingFleet fleet(4);
  fleet.serve(22s);
  const std::int64_t killed_in = fleet.truth() / 5000;
  for (std::size_t i = 0; i < 4; ++i) fleet.kill(i);
  fleet.runtime.advance(1s);
  for (std::size_t i = 0; i < 4; ++i) fleet.start(i, false);
  fleet.serve(30s);
  cr_assert_eq(fleet.duties.accepted.count(static_cast<usage::WindowNumber>(killed_in)), 0);
  cr_assert_lt(fleet.error(fleet.truth() / 5000 - 2), 0.03);
  fleet.assert_one_report_a_window();
}

Test(usage_reporter, windows_of_a_time_without_the_service_are_reported_when_it_is_back) {
  ReportingFleet fleet(3);
  fleet.serve(15s);
  fleet.duties.down = true;
  const std::int64_t began = fleet.truth() / 5000;
  fleet.serve(10s);
  fleet.duties.down = false;
  fleet.serve(10s);
  cr_assert_lt(fleet.error(began), 0.03);
  cr_assert_lt(fleet.error(began + 1), 0.03);
}

Test(usage_reporter, a_lease_that_lapses_between_the_record_and_the_call_costs_no_window) {
  ReportingFleet fleet(2);
  fleet.serve(15s);
  // Renewals are lost for as long as the lease lasts, so that it lapses at any step of a report.
  for (int i = 0; i < 4; ++i) {
    fleet.store.down = true;
    fleet.serve(4500ms);
    fleet.store.down = false;
    fleet.serve(1500ms);
  }
  fleet.serve(20s);
  const std::int64_t last = fleet.truth() / 5000 - 2;
  for (std::int64_t window = last - 3; window <= last; ++window) {
    cr_assert_lt(fleet.error(window), 0.03, "%f", fleet.error(window));
  }
  fleet.assert_one_report_a_window();
}
