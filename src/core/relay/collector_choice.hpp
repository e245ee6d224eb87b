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
struct CollectorChoiceSettings {
  std::size_t told = 2;  ///< Collectors that a node tells, so that one may fail without a gap.
  /// A collector that was asked for the view and has not sent it for so long is taken for dead.
  /// Three or four views are missing then.
  Duration silence = std::chrono::milliseconds(400);
  /// After so much silence it is asked again: the message may be lost, or came too early for it.
  Duration ask_again = std::chrono::milliseconds(150);
  /// For so long another one is preferred; a restart of a process takes about as long.
  Duration suspicion = std::chrono::seconds(5);
};

/// The collectors of one node.
class CollectorChoice {
 public:
  explicit CollectorChoice(const CollectorChoiceSettings& own_settings) : settings(own_settings) {}

  /// Takes the order of the zone's nodes.
  void set_order(std::vector<NodeId> nodes);

  /// The collector has sent the view.
  void on_view(MonotonicTime now, const NodeId& collector);

  /// Chooses again where the present collector is silent.
  /// @return the collector that was given up, if one was.
  std::optional<NodeId> poll(MonotonicTime now);

  /// @return whether the collector should be asked again.
  bool waits(MonotonicTime now) const {
    return this->chosen && now - this->heard_at > this->settings.ask_again;
  }

  /// @return the collector that is asked for the view, if there is any.
  const std::optional<NodeId>& source() const { return this->chosen; }

  /// @return the collectors that are told this node's load, the source first.
  std::vector<NodeId> told(MonotonicTime now) const;

 private:
  bool suspected(MonotonicTime now, const NodeId& node) const;
  void choose(MonotonicTime now);

  CollectorChoiceSettings settings;
  std::vector<NodeId> order;
  std::optional<NodeId> chosen;
  MonotonicTime heard_at{};  ///< Of the chosen one; the time of the choice before that.
  std::map<NodeId, MonotonicTime> suspected_until;
};

}  // namespace shuntbank::relay
