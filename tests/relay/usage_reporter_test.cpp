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

/// One machine's clock: shared monotonic time with its own time of day.
class MachineRuntime : public Runtime {
 public:
  explicit MachineRuntime(ManualRuntime& shared) : shared_(shared) {}
  MonotonicTime now() const override { return shared_.now(); }
  std::uint64_t unix_milliseconds() const override {
    const auto since_boot =
        std::chrono::duration_cast<std::chrono::milliseconds>(shared_.now().time_since_epoch());
    return static_cast<std::uint64_t>(kNoon + since_boot.count() + clock_offset_ms);
  }
  std::unique_ptr<Timer> after(Duration delay, std::function<void()> function) override {
    return shared_.after(delay, std::move(function));
  }
  void post(std::function<void()> function) override { shared_.post(std::move(function)); }
  std::string random_hex(std::size_t bytes) override { return shared_.random_hex(bytes); }

  static constexpr std::int64_t kNoon = 1'796'000'000'000;
  std::int64_t clock_offset_ms = 0;

 private:
  ManualRuntime& shared_;
};

/// Accepts reports with the highest fence seen, including delayed ones, like the real service.
class FakeDutyService : public relay::DutyService {
 public:
  explicit FakeDutyService(Runtime& runtime) : runtime_(runtime) {}

  void report_usage(const relay::DutyAuthority& authority, const relay::UsageReport& report,
                    Duration, Handler handler) override {
    if (down) return reply(handler, DutyOutcome::kThrottled);
    if (delay_calls) {
      delayed.push_back({authority, report});
      return reply(handler, DutyOutcome::kUnknown);
    }
    const DutyOutcome outcome = accept(authority, report);
    reply(handler, lose_answers ? DutyOutcome::kUnknown : outcome);
  }
  void order_engines(const relay::DutyAuthority&, const relay::EngineOrder&, Duration,
                     Handler) override {}

  void apply_delayed() {
    for (const auto& [authority, report] : delayed) accept(authority, report);
    delayed.clear();
  }

  std::map<usage::WindowNumber, std::vector<usage::TenantCounts>> accepted;
  bool down = false;
  bool lose_answers = false;
  bool delay_calls = false;
  std::vector<std::pair<relay::DutyAuthority, relay::UsageReport>> delayed;

