/// @file
/// Gathers what the nodes have counted of the tenants' usage at the node that reports it, and has
/// the nodes agree on true time on the way. What nodes tell is copied to those that would take the
/// report over, so that little is lost with the one that makes it.
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

/// The part of one node.
class UsageExchange {
 public:
  /// All references outlive this.
  /// @param boot drawn at the start of the process.
  /// @param first_start whether the whole system starts: nothing ran before.
  UsageExchange(Runtime& runtime, PeerTransport& transport, const PeerDirectory& peers,
                std::uint64_t boot, bool first_start, const UsageSettings& settings);

  /// A request of the tenant has begun to run at an engine.
  void on_began(const TenantName& tenant);

  /// A message of another node about usage.
  void on_message(std::string_view bytes);

  /// Asks all nodes for what they have counted: this one reports it.
  void call();

  /// Tells the reporter at once: the process is to end.
  void tell_last();

  const usage::UsageLedger& ledger() const { return this->told; }

  /// @return requests that could not be counted, since too many began at once.
  std::uint64_t left_out() const { return this->counter.dropped_requests(); }
  const usage::WindowClock& windows() const { return this->clock; }

  /// @return true time as far as this node knows, in milliseconds since the start of 1970.
  usage::UnixMs agreed_now() const;

  /// @return when this process began to count, by true time.
  usage::UnixMs counting_since() const;

 private:
  void look_at_clock();
  void on_call(const UsageCall& call);
  void on_told(const usage::UsageCounts& told);
  void tell(bool all);
  void tell_window(usage::WindowNumber window, const std::vector<NodeId>& listeners);
  std::vector<NodeId> listeners() const;
  usage::WindowNumber oldest_told(bool all) const;

  Runtime& runtime;
  PeerTransport& transport;
  const PeerDirectory& peers;
  std::uint64_t boot;
  bool first_start;
  UsageSettings settings;
  usage::WindowClock clock;
  MonotonicTime started_at;
  usage::TrueTime time;
  usage::UsageCounter counter;
  usage::UsageLedger told;
  NodeId reporter;  ///< Whom this node tells; empty while nobody has asked.
  std::uint64_t reporter_boot = 0;
  std::uint64_t tellings = 0;
  std::unique_ptr<Periodic> clock_tick;
};

}  // namespace shuntbank::relay
