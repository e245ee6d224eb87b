/// @file
/// Follows all objects of one kind: lists them, watches for changes, and lists again when the store
/// no longer has the history.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "common/runtime.hpp"
#include "store/object_store.hpp"

namespace shuntbank::store {

/// Timing and consistency of a watch.
struct KindWatchSettings {
  Duration wait = std::chrono::seconds(3);               ///< Longest wait of a watch call.
  Duration wait_slack = std::chrono::milliseconds(700);  ///< Added to `wait` for the timeout.
  /// Least delay between a batch with changes and the next call, so that changes are batched.
  Duration batch_delay = std::chrono::milliseconds(300);
  /// If no answer to a watch call has begun within this time after a hint, another one is made
  /// beside it, and replaced at this interval. The first one continues for a store that is slow.
  Duration hint_grace = std::chrono::milliseconds(500);
  /// Only the newest state matters, and the whole state is no larger than a single change: a watch
  /// that is behind lists the state instead of receiving every change.
  bool newest_only = false;
  /// Pause after an answer, as a multiple of its transfer time. With 2, a watch uses at most a
  /// third of the link while changes keep arriving.
  double pause_per_transfer_time = 2;
  /// Upper limit of that pause, so that changes become active in time.
  Duration max_pause = std::chrono::milliseconds(800);
  /// Timeout until the answer begins to a call that does not wait for changes: a list, or the watch
  /// that confirms one. Doubled after each timeout up to the maximum, so that a slow store does not
  /// work on such calls in vain. The maximum bounds the delay after an outage in which calls were
  /// lost.
  Duration answer_timeout = std::chrono::milliseconds(1500);
  Duration max_answer_timeout = std::chrono::seconds(3);
  Duration initial_backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::milliseconds(800);
  Freshness freshness = Freshness::kLatest;  ///< Initial one; see `set_freshness`.
  /// A first list read with `kMayLag` is reported only after a watch has returned the changes
  /// since. Not needed where stale data does no harm.
  bool confirm_first_list = true;
};

/// Callbacks of a watch.
struct KindWatchHandlers {
  std::function<void(const ObjectList&)> on_list;  ///< Complete state; replaces the previous one.
  std::function<void(const ObjectChange&)> on_change;  ///< In store order.
  /// Follows the other two: all changes up to this revision have been passed on.
  std::function<void(std::uint64_t revision)> on_revision = nullptr;
};

/// Watches one kind until it is destroyed, and retries with backoff while the store fails.
class KindWatch {
 public:
  KindWatch(Runtime& runtime, ObjectStore& store, std::string kind,
            const KindWatchSettings& settings, KindWatchHandlers handlers);
  ~KindWatch();
  KindWatch(const KindWatch&) = delete;
  KindWatch& operator=(const KindWatch&) = delete;

  /// @return when the store last answered; `MonotonicTime{}`: never.
  MonotonicTime confirmed_at() const;

  /// @return when the store last answered with `Freshness::kLatest`; `MonotonicTime{}`: never.
  MonotonicTime confirmed_latest_at() const;

  /// @return whether the last call failed.
  bool lost() const;

  /// Sets the longest wait of a call. Must be shorter than the time for which the store keeps past
  /// changes. A call in flight is replaced if the wait is at most half of what it was.
  void set_wait(Duration wait);

  /// Sets the delay between a batch and the next call.
  void set_batch_delay(Duration batch_delay);

  /// Sets the maximum backoff between failed calls.
  void set_max_backoff(Duration backoff);

  /// Sets the freshness of later calls. `kMayLag` suffices where other nodes read the latest state
  /// and give hints: a hint of a newer revision makes the watch request the latest.
  void set_freshness(Freshness freshness);

  /// @return the newest revision of a change that this watch knows; 0: none.
  std::uint64_t newest_change() const;

  /// Reports that another node has seen a change at `revision`. If no answer begins within the hint
  /// grace, the call in flight is repeated beside it. A call that is already receiving is not, as
  /// that would transfer the data twice.
  void hint(std::uint64_t revision);

  /// Reports that the state at `revision` came from elsewhere; earlier changes are not requested.
  void advance(std::uint64_t revision);

  /// Reports that the complete state at `revision` came from elsewhere, so that no list is needed.
  /// @param newest_change revision of its last change.
  void adopt(std::uint64_t revision, std::uint64_t newest_change);

  /// Makes no calls until `resume`, and cancels the one in flight.
  void suspend();

  /// Continues from the known state.
  void resume();

  bool suspended() const;

  /// @return whether an answer has been received in part.
  bool receiving() const;

  /// @return for how long a change has been hinted that this watch lacks; zero if none.
  Duration behind_for() const;

  /// @return the newest revision that was hinted; 0: none.
  std::uint64_t newest_hint() const;

  /// Logs how far this watch is behind, once a hinted change is missing for a second, and again
  /// after twice the time. Called regularly.
  void report_lag();

  /// @return what the watch is doing, for logs: `list`, `watch`, `pause` or `suspended`.
  const char* activity() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shuntbank::store
