#include "store/kind_watch.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "common/log.hpp"
#include "store/revision_lag.hpp"

namespace shuntbank::store {
namespace {

/// Relative jitter of the wait and the backoff, so that nodes don't call at the same time.
constexpr double kWaitSpread = 0.2;
constexpr double kBackoffSpread = 0.5;

/// A watch that lacks a hinted change for this long logs it.
constexpr Duration kFirstLagReport = std::chrono::seconds(1);

/// For a watch that only checks for newer changes.
constexpr Duration kNoWait = std::chrono::milliseconds(1);

}  // namespace

const char* to_text(Freshness freshness) {
  return freshness == Freshness::kLatest ? "latest" : "may_lag";
}

const char* to_text(StoreError error) {
  switch (error) {
    case StoreError::kNotDone:
      return "not_done";
    case StoreError::kUncertain:
      return "uncertain";
    case StoreError::kConflict:
      return "conflict";
    case StoreError::kMissing:
      return "missing";
    case StoreError::kHistoryGone:
      return "history_gone";
    case StoreError::kMalformed:
      return "malformed";
  }
  return "unknown";
}

class KindWatch::Impl : public std::enable_shared_from_this<KindWatch::Impl> {
 public:
  Impl(Runtime& runtime, ObjectStore& store, std::string kind, const KindWatchSettings& settings,
       KindWatchHandlers handlers)
      : runtime_(runtime),
        store_(store),
        kind_(std::move(kind)),
        settings_(settings),
        handlers_(std::move(handlers)),
        backoff_(settings.initial_backoff),
        answer_timeout_(settings.answer_timeout),
        wait_(settings.wait),
        freshness_(settings.freshness),
        confirm_next_list_(settings.confirm_first_list) {}

  void list() { list(freshness_); }

  void list(Freshness freshness) {
    cancel_calls();
    const std::uint64_t number = begin_call(CallKind::kList, freshness);
    calls_.back().id = store_.list(kind_, freshness, answer_timeout_,
                                   [weak = weak_from_this(), number](auto list) {
                                     if (const auto self = weak.lock())
                                       self->on_ended(number, std::move(list), &Impl::on_list);
                                   });
  }

  void stop() { stopped_ = true; }

  void hint(std::uint64_t revision) {
    lag_.on_hint(runtime_.now(), revision);
    if (suspended_ || hint_timer_ || !listed_ || !behind_hint()) return;
    if (watching()) return start_hint_timer();
    // A list in flight returns the newer state anyway.
    if (calls_.empty() && lost) expedite_retry();
  }

  void advance(std::uint64_t revision) {
    if (revision <= revision_ || !listed_) return;
    update_revision(revision);
    newest_change = std::max(newest_change, revision);
    if (calls_.empty() || behind_hint()) return;
    // The call in flight would return known changes and take bandwidth from callers.
    cancel_calls();
    schedule(settings_.batch_delay, [](Impl& self) { self.start_next_call(); });
  }

  Duration behind_for() const { return lag_.behind_for(runtime_.now()); }

  void report_lag() {
    const Duration lag = behind_for();
    if (lag < kFirstLagReport) next_lag_report_ = kFirstLagReport;
    if (lag < next_lag_report_) return;
    next_lag_report_ = 2 * lag;
    log_event(LogArea::kPlatform, LogLevel::kWarning, "watch_behind",
              {{"kind", kind_},
               {"revision", revision_},
               {"others_have", lag_.newest()},
               {"behind_ms", whole_ms(lag)},
               {"call", activity()},
               {"receiving", receiving()},
               {"answer_age_ms", whole_ms(runtime_.now() - confirmed_at)}});
  }

  std::uint64_t newest_hint() const { return lag_.newest(); }

  void adopt(std::uint64_t revision, std::uint64_t newest) {
    newest_change = std::max(newest_change, newest);
    if (listed_ && revision <= revision_) return;
    const bool was_listed = std::exchange(listed_, true);
    unconfirmed_list_.reset();
    update_revision(revision);
    if (calls_.empty() || (was_listed && behind_hint())) return;
    // The call in flight would return known state.
    cancel_calls();
    schedule(settings_.batch_delay, [](Impl& self) { self.start_next_call(); });
  }

  void suspend() {
    if (std::exchange(suspended_, true)) return;
    // A list that was not confirmed has not been applied.
    if (std::exchange(unconfirmed_list_, std::nullopt)) listed_ = false;
    cancel_calls();
    timer_.reset();
    hint_timer_.reset();
  }

  void resume() {
    if (std::exchange(suspended_, false)) start_next_call();
  }

  bool suspended() const { return suspended_; }

  const char* activity() const {
    if (suspended_) return "suspended";
    if (calls_.empty()) return "pause";
    return watching() ? "watch" : "list";
  }

