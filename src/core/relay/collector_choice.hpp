/// @file
/// Which nodes of a zone gather the load of its nodes, and which of them a node listens to.
///
/// No election and no lease: every node ranks the nodes of its zone alike and tells the first two
/// that it does not take for dead. Two nodes that collect at once do no harm, since each hands on a
/// sum of what it was told itself.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::relay {

/// A relay node as it is registered.
struct PeerRecord {
  std::string address;  ///< IP:PORT for messages between nodes.
  ZoneName zone;
  double capacity = 0;  ///< Of the machine, in cores; collectors are the larger ones.

  bool operator==(const PeerRecord&) const = default;
};

/// Nodes by name.
using PeerRecords = std::map<NodeId, PeerRecord>;

/// @return the nodes of a zone, those that should collect first: larger machines first, and by a
/// hash among equal ones. All who know the same nodes get the same order.
std::vector<NodeId> collector_order(const PeerRecords& nodes, const ZoneName& zone);

/// Tunables of the choice.
struct CollectorSelectorSettings {
  std::size_t report_count =
      2;  ///< Collectors that a node tells, so that one may fail without a gap.
  /// A collector that was asked for the view and has not sent it for so long is taken for dead.
  /// Three or four views are missing then.
  Duration view_timeout = std::chrono::milliseconds(400);
  /// After so much silence it is asked again: the message may be lost, or came too early for it.
  Duration view_request_interval = std::chrono::milliseconds(150);
  /// For so long another one is preferred; a restart of a process takes about as long.
  Duration suspect_duration = std::chrono::seconds(5);
};

/// The collectors of one node.
class CollectorSelector {
 public:
  explicit CollectorSelector(const CollectorSelectorSettings& own_settings)
      : settings(own_settings) {}

  /// Takes the order of the zone's nodes.
  void set_order(std::vector<NodeId> nodes);

  /// The collector has sent the view.
  void on_view(MonotonicTime now, const NodeId& collector);

  /// Chooses again where the present collector is silent.
  /// @return the collector that was given up, if one was.
  std::optional<NodeId> poll(MonotonicTime now);

  /// @return whether the collector should be asked again.
  bool should_request_view(MonotonicTime now) const {
    return this->current && now - this->last_view_at > this->settings.view_request_interval;
  }

  /// @return the collector that is asked for the view, if there is any.
  const std::optional<NodeId>& source() const { return this->current; }

  /// @return the collectors that are told this node's load, the source first.
  std::vector<NodeId> report_targets(MonotonicTime now) const;

 private:
  bool is_suspect(MonotonicTime now, const NodeId& node) const;
  void select(MonotonicTime now);

  CollectorSelectorSettings settings;
  std::vector<NodeId> order;
  std::optional<NodeId> current;
  MonotonicTime last_view_at{};  ///< Of the current one; the time of the choice before that.
  std::map<NodeId, MonotonicTime> suspect_until;
};

}  // namespace shuntbank::relay
