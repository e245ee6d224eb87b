/// @file
/// Planned stage changes between their announcement and the moment when the list of engines shows
/// the new stage. Decides when a notice is repeated or withdrawn and when the order goes out.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/stage_notice.hpp"
#include "core/relay/stage_planner.hpp"

namespace shuntbank::relay {

/// Tunables of the queue.
struct StageChangeSettings {
  /// From the first notice to the order; at least the time that a notice needs to reach all nodes.
  Duration notice_lead = std::chrono::milliseconds(290);
  /// Three ticks of 400 ms and the lead, so that a node that misses two repetitions still holds the
  /// notice. Shorter than a lease, so that none is left when the next holder begins.
  Duration notice_validity = std::chrono::milliseconds(1500);
  /// How long an order may be put off while requests wait for a slot at the engine, as the order
  /// would have them refused. With 16 streams of 2 s a slot becomes free each 125 ms, so a queue
  /// of half the slots is gone within this.
  Duration max_queue_wait = std::chrono::seconds(1);
  /// From the order until its effect is overdue: carried out 3 s late, 2 s to complete what runs,
  /// 3 s to change. Must stay below the planner's `engine_cooldown`.
  Duration effect_timeout = std::chrono::seconds(8);
  std::size_t max_announced = 32;  ///< Changes that are announced and not yet ordered.
  /// Changes with a standing notice. Bounds what repeating them costs each node: 13 bytes each
  /// 400 ms, 3.1 KB a second in total. Covers a tenth of 640 engines each 3 s.
  std::size_t max_standing = 96;
};

/// What to do about a change.
enum class StageChangeAction {
  kNotify,    ///< Repeat the notice.
  kOrder,     ///< Give the order. The notice stands and is repeated too.
  kWithdraw,  ///< Withdraw the notice: no order was or will be given.
  kComplete,  ///< The list of engines shows the new stage; the notice needs no repetition.
  kExpire,    ///< The effect of the order is overdue; let the notice expire.
};

/// A change and what to do about it.
struct StageChangeStep {
  StageChangeAction action = StageChangeAction::kNotify;
  StageChange change;
  std::uint64_t fence = 0;
  bool ordered = false;             ///< An order was or is being given.
  const char* why = "";             ///< Of a withdrawal or expiry.
  Duration age = Duration::zero();  ///< Since the first notice.
};

/// Changes under way of one lease holder. Callers pass in the time.
class StageChangeQueue {
 public:
  explicit StageChangeQueue(const StageChangeSettings& settings) : settings_(settings) {}

  /// @return whether the action ends the change.
  static bool ends(StageChangeAction action);

  /// @return whether another change may be announced now.
  bool has_room() const {
    return entries_.size() < settings_.max_standing && announced_count() < settings_.max_announced;
  }

  /// Adds a change whose notice is sent now. @return false if one of that engine is under way.
  bool announce(MonotonicTime now, const StageChange& change, std::uint64_t fence);

  /// Decides on all changes. Those to be withdrawn, completed or expired are removed, those to be
  /// ordered count as being ordered. @param still_wanted whether the planner wants a change that is
  /// not yet ordered. @param max_orders at most so many orders.
  std::vector<StageChangeStep> poll(MonotonicTime now, const EngineDirectory& engines,
                                    const std::function<bool(const StageChange&)>& still_wanted,
                                    std::size_t max_orders);

  /// The order was sent, or is known to be in progress already.
  void on_ordered(MonotonicTime now, const EngineId& engine);

  /// No order was given, or the engine rejected it. @return the withdrawal, or nothing if no change
  /// of the engine is under way.
  std::optional<StageChangeStep> cancel(MonotonicTime now, const EngineId& engine, const char* why);

  /// Drops all changes of leases before this one. @return them as expired.
  std::vector<StageChangeStep> drop_before(MonotonicTime now, std::uint64_t fence);

  /// @return the notice to send for a change.
  StageNotice notice(const StageChange& change, std::uint64_t fence) const {
    return {change.stage, fence, settings_.notice_validity};
  }

  std::size_t size() const { return entries_.size(); }

 private:
  /// A change is announced, then being ordered (the engine is asked first), then ordered.
  enum class State { kAnnounced, kOrdering, kOrdered };
  struct Entry {
    EngineStage stage = EngineStage::kDecode;
    std::uint64_t fence = 0;
    State state = State::kAnnounced;
    MonotonicTime announced_at{};
    MonotonicTime ordered_at{};
  };

  std::size_t announced_count() const;
  StageChangeStep decide(MonotonicTime now, const EngineId& id, const Entry& entry,
                         const EngineView* engine,
                         const std::function<bool(const StageChange&)>& still_wanted) const;
  bool may_order(MonotonicTime now, const Entry& entry, const EngineView& engine) const;

  StageChangeSettings settings_;
  std::map<EngineId, Entry> entries_;
  std::optional<MonotonicTime> polled_at_;  ///< When notices were last repeated.
};

}  // namespace shuntbank::relay
