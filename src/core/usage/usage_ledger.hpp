/// @file
/// Usage counts received from the nodes, at the reporting node and its backups.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "core/usage/usage_window.hpp"

namespace shuntbank::usage {

/// Counts of one node in one window, or a part of them.
struct UsageCounts {
  NodeId node;
  std::uint64_t boot = 0;  ///< Random identifier of the process start.
  std::uint64_t sequence =
      0;             ///< Grows with each report of one process; all parts of a report share it.
  UnixMs clock = 0;  ///< The node's local time when it sent this.
  UnixMs counted_until =
      0;  ///< Requests started before it are included. The node's estimate of true time.
  UnixMs counting_since = 0;  ///< True time at which the process started counting.
  WindowNumber window = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  TenantCounts counts;

  bool operator==(const UsageCounts&) const = default;
};

/// Settings of the ledger.
struct UsageLedgerSettings {
  WindowClock window_clock;
  /// A node silent for this long is not waited for.
  Duration node_timeout = std::chrono::milliseconds(3500);
  /// Number of past windows retained.
  WindowNumber retained_windows = 8;
  /// Fraction of the known nodes that must have counted a whole window. Below it, the reported
  /// usage would be too low and could not be corrected later.
  double min_coverage = 0.5;
};

/// Sums up the counts of all nodes. Counts of one incarnation of a node replace its earlier ones of
/// the same window, so that lost or duplicate messages do no harm; ended incarnations still count.
class UsageLedger {
 public:
  explicit UsageLedger(const UsageLedgerSettings& own_settings) : settings(own_settings) {}

  /// Counts were received from a node.
  /// @param current the window that is open now. Counts for later windows, from a node with a wrong
  /// clock, are rejected.
  /// @return whether the counts were new.
  bool on_counts(MonotonicTime now, WindowNumber current, const UsageCounts& report);

  /// @return whether all live nodes have counted the window to its end.
  bool complete(MonotonicTime now, WindowNumber window) const;

  /// @return whether enough nodes have counted the whole window.
  bool covered(WindowNumber window) const;

  /// @return the counts of all nodes in the window.
  TenantCounts sum(WindowNumber window) const;

  /// @return the number of nodes heard from within the timeout.
  std::size_t live_nodes(MonotonicTime now) const;

 private:
  /// Counts of one incarnation in one window. They apply once all parts of a send have arrived.
  struct NodeCounts {
    std::uint64_t sequence = 0;
    std::set<std::uint32_t> parts;
    TenantCounts partial_counts;
    UnixMs counted_until = 0;
    TenantCounts counts;
  };
  /// The newest incarnation of a node.
  struct Incarnation {
    std::uint64_t boot = 0;
    MonotonicTime received_at{};
    UnixMs counting_since = 0;
  };
  using IncarnationKey = std::pair<NodeId, std::uint64_t>;

  void expire(MonotonicTime now, WindowNumber current);

  UsageLedgerSettings settings;
  std::map<NodeId, Incarnation> incarnations;
  std::map<WindowNumber, std::map<IncarnationKey, NodeCounts>> received;
};

}  // namespace shuntbank::usage
