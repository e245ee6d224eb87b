/// @file
/// Load state of a collector: the reports of the nodes of its zone, and the sums of the other
/// zones.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/relay/peer_load.hpp"

namespace shuntbank::relay {

/// Position in the message sequence of one process run.
struct MessageNumber {
  std::uint64_t boot = 0;      ///< Random id of the process run.
  std::uint64_t sequence = 0;  ///< Increases with each message of the run.

  /// @return whether this is newer than `last` or of another process run.
  bool follows(const MessageNumber& last) const {
    return this->boot != last.boot || this->sequence > last.sequence;
  }
  bool operator==(const MessageNumber&) const = default;
};

/// Load report of one node: all work that it has in flight.
struct MemberLoad {
  MessageNumber number;
  LoadByKey load;
  bool wants_view = false;  ///< Requests the sum of the fleet.
};

/// A part of another zone's sum, sent by a collector there.
struct ZoneLoad {
  ZoneName zone;
  NodeId collector;
  MessageNumber number;   ///< Shared by all parts of one sum.
  std::size_t nodes = 0;  ///< Nodes included in the sum.
  LoadRange part;
};

/// A node that requests the view.
struct Subscriber {
  NodeId node;
  std::uint64_t last_sequence = 0;  ///< Sequence of its newest report in the sum.
};

/// Tunables of a collector.
struct LoadCollectorSettings {
  /// Reports are dropped after this long. Idle nodes report every second.
  Duration member_timeout = std::chrono::milliseconds(2500);
  /// Beyond this age the sum of the zone's other collector is preferred.
  Duration max_sum_age = std::chrono::milliseconds(400);
};

/// Sums up load reports. Callers pass in the time.
class LoadCollector {
 public:
  explicit LoadCollector(const LoadCollectorSettings& own_settings) : settings(own_settings) {}

  /// Takes the report of a node of this zone. @return false if it is a duplicate or outdated.
  bool on_member_load(MonotonicTime now, const NodeId& node, MemberLoad report);

  /// Takes a part of another zone's sum. @return whether its collector is the selected one of that
  /// zone.
  bool on_zone_load(MonotonicTime now, const ZoneLoad& report);

  /// Drops members and sums that have timed out.
  void expire(MonotonicTime now);

  bool idle() const { return this->members.empty(); }

  /// @return the number of nodes of this zone with a current report.
  std::size_t zone_nodes() const { return this->members.size(); }

  /// @return the summed load of the nodes of this zone.
  LoadByKey zone_load() const;

  /// @return the number of nodes of all zones in the sums.
  std::size_t fleet_nodes(MonotonicTime now) const;

  /// @return the summed load of the nodes of all zones.
  LoadByKey fleet_load(MonotonicTime now) const;

  /// @return the nodes that requested the view.
  std::vector<Subscriber> subscribers() const;

  /// @return the collectors of another zone with a fresh sum.
  std::vector<NodeId> active_collectors(MonotonicTime now, const ZoneName& zone) const;

 private:
  struct Member {
    MonotonicTime received_at{};
    MemberLoad report;
  };
  struct Sum {
    MonotonicTime received_at{};
    MessageNumber number;
    std::size_t nodes = 0;
    LoadByKey load;
  };
  using SumsByCollector = std::map<NodeId, Sum>;
  using SelectedSum = std::optional<SumsByCollector::const_iterator>;

  SelectedSum select_sum(MonotonicTime now, const SumsByCollector& sums) const;

  /// @return for each other zone, the sum of the collector selected for it, if any.
  std::vector<const Sum*> selected_sums(MonotonicTime now) const;

  LoadCollectorSettings settings;
  std::map<NodeId, Member> members;
  std::map<ZoneName, SumsByCollector> other_zone_sums;
};

}  // namespace shuntbank::relay
