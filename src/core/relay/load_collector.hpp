/// @file
/// What a collector knows: the load of the nodes that tell it, and the sums of the other zones.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/relay/peer_load.hpp"

namespace shuntbank::relay {

/// A place in the messages of one start of a process.
struct MessageNumber {
  std::uint64_t boot = 0;      ///< Drawn at the start of the process.
  std::uint64_t sequence = 0;  ///< Rises with each message of one start.

  /// @return whether a message with this number may follow one with `last`: it is of another start,
  /// or newer.
  bool follows(const MessageNumber& last) const {
    return this->boot != last.boot || this->sequence > last.sequence;
  }
  bool operator==(const MessageNumber&) const = default;
};

/// All that one node has under way.
struct MemberLoad {
  MessageNumber number;
  LoadByKey load;
  bool wants_view = false;  ///< Asks to be sent the sum of the fleet.
};

/// A part of the sum of another zone, as a collector there sends it.
struct ZoneLoad {
  ZoneName zone;
  NodeId collector;
  MessageNumber number;   ///< The parts of one sum share it.
  std::size_t nodes = 0;  ///< Whose load is in the sum.
  LoadRange part;
};

/// A node that asks for the view.
struct Subscriber {
  NodeId node;
  std::uint64_t last_sequence = 0;  ///< Its newest message in the sum.
};

/// Tunables of a collector.
struct LoadCollectorSettings {
  /// A node that was not heard of for so long has nothing under way as far as others can tell. Idle
  /// nodes tell so each second.
  Duration member_timeout = std::chrono::milliseconds(2500);
  /// A sum that is older than this gives way to that of the zone's other collector.
  Duration max_sum_age = std::chrono::milliseconds(400);
};

/// Sums up. Knows no clock: callers pass the time in.
class LoadCollector {
 public:
  explicit LoadCollector(const LoadCollectorSettings& own_settings) : settings(own_settings) {}

  /// A node of this zone tells its load. @return whether it was news.
  bool on_member_load(MonotonicTime now, const NodeId& node, MemberLoad report);

  /// A collector of another zone tells its sum. @return whether this collector is the one whose
  /// word is taken for that zone.
  bool on_zone_load(MonotonicTime now, const ZoneLoad& report);

  /// Forgets who was not heard of for long.
  void expire(MonotonicTime now);

  bool idle() const { return this->members.empty(); }

  /// @return nodes of this zone whose load is known.
  std::size_t zone_nodes() const { return this->members.size(); }

  /// @return what they have under way.
  LoadByKey zone_load() const;

  /// @return nodes of all zones whose load is known.
  std::size_t fleet_nodes(MonotonicTime now) const;

  /// @return what they have under way.
  LoadByKey fleet_load(MonotonicTime now) const;

  /// @return the nodes that want the view.
  std::vector<Subscriber> subscribers() const;

  /// @return the collectors of another zone that were heard lately.
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

  /// @return the sum that is taken of each other zone.
  std::vector<const Sum*> selected_sums(MonotonicTime now) const;

  LoadCollectorSettings settings;
  std::map<NodeId, Member> members;
  std::map<ZoneName, SumsByCollector> zones;
};

}  // namespace shuntbank::relay
