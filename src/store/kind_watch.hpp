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
  Duration gather = std::chrono::milliseconds(300);
  /// A change that somebody else has seen must have come here within this time, or else the call
  /// under way is taken for lost.
  Duration hint_grace = std::chrono::milliseconds(500);
  Duration list_timeout = std::chrono::milliseconds(1500);
  Duration first_backoff = std::chrono::milliseconds(50);
  Duration longest_backoff = std::chrono::milliseconds(800);
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
  void set_gather(Duration gather);

  /// Sets the longest pause between calls that fail.
  void set_longest_backoff(Duration backoff);

  /// Sets how fresh the answers of the calls that follow must be. Where others read the latest and
  /// give hints, a watch may lag: a hint of something newer makes it ask for the latest.
  void set_freshness(Freshness freshness);

  /// @return the revision of the newest change that this watch has seen; 0: none.
  std::uint64_t newest_change() const;

  /// Somebody else has seen a change at `revision`. Where it does not arrive here soon, the call
  /// under way is given up and made again: the store answers others, and this call is deaf.
  void hint(std::uint64_t revision);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shuntbank::store
