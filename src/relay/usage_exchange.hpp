/// @file
/// Collects the nodes' usage counts at the node that reports them and synchronizes the nodes'
/// clocks with the same messages. Counts are also sent to standbys of the reporter, which limits
/// the loss when it fails.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "core/usage/true_time.hpp"
#include "core/usage/usage_counter.hpp"
#include "core/usage/usage_ledger.hpp"
#include "net/peer_transport.hpp"
#include "protocol/usage_message.hpp"
#include "relay/peer_directory.hpp"
#include "relay/usage_settings.hpp"

namespace shuntbank::relay {

/// One node's side of the usage exchange.
class UsageExchange {
 public:
  /// All references outlive this.
  /// @param boot random ID of this process start.
  /// @param bootstrap whether the whole system starts, so that no earlier usage exists.
  UsageExchange(Runtime& runtime, PeerTransport& transport, const PeerDirectory& peers,
                std::uint64_t boot, bool bootstrap, const UsageSettings& settings);

  /// Counts a request of the tenant that has started to run at an engine.
  void on_request_started(const TenantName& tenant);

  /// Handles a usage message of another node.
  void on_message(std::string_view bytes);

  /// Requests the counts of all nodes and makes this node the reporter.
  void poll_nodes();

  /// Sends the counts to the reporter immediately, before the process exits.
  void send_final_counts();

  const usage::UsageLedger& ledger() const { return this->usage_ledger; }

  /// @return requests that were not counted because too many started at once.
  std::uint64_t dropped_requests() const { return this->counter.dropped_requests(); }
  const usage::WindowClock& window_clock() const { return this->clock; }

  /// @return this node's estimate of true time, in Unix milliseconds.
  usage::UnixMs agreed_now() const;

  /// @return true time at which this process started counting.
  usage::UnixMs counting_since() const;

 private:
  void check_clock();
  void on_call(const UsageCall& call);
  void on_counts(const usage::UsageCounts& message);
  void send_counts(bool all_windows);
  void send_window(usage::WindowNumber window, const std::vector<NodeId>& recipients);
  std::vector<NodeId> recipients() const;
  usage::WindowNumber oldest_window_to_send(bool all_windows) const;

  Runtime& runtime;
  PeerTransport& transport;
  const PeerDirectory& peers;
  std::uint64_t boot;
  bool bootstrap;
  UsageSettings settings;
  usage::WindowClock clock;
  MonotonicTime started_at;
  usage::TrueTime true_time;
  usage::UsageCounter counter;
  usage::UsageLedger usage_ledger;
  NodeId reporter;  ///< Receiver of the counts; empty until the first poll.
  std::uint64_t reporter_boot = 0;
  std::uint64_t send_sequence = 0;
  std::unique_ptr<Periodic> clock_tick;
};

}  // namespace shuntbank::relay