  bool receiving() const {
    return std::any_of(calls_.begin(), calls_.end(),
                       [this](const Call& call) { return store_.received(call.id) > 0; });
  }

  void set_wait(Duration wait) {
    const bool much_shorter = 2 * wait <= std::exchange(wait_, wait);
    if (much_shorter && watching() && !receiving()) watch();
  }
  void set_batch_delay(Duration batch_delay) { settings_.batch_delay = batch_delay; }
  void set_max_backoff(Duration backoff) { settings_.max_backoff = backoff; }

  void set_freshness(Freshness freshness) {
    if (std::exchange(freshness_, freshness) == freshness) return;
    log_event(LogArea::kPlatform, LogLevel::kInfo, "store_reading",
              {{"kind", kind_}, {"freshness", to_text(freshness)}});
    if (freshness != Freshness::kLatest || !watching() || receiving()) return;
    // No other node gives hints any more, and the call in flight may miss changes.
    watch();
  }

  MonotonicTime confirmed_at{};
  MonotonicTime confirmed_latest_at{};
  std::uint64_t newest_change = 0;
  bool lost = false;

 private:
  enum class CallKind { kList, kWatch };

  /// A call in flight.
  struct Call {
    std::uint64_t number = 0;  ///< By which its handler recognizes it.
    CallKind kind = CallKind::kWatch;
    Freshness freshness = Freshness::kLatest;
    MonotonicTime started_at{};
    CallId id = 0;  ///< The store's.
  };

  /// Registers a new call. @return its number.
  std::uint64_t begin_call(CallKind kind, Freshness freshness) {
    retry_expedited_ = false;
    calls_.push_back({++call_number_, kind, freshness, runtime_.now()});
    return call_number_;
  }

  /// Ends a call and passes on its result. A failure is ignored while another call is in flight.
  template <typename Value, typename Handler>
  void on_ended(std::uint64_t number, tl::expected<Value, StoreError> result, Handler handler) {
    const auto found = std::find_if(calls_.begin(), calls_.end(),
                                    [number](const Call& call) { return call.number == number; });
    if (stopped_ || found == calls_.end()) return;
    const Call call = *found;
    calls_.erase(found);
    const bool answered = result || result.error() == StoreError::kHistoryGone;
    if (!result && result.error() == StoreError::kUncertain) on_timeout(call);
    if (!answered && !calls_.empty()) return;
    cancel_calls();
    (this->*handler)(call, std::move(result));
  }

  void on_timeout(const Call& call) {
    if (call.kind == CallKind::kWatch && !unconfirmed_list_) return;
    answer_timeout_ = std::min(2 * answer_timeout_, settings_.max_answer_timeout);
  }

  bool watching() const { return !calls_.empty() && calls_.front().kind == CallKind::kWatch; }

  /// Cancels all calls in flight and stops the transfer of their answers.
  void cancel_calls() {
    while (!calls_.empty()) cancel_newest_call();
  }

  void cancel_newest_call() {
    store_.cancel(calls_.back().id);
    calls_.pop_back();
  }

  bool behind_hint() const { return lag_.behind(); }

  void update_revision(std::uint64_t revision) {
    revision_ = std::max(revision_, revision);
    lag_.on_reached(revision_);
  }

  /// Starts a list or a watch, depending on the known state.
  void start_next_call() {
    if (!listed_) return list();
    // A watch would return every change since, each as large as the state itself.
    if (settings_.newest_only && (behind_hint() || falling_behind_)) {
      return list(Freshness::kLatest);
    }
    watch();
  }

  void on_list(const Call& call, tl::expected<ObjectList, StoreError> list) {
    if (!list) return retry("list", list.error());
    on_success(call.freshness);
    const bool was_listed = std::exchange(listed_, true);
    const bool confirm = call.freshness == Freshness::kMayLag && confirm_next_list_;
    confirm_next_list_ = true;
    if (confirm) {
      // The list may be older than the known state. It is applied once a watch has returned the
      // changes since.
      unconfirmed_list_ = std::move(*list);
      return watch();
    }
    apply_list(*list);
    if (!was_listed) return watch();
    schedule_next_call(list->transfer_time);
  }

  void apply_list(const ObjectList& list) {
    const std::uint64_t before = newest_change;
    update_revision(list.revision);
    for (const StoredObject& object : list.objects) record_change(object);
    // While every list brings a newer state, there is probably another one by now.
    falling_behind_ = falling_behind_ && newest_change > before;
    log_event(LogArea::kPlatform, LogLevel::kInfo, "kind_listed",
              {{"kind", kind_},
               {"objects", list.objects.size()},
               {"revision", revision_},
               {"transfer_ms", whole_ms(list.transfer_time)}});
    handlers_.on_list(list);
    report_revision();
  }

