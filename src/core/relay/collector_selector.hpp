/// @file
/// Selects the load collectors of a zone: the nodes that a node reports its load to, and the one
/// that it subscribes to.
///
/// There is no election and no lease: all nodes rank the nodes of a zone alike and report to the
/// first two that they do not suspect. Concurrent collectors do no harm, as each sums only what was
/// reported to it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// A registered relay node.
struct PeerRecord {
  std::string address;  ///< IP:PORT for messages between nodes.
  ZoneName zone;
  double capacity = 0;  ///< CPU cores of the machine; larger machines are preferred as collectors.

  bool operator==(const PeerRecord&) const = default;
};

/// Nodes by name.
using PeerRecords = std::map<NodeId, PeerRecord>;

/// @return the nodes of a zone by preference as collector: by descending capacity, then by hash.
/// Equal on all nodes that know the same records.
std::vector<NodeId> collector_order(const PeerRecords& nodes, const ZoneName& zone);

/// Tunables of the selection.
struct CollectorSelectorSettings {
  std::size_t report_count = 2;  ///< Collectors to report to, so that one may fail without a gap.
  /// A collector that sends no view for this long (three or four views missed) is suspected.
  Duration view_timeout = std::chrono::milliseconds(400);
  /// The view is requested again after this long, as the request may have been lost or early.
  Duration view_request_interval = std::chrono::milliseconds(150);
  /// How long a suspected collector is not selected; about the time of a process restart.
  Duration suspect_duration = std::chrono::seconds(5);
};

/// The collectors that one node uses.
class CollectorSelector {
 public:
  explicit CollectorSelector(const CollectorSelectorSettings& own_settings)
      : settings(own_settings) {}

  /// Sets the ranked nodes of the zone; see `collector_order`.
  void set_order(std::vector<NodeId> nodes);

  /// Records a view from the collector.
  void on_view(MonotonicTime now, const NodeId& collector);

  /// Replaces the current collector if its views have timed out. @return the replaced collector, if
  /// any.
  std::optional<NodeId> poll(MonotonicTime now);

  /// @return whether to request the fleet's load view again: the last one is too old.
  bool should_request_view(MonotonicTime now) const {
    return this->current && now - this->last_view_at > this->settings.view_request_interval;
  }

  /// @return the collector that this node receives the fleet's load view from, if any.
  const std::optional<NodeId>& source() const { return this->current; }

  /// @return the collectors to report this node's load to, the source first.
  std::vector<NodeId> report_targets(MonotonicTime now) const;

 private:
  bool is_suspect(MonotonicTime now, const NodeId& node) const;
  void select(MonotonicTime now);

  CollectorSelectorSettings settings;
  std::vector<NodeId> order;
  std::optional<NodeId> current;
  MonotonicTime last_view_at{};  ///< From the current collector; until its first view, the time of
                                 ///< its selection.
  std::map<NodeId, MonotonicTime> suspect_until;
};

}  // namespace shuntbank::relay
