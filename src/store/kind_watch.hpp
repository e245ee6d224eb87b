/// @file
/// Keeps up with all objects of one kind: lists, watches on, and lists again when the history is
/// gone.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "common/runtime.hpp"
#include "store/object_store.hpp"

namespace shuntbank::store {

/// Timing of a watch.
struct KindWatchSettings {
  Duration wait = std::chrono::seconds(3);  ///< Longest wait of one call; finds a silent store.
  Duration wait_slack = std::chrono::milliseconds(700);  ///< Behind `wait`, until the call fails.
  /// Behind a batch with changes, until the next call: changes that come close together share one.
  Duration batch_delay = std::chrono::milliseconds(300);
  /// The answer to a call must have begun within this time after somebody else has seen a change,
  /// or else the call is taken for lost. Twice as long after each call that was given up, so that a
  /// store which answers later than this is heard as well.
  Duration hint_grace = std::chrono::milliseconds(500);
  Duration max_hint_grace = std::chrono::seconds(4);
  /// Only the newest state matters, and it is no larger than a change: a watch that is behind reads
  /// the state instead of all that led to it.
  bool newest_only = false;
  /// Behind an answer, times what its bytes took: with the answer itself, a third of a link is the
  /// most that a watch takes from callers while changes keep coming.
  double pause_per_transfer_time = 2;
  /// At most so long behind an answer, or else changes would come into force too late.
  Duration max_pause = std::chrono::milliseconds(800);
  /// A list must have begun within this time. Twice as long after each that had not, up to the
  /// longest: a store that is slower for the work of such lists must not do it for nothing. The
  /// longest is what is lost where a store was silent and never answers the calls of that time.
  Duration list_timeout = std::chrono::milliseconds(1500);
  Duration max_list_timeout = std::chrono::seconds(3);
  Duration initial_backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::milliseconds(800);
  Freshness freshness = Freshness::kLatest;  ///< Of lists and watches until told otherwise.
  /// A first list that may lag is handed on only with what came after it. Not needed where no
  /// harm comes from old news.
  bool confirm_first_list = true;
};

/// What a watch tells.
struct KindWatchHandlers {
  std::function<void(const ObjectList&)> on_list;  ///< The whole state; replaces what was known.
  std::function<void(const ObjectChange&)> on_change;  ///< In the order of the store.
};

/// The watch of one kind. Goes on until it is destroyed; serves the last known state meanwhile.
class KindWatch {
 public:
  KindWatch(Runtime& runtime, ObjectStore& store, std::string kind,
            const KindWatchSettings& settings, KindWatchHandlers handlers);
  ~KindWatch();
  KindWatch(const KindWatch&) = delete;
  KindWatch& operator=(const KindWatch&) = delete;

  /// @return when the state was last confirmed by the store, or the epoch of the clock.
  MonotonicTime confirmed_at() const;

  /// @return when the store last said that nothing newer is known, or the epoch of the clock. An
  /// answer that may lag says no such thing.
  MonotonicTime confirmed_latest_at() const;

  /// @return whether the last call failed.
  bool lost() const;

  /// Sets the longest wait of the calls that follow. Must stay below the store's history.
  void set_wait(Duration wait);

  /// Sets how long changes are gathered from the next batch on.
  void set_batch_delay(Duration batch_delay);

  /// Sets the longest pause between calls that fail.
  void set_max_backoff(Duration backoff);

  /// Sets how fresh the answers of the calls that follow must be. Where others read the latest and
  /// give hints, a watch may lag: a hint of something newer makes it ask for the latest.
  void set_freshness(Freshness freshness);

  /// @return the revision of the newest change that this watch has seen; 0: none.
  std::uint64_t newest_change() const;

  /// Somebody else has seen a change at `revision`. Where no answer begins here soon, the call
  /// under way is given up and made again: the store answers others, and this call is deaf. One
  /// that is receiving goes on: what it brings is at most a change older, and asking again would
  /// make the link carry it twice.
  void hint(std::uint64_t revision);

  /// Somebody else has brought the state as of `revision`: changes up to there are not asked for.
  void advance(std::uint64_t revision);

  /// @return whether bytes of an answer have come that is not whole yet.
  bool receiving() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shuntbank::store