  void report_revision() const {
    if (handlers_.on_revision) handlers_.on_revision(revision_);
  }

  void watch() {
    cancel_calls();
    start_watch(freshness_);
  }

  void start_watch(Freshness freshness) {
    if (stopped_) return;
    if (unconfirmed_list_) freshness = Freshness::kLatest;
    const std::uint64_t number = begin_call(CallKind::kWatch, freshness);
    if (behind_hint() && !hint_timer_) start_hint_timer();
    const std::uint64_t revision = unconfirmed_list_ ? unconfirmed_list_->revision : revision_;
    const Duration wait = unconfirmed_list_ ? kNoWait : jittered(wait_, kWaitSpread);
    // A call that confirms a list is repeated until it succeeds, so that it needs a timeout that
    // adapts to the store, as a list does.
    const Duration answer_timeout = unconfirmed_list_ ? answer_timeout_ : settings_.wait_slack;
    calls_.back().id = store_.watch(kind_, revision, freshness, wait, wait + answer_timeout,
                                    [weak = weak_from_this(), number](auto batch) {
                                      if (const auto self = weak.lock())
                                        self->on_ended(number, std::move(batch), &Impl::on_batch);
                                    });
  }

  /// Cuts the backoff short: a hint shows that the store answers other nodes.
  void expedite_retry() {
    if (std::exchange(retry_expedited_, true)) return;
    schedule(settings_.initial_backoff, [](Impl& self) { self.start_next_call(); });
  }

  /// Starts the grace period in which the hinted change should arrive.
  void start_hint_timer() {
    hint_timer_ = runtime_.after(settings_.hint_grace, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->check_hint();
    });
  }

  void check_hint() {
    hint_timer_.reset();
    if (stopped_ || !watching() || !behind_hint()) return;
    // Cancelling a transfer for a newer state could repeat forever, with an ever longer answer.
    // Data in flight uses the link even if the call is cancelled.
    if (receiving()) return;
    log_event(LogArea::kPlatform, LogLevel::kWarning, "watch_deaf",
              {{"kind", kind_},
               {"revision", revision_},
               {"others_have", lag_.newest()},
               {"under_way_ms", whole_ms(runtime_.now() - calls_.front().started_at)},
               {"calls", calls_.size()}});
    if (settings_.newest_only && !unconfirmed_list_) return start_next_call();
    // A slow store still answers the oldest call. The store may have lost the others.
    if (calls_.size() > 1) cancel_newest_call();
    start_watch(Freshness::kLatest);
  }

  void record_change(const StoredObject& object) {
    newest_change = std::max(newest_change, object.revision);
  }

  void on_batch(const Call& call, const tl::expected<ChangeBatch, StoreError>& batch) {
    if (!batch && batch.error() == StoreError::kHistoryGone) {
      log_event(LogArea::kPlatform, LogLevel::kWarning, "history_gone",
                {{"kind", kind_}, {"revision", revision_}});
      listed_ = false;
      // A second list from the same stale replica could be just as old.
      const bool too_old = std::exchange(unconfirmed_list_, std::nullopt).has_value();
      return list(too_old ? Freshness::kLatest : freshness_);
    }
    if (!batch) return retry("watch", batch.error());
    on_success(call.freshness);
    if (unconfirmed_list_) apply_list(*std::exchange(unconfirmed_list_, std::nullopt));
    for (const ObjectChange& change : batch->changes) {
      if (stopped_) return;
      record_change(change.object);
      handlers_.on_change(change);
    }
    update_revision(batch->revision);
    report_revision();
    if (behind_hint()) log_behind_hint(call, batch->changes.size());
    if (batch->changes.empty()) return start_next_call();
    // More than one change per batch: probably there are more by now.
    falling_behind_ = batch->changes.size() > 1;
    schedule_next_call(batch->transfer_time);
  }

  /// The answer counts as a success, but lacks changes that other nodes have seen.
  void log_behind_hint(const Call& call, std::size_t changes) const {
    log_event(LogArea::kPlatform, LogLevel::kInfo, "answer_behind",
              {{"kind", kind_},
               {"freshness", to_text(call.freshness)},
               {"revision", revision_},
               {"others_have", lag_.newest()},
               {"changes", changes},
               {"took_ms", whole_ms(runtime_.now() - call.started_at)}});
  }

  /// Delays the next call to batch changes and to leave bandwidth to callers.
  void schedule_next_call(Duration transfer_time) {
    const Duration transfer_pause =
        from_seconds(settings_.pause_per_transfer_time * to_seconds(transfer_time));
    const Duration pause =
        std::max(settings_.batch_delay, std::min(transfer_pause, settings_.max_pause));
    schedule(pause, [](Impl& self) { self.start_next_call(); });
  }

