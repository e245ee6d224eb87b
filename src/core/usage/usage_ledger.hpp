/// @file
/// What the nodes have told of their usage, at the node that reports it and at those that stand by.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "core/usage/usage_window.hpp"

namespace shuntbank::usage {

/// A part of what one node has counted in one window.
struct UsageCounts {
  NodeId node;
  std::uint64_t boot = 0;      ///< Drawn at the start of the process.
  std::uint64_t sequence = 0;  ///< Rises with each telling of one start; its parts share it.
  UnixMs clock = 0;            ///< The node's own clock when it told.
  UnixMs counted_until = 0;    ///< True time, as the node knows it: all that began before is in.
  UnixMs counting_since = 0;   ///< True time at which the process began to count.
  WindowNumber window = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  TenantCounts counts;

  bool operator==(const UsageCounts&) const = default;
};

/// Tunables of the ledger.
struct UsageLedgerSettings {
  WindowClock window_clock;
  /// A node that was not heard of for so long is not waited for.
  Duration node_timeout = std::chrono::milliseconds(3500);
  /// Windows that are remembered.
  WindowNumber retained_windows = 8;
  /// Of the nodes heard, the part that must have counted through a whole window: less would tell a
  /// tenant that he has used less than he has, which nobody could put right later.
  double min_coverage = 0.5;
};

/// Sums up. Counts of one start of a node replace earlier ones of the same window, so that a lost
/// or doubled message changes nothing; counts of incarnations that have ended stay.
class UsageLedger {
 public:
  explicit UsageLedger(const UsageLedgerSettings& own_settings) : settings(own_settings) {}

  /// A node has told.
  /// @param current the window that is open now. A node whose clock is wrong, and does not know it
  /// yet, tells of windows that are still to come; these are not taken.
  /// @return whether it was news.
  bool on_counts(MonotonicTime now, WindowNumber current, const UsageCounts& report);

  /// @return whether all nodes that are heard have counted the window to its end.
  bool complete(MonotonicTime now, WindowNumber window) const;

  /// @return whether enough nodes have counted through the whole window.
  bool covered(WindowNumber window) const;

  /// @return what all nodes have told of the window.
  TenantCounts sum(WindowNumber window) const;

  /// @return nodes that are heard of now.
  std::size_t live_nodes(MonotonicTime now) const;

 private:
  /// What one start of a node has told of one window. A telling counts once all its parts are here.
  struct NodeCounts {
    std::uint64_t sequence = 0;
    std::set<std::uint32_t> parts;
    TenantCounts partial_counts;
    UnixMs counted_until = 0;
    TenantCounts counts;
  };
  /// The newest start of a node.
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