 private:
  DutyOutcome accept(const relay::DutyAuthority& authority, const relay::UsageReport& report) {
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

/// One machine that takes part in usage reporting.
struct Machine {
  Machine(ManualRuntime& shared, MemoryStore& store, MockNetwork& network, FakeDutyService& duties,
          const std::string& own_name, bool bootstrap, std::int64_t clock_offset_ms = 0)
      : runtime(shared), transport(network, own_name + ":1") {
    runtime.clock_offset_ms = clock_offset_ms;
    settings.window_length = 5s;
    peers = std::make_unique<relay::PeerDirectory>(
        runtime, store, NodeId(own_name), relay::PeerRecord{own_name + ":1", ZoneName("z"), 1},
        relay::PeerDirectorySettings{"nodes", 0s}, [] {});
    lease = std::make_unique<relay::LeaseKeeper>(runtime, store, *site.node, own_name,
                                                 relay::LeaseKeeperSettings());
    exchange = std::make_unique<relay::UsageExchange>(runtime, transport, *peers,
                                                      random_number(shared), bootstrap, settings);
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
  explicit ReportingFleet(std::size_t count, std::size_t skewed_count = 0,
                          std::int64_t clock_offset_ms = 0) {
    for (std::size_t i = 0; i < count; ++i) start(i, true, i < skewed_count ? clock_offset_ms : 0);
  }

  void start(std::size_t i, bool bootstrap, std::int64_t clock_offset_ms = 0) {
    if (machines.size() <= i) machines.resize(i + 1);
    machines[i] = std::make_unique<Machine>(runtime, store, network, duties,
                                            "n" + std::to_string(i), bootstrap, clock_offset_ms);
  }

  /// Removes the machine from the network and discards its state.
  void kill(std::size_t i) {
    network.nodes.erase(machines[i]->transport.address);
    machines[i].reset();
  }

  /// Advances the clock while each machine starts ten requests of a tenant per second.
  void run(Duration duration) {
    for (Duration passed{}; passed < duration; passed += 100ms) {
      for (const auto& machine : machines) {
        if (machine)
          machine->exchange->on_request_started(TenantName("guild")),
              ++requests_by_window[true_ms() / 5000];
      }
      runtime.advance(100ms);
    }
  }

  std::int64_t true_ms() const {
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

  /// Fails if a window has reports that differ.
  void assert_one_report_per_window() const {
    for (const auto& [window, reports] : duties.accepted) {
      for (const auto& counts : reports) cr_assert(counts == reports.front(), "window %lu", window);
    }
  }

  /// @return the relative error of a window's reported request count; 1 if there is no report.
  double relative_error(std::int64_t window) const {
    const auto reports = duties.accepted.find(static_cast<usage::WindowNumber>(window));
    if (reports == duties.accepted.end()) return 1;
    const double reported = static_cast<double>(usage::total(reports->second.front()));
    const double actual = static_cast<double>(requests_by_window.at(window));
    return std::abs(reported - actual) / actual;
  }

  ManualRuntime runtime;
  MemoryStore store{runtime};
  MockNetwork network;
  FakeDutyService duties{runtime};
  std::vector<std::unique_ptr<Machine>> machines;
  std::map<std::int64_t, std::uint64_t>
      requests_by_window;  ///< Started requests, by window of true time.
};

}  // namespace

Test(usage_reporter, reports_each_window_of_the_fleet_once_and_in_time) {
  ReportingFleet fleet(5);
  fleet.run(40s);
  const std::int64_t last = fleet.true_ms() / 5000 - 2;
  for (std::int64_t window = last - 4; window <= last; ++window) {
    cr_assert_eq(fleet.duties.accepted[static_cast<usage::WindowNumber>(window)].size(), 1);
    cr_assert_lt(fleet.relative_error(window), 0.03, "%f", fleet.relative_error(window));
  }
}

Test(usage_reporter, next_holder_repeats_the_recorded_report) {
  ReportingFleet fleet(5);
  fleet.run(20s);
  fleet.duties.delay_calls = true;  // Calls get no answer and are applied later.
  fleet.run(10s);
  const std::size_t first = fleet.holder();
  cr_assert_lt(first, 5);
  fleet.kill(first);
  fleet.duties.delay_calls = false;
  fleet.run(15s);
  cr_assert_neq(fleet.holder(), first);
  fleet.duties.apply_delayed();
  fleet.assert_one_report_per_window();
  const std::int64_t last = fleet.true_ms() / 5000 - 2;
  for (std::int64_t window = last - 3; window <= last; ++window) {
    cr_assert_lt(fleet.relative_error(window), 0.2,
                 "only the killed node's last second may be missing");
  }
}

Test(usage_reporter, delayed_call_of_previous_holder_makes_no_second_report) {
  ReportingFleet fleet(4);
  fleet.run(20s);
  fleet.duties.delay_calls = true;
  fleet.run(6s);
  fleet.kill(fleet.holder());
  fleet.run(4s);
  fleet.duties.apply_delayed();  // Before the new holder's first call.
  fleet.duties.delay_calls = false;
  fleet.run(20s);
  fleet.assert_one_report_per_window();
}

Test(usage_reporter, lost_answer_is_followed_by_the_same_report) {
  ReportingFleet fleet(4);
  fleet.run(15s);
  fleet.duties.lose_answers = true;
  fleet.store.lose_answers = true;
  fleet.run(10s);
  fleet.store.lose_answers = false;
  fleet.duties.lose_answers = false;
  fleet.run(15s);
  fleet.assert_one_report_per_window();
  const std::int64_t last = fleet.true_ms() / 5000 - 2;
  cr_assert_lt(fleet.relative_error(last), 0.03);
}

Test(usage_reporter, one_third_of_clocks_an_hour_off_does_not_shift_windows) {
  // The first lease holder is among them.
  ReportingFleet fleet(6, 2, 3'600'000);
  fleet.run(40s);
  const std::int64_t last = fleet.true_ms() / 5000 - 2;
  cr_assert_lt(fleet.relative_error(last), 0.03, "%f", fleet.relative_error(last));
  fleet.assert_one_report_per_window();
}

Test(usage_reporter, clock_jump_on_the_holder_does_not_shift_windows) {
  ReportingFleet fleet(4);
  fleet.run(20s);
  fleet.machines[fleet.holder()]->runtime.clock_offset_ms = -90'000;
  fleet.run(20s);
  const std::int64_t last = fleet.true_ms() / 5000 - 2;
  cr_assert_lt(fleet.relative_error(last), 0.03);
  fleet.assert_one_report_per_window();
}

Test(usage_reporter, uncovered_window_is_not_reported_after_full_restart) {
  ReportingFleet fleet(4);
  fleet.run(22s);
  const std::int64_t killed_in = fleet.true_ms() / 5000;
  for (std::size_t i = 0; i < 4; ++i) fleet.kill(i);
  fleet.runtime.advance(1s);
  for (std::size_t i = 0; i < 4; ++i) fleet.start(i, false);
  fleet.run(30s);
  cr_assert_eq(fleet.duties.accepted.count(static_cast<usage::WindowNumber>(killed_in)), 0);
  cr_assert_lt(fleet.relative_error(fleet.true_ms() / 5000 - 2), 0.03);
  fleet.assert_one_report_per_window();
}

Test(usage_reporter, windows_are_reported_after_a_service_outage) {
  ReportingFleet fleet(3);
  fleet.run(15s);
  fleet.duties.down = true;
  const std::int64_t first_window = fleet.true_ms() / 5000;
  fleet.run(10s);
  fleet.duties.down = false;
  fleet.run(10s);
  cr_assert_lt(fleet.relative_error(first_window), 0.03);
  cr_assert_lt(fleet.relative_error(first_window + 1), 0.03);
}

Test(usage_reporter, lease_expiry_between_record_and_call_loses_no_window) {
  ReportingFleet fleet(2);
  fleet.run(15s);
  // Fails renewals for the lease duration, so that it expires at any step of a report.
  for (int i = 0; i < 4; ++i) {
    fleet.store.down = true;
    fleet.run(4500ms);
    fleet.store.down = false;
    fleet.run(1500ms);
  }
  fleet.run(20s);
  const std::int64_t last = fleet.true_ms() / 5000 - 2;
  for (std::int64_t window = last - 3; window <= last; ++window) {
    cr_assert_lt(fleet.relative_error(window), 0.03, "%f", fleet.relative_error(window));
  }
  fleet.assert_one_report_per_window();
}