  void schedule(Duration delay, void (*step)(Impl&)) {
    timer_ = runtime_.after(delay, [weak = weak_from_this(), step] {
      const auto self = weak.lock();
      if (self && !self->stopped_) step(*self);
    });
  }

  void on_success(Freshness freshness) {
    confirmed_at = runtime_.now();
    if (freshness == Freshness::kLatest) confirmed_latest_at = confirmed_at;
    backoff_ = settings_.initial_backoff;
    answer_timeout_ = settings_.answer_timeout;
    if (!std::exchange(lost, false)) return;
    log_event(LogArea::kPlatform, LogLevel::kInfo, "store_regained", {{"kind", kind_}});
  }

  void retry(const char* call_name, StoreError error) {
    if (!std::exchange(lost, true)) {
      log_event(LogArea::kPlatform, LogLevel::kWarning, "store_lost",
                {{"kind", kind_}, {"call", call_name}, {"error", to_text(error)}});
    }
    // Jitter spreads the retries of all nodes after a common outage.
    const Duration delay = jittered(backoff_, kBackoffSpread);
    backoff_ = std::min(backoff_ * 2, settings_.max_backoff);
    schedule(delay, [](Impl& self) { self.start_next_call(); });
  }

  /// @return `duration` times a random factor from 1 - spread to 1 + spread.
  Duration jittered(Duration duration, double spread) {
    const double factor = 1 - spread + 2 * spread * random_fraction(runtime_);
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
  }

  Runtime& runtime_;
  ObjectStore& store_;
  std::string kind_;
  KindWatchSettings settings_;
  KindWatchHandlers handlers_;
  Duration backoff_;
  Duration answer_timeout_;  ///< Of the next call that does not wait for changes.
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> hint_timer_;
  Duration wait_;
  Freshness freshness_;
  bool confirm_next_list_;
  std::optional<ObjectList> unconfirmed_list_;  ///< Waits for the changes since.
  std::uint64_t revision_ = 0;
  RevisionLag lag_;  ///< Behind the hints.
  Duration next_lag_report_ = kFirstLagReport;
  std::uint64_t call_number_ = 0;  ///< Number of the latest call.
  /// In flight, oldest first: one, and another while the first is overdue.
  std::vector<Call> calls_;
  bool falling_behind_ = false;   ///< Changes arrive faster than they are read.
  bool retry_expedited_ = false;  ///< A hint has cut the backoff short.
  bool listed_ = false;
  bool suspended_ = false;
  bool stopped_ = false;
};

KindWatch::KindWatch(Runtime& runtime, ObjectStore& store, std::string kind,
                     const KindWatchSettings& settings, KindWatchHandlers handlers)
    : impl_(
          std::make_shared<Impl>(runtime, store, std::move(kind), settings, std::move(handlers))) {
  impl_->list();
}

KindWatch::~KindWatch() {
  impl_->stop();
}

MonotonicTime KindWatch::confirmed_at() const {
  return impl_->confirmed_at;
}

MonotonicTime KindWatch::confirmed_latest_at() const {
  return impl_->confirmed_latest_at;
}

bool KindWatch::lost() const {
  return impl_->lost;
}

void KindWatch::set_wait(Duration wait) {
  impl_->set_wait(wait);
}

void KindWatch::set_batch_delay(Duration batch_delay) {
  impl_->set_batch_delay(batch_delay);
}

void KindWatch::set_max_backoff(Duration backoff) {
  impl_->set_max_backoff(backoff);
}

void KindWatch::set_freshness(Freshness freshness) {
  impl_->set_freshness(freshness);
}

std::uint64_t KindWatch::newest_change() const {
  return impl_->newest_change;
}

void KindWatch::hint(std::uint64_t revision) {
  impl_->hint(revision);
}

void KindWatch::advance(std::uint64_t revision) {
  impl_->advance(revision);
}

bool KindWatch::receiving() const {
  return impl_->receiving();
}

Duration KindWatch::behind_for() const {
  return impl_->behind_for();
}

void KindWatch::report_lag() {
  impl_->report_lag();
}

std::uint64_t KindWatch::newest_hint() const {
  return impl_->newest_hint();
}

void KindWatch::adopt(std::uint64_t revision, std::uint64_t newest_change) {
  impl_->adopt(revision, newest_change);
}

void KindWatch::suspend() {
  impl_->suspend();
}

void KindWatch::resume() {
  impl_->resume();
}

bool KindWatch::suspended() const {
  return impl_->suspended();
}

const char* KindWatch::activity() const {
  return impl_->activity();
}

}  // namespace shuntbank::store
