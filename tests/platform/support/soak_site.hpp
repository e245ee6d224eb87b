/// @file
/// Soak test site: real relay processes with fake engines and store, and fault injection.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "platform/support/callers.hpp"
#include "platform/support/engine_standin.hpp"
#include "platform/support/fault_proxy.hpp"
#include "platform/support/ledger.hpp"
#include "platform/support/relay_child.hpp"
#include "platform/support/store_standin.hpp"

namespace shuntbank::testing {

/// Options of one soak run.
struct SoakOptions {
  std::string program;  ///< Path of the relay program.
  std::string folder;   ///< For settings and logs.
  std::uint64_t seed = 1;
  std::chrono::seconds fault_duration{30};
  std::size_t relay_count = 5;
  std::size_t caller_count = 40;
  /// Keeps sending a request that crashes each engine that runs it.
  bool crashing_requests = false;
  bool storms = false;  ///< Large configurations in quick succession, over slow links to the store.
  /// Engines drain during store outages, half of them shed all requests, and registrations lapse.
  bool engine_notices = false;
  /// Engines announce request rate limits, which may be zero: either one engine a steady, falling
  /// or rising limit, or half of the engines the same steady limit at once.
  bool engine_limits = false;
  /// A tenant asks for more than its quota, which also falls and rises.
  bool tenant_quotas = false;
  /// Nodes are cut off from all engines, and from some of them.
  bool path_cuts = false;
  /// Engines of two software versions are replaced all the while, and callers take streams up.
  bool software_versions = false;
  /// Decode engines lose handles, and engines' answers are followed by late copies or by refusals
  /// that name no request.
  bool second_answers = false;
  /// Engines run requests and answer with a status of a refusal, without saying that they refuse.
  bool unmarked_statuses = false;
  /// Engines answer with bytes without end.
  bool endless_answers = false;
  /// Another writer puts entries that can't be read among those of the engines and nodes.
  bool odd_entries = false;
  bool cut_answers = false;  ///< Engines close or reset within answers, their heads included.
  /// The store loses the calls of most relays, then of the others, while engines drain.
  bool store_outages = false;
  /// Nodes are lost for good, and others come under other names and addresses.
  bool replaced_nodes = false;
  bool killed_fleet = false;  ///< All nodes are killed at once, again and again.
  /// Nodes that were lost before the run and are still listed.
  std::size_t dead_nodes = 0;
  /// Path of an earlier version for a rolling downgrade and upgrade; may be empty. Engine limits
  /// are not checked for its nodes.
  std::string previous_program;

  bool operator==(const SoakOptions&) const = default;
};

/// The tenant's quota at first; below half of what its callers ask for.
constexpr double kQuotaTokensPerSecond = 100'000;

/// One soak run. Everything but the relays runs on one event loop in one thread.
class SoakSite {
 public:
  explicit SoakSite(const SoakOptions& options);
  ~SoakSite();

  /// Injects faults chosen by the seed, then clears them and checks that the site recovers.
  void run();

  const Ledger& result() const { return this->ledger; }
  const CallerCounts& counts() const { return this->callers->counts(); }
  std::size_t max_endless_answer() const { return this->largest_endless_answer; }
  std::size_t cut_answers() const { return this->cut_answer_count; }
  std::size_t max_memory() const { return this->largest_memory; }
  const std::vector<std::string>& faults() const { return this->fault_log; }

 private:
  void build_engines();
  void build_relays();
  void add_relay(std::size_t index);
  void replace_relay();
  void kill_fleet();
  void kill_relays(std::size_t count);
  void put_dead_nodes();
  void check_listed_nodes();
  void put_configuration();
  void wait(std::chrono::milliseconds duration);
  bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout);
  bool all_ready() const;
  void keep_relays_running();
  void check_end(RelayChild& relay);
  void check_ended_relays();
  void stop_relays();
  void schedule(std::chrono::milliseconds delay, std::function<void()> action);

  void inject_fault();
  void inject_relay_fault(std::uint64_t kind);
  void inject_store_fault(std::uint64_t kind);
  void set_store_fault(StoreFault fault);
  void inject_engine_fault(std::uint64_t kind);
  void send_crashing_requests();
  void start_storm();
  void run_storm(std::uint64_t left);
  void inject_engine_notices();
  void inject_limit_changes();
  void inject_quota_changes();
  void build_engine_paths();
  void cut_paths();
  void replace_engine();
  void inject_second_answers();
  void inject_unmarked_statuses();
  void inject_odd_entries();
  void inject_endless_answers();
  void check_endless_answers();
  void inject_cut_answers();
  void inject_store_outages();
  void lose_store_calls(std::size_t relay, std::chrono::milliseconds duration);
  void drain_quietly(EngineStandin& engine);
  void restore_paths();
  void change_limit(std::size_t index, double per_second, int steps, double factor);
  void switch_next_program();
  void drain_during_store_outage(EngineStandin& engine);
  void shed_at_half_the_engines(std::chrono::milliseconds duration);
  void crash_and_restart(EngineStandin& engine);
  bool undisturbed() const;
  void check_crashing_request();
  void clear_faults();
  void check_recovery();
  bool serves_normally();
  void check_configuration();
  std::uint64_t draw(std::uint64_t below) { return this->random() % below; }
  void log_fault(const std::string& fault) { this->fault_log.push_back(fault); }

  asio::io_context loop;
  SoakOptions options;
  std::mt19937_64 random;
  Ledger ledger;
  StoreStandin store;
  std::vector<std::unique_ptr<EngineStandin>> engines;
  std::vector<std::unique_ptr<FaultProxy>> store_links;  ///< One per relay.
  /// The path from a relay to an engine, by relay and engine.
  std::vector<std::vector<std::unique_ptr<FaultProxy>>> engine_paths;
  bool paths_cut = false;  ///< Of some relays to all engines.
  std::vector<std::unique_ptr<RelayChild>> relays;
  /// Of relays that were replaced; faults under way still refer to them.
  std::vector<std::unique_ptr<FaultProxy>> replaced_links;
  std::vector<std::unique_ptr<RelayChild>> replaced_relays;
  std::size_t relay_number = 0;  ///< Of the newest relay.
  std::unique_ptr<Callers> callers;
  std::vector<std::shared_ptr<asio::steady_timer>> timers;
  asio::steady_timer watchdog;
  bool relays_stopping = false;
  std::vector<std::string> fault_log;
  std::uint64_t configuration_version = 0;
  bool bootstrap = true;
  std::mt19937_64 crash_random;  ///< Separate, so that options do not change the draws of `random`.
  std::mt19937_64 storm_random;
  std::mt19937_64 notice_random;
  std::mt19937_64 limit_random;
  std::mt19937_64 quota_random;
  std::mt19937_64 path_random;
  std::mt19937_64 release_random;
  std::mt19937_64 second_answer_random;
  std::mt19937_64 outage_random;
  std::mt19937_64 status_random;
  std::mt19937_64 flood_random;
  std::mt19937_64 entry_random;
  std::mt19937_64 cut_random;
  std::mt19937_64 replace_random;
  std::mt19937_64 kill_random;
  std::size_t largest_endless_answer = 0;  ///< Bytes of it that a relay took.
  std::size_t cut_answer_count = 0;
  std::size_t largest_memory = 0;  ///< Of a relay, in bytes.
  double quota_per_second = kQuotaTokensPerSecond;
  std::size_t switch_count = 0;
  std::chrono::steady_clock::time_point disturbed_until{};  ///< Of relays or store.
  bool faults_cleared = false;
};

}  // namespace shuntbank::testing
