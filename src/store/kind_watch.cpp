#include "store/kind_watch.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::store {
namespace {

/// Parts of a wait and of a backoff by which they vary, so that the nodes don't call together.
constexpr double kWaitSpread = 0.2;
constexpr double kBackoffSpread = 0.5;

/// For a watch that only asks whether anything is new.
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
        backoff_(settings.first_backoff),
        hint_grace_(settings.hint_grace),
        list_timeout_(settings.list_timeout),
        wait_(settings.wait),
        freshness_(settings.freshness),
        confirm_lists_(settings.confirm_first_list) {}

  void list() { list(freshness_); }

  void list(Freshness freshness) {
    listing_ = freshness;
    const std::uint64_t number = begin_call(CallKind::kList);
    call_ =
        store_.list(kind_, listing_, list_timeout_, [weak = weak_from_this(), number](auto list) {
          const auto self = weak.lock();
          if (self && self->is_under_way(number)) self->on_list(std::move(list));
        });
  }

  void stop() { stopped_ = true; }

  void hint(std::uint64_t revision) {
    hinted_ = std::max(hinted_, revision);
    if (hint_timer_ || !listed_ || !behind_others()) return;
    if (under_way_ == CallKind::kWatch) return await_hinted();
    // A list under way brings what is new.
    if (under_way_ == CallKind::kNone && lost) hurry();
  }

  void advance(std::uint64_t revision) {
    if (revision <= revision_ || !listed_) return;
    revision_ = revision;
    newest_change = std::max(newest_change, revision);
    if (under_way_ == CallKind::kNone || behind_others()) return;
    // It would bring what is here already, and callers can have the link for that.
    give_up();
    call_after(settings_.gather, [](Impl& self) { self.next(); });
  }

  bool receiving() const { return under_way_ != CallKind::kNone && store_.received(call_) > 0; }

  void set_wait(Duration wait) { wait_ = wait; }
  void set_gather(Duration gather) { settings_.gather = gather; }
  void set_longest_backoff(Duration backoff) { settings_.longest_backoff = backoff; }

  void set_freshness(Freshness freshness) {
    if (std::exchange(freshness_, freshness) == freshness) return;
    log_event(LogArea::kPlatform, LogLevel::kInfo, "store_reading",
              {{"kind", kind_}, {"freshness", to_text(freshness)}});
    if (freshness != Freshness::kLatest || under_way_ != CallKind::kWatch || receiving()) return;
    // Nobody else looks any more: what the call under way may miss is asked for now.
    give_up();
    watch();
  }

  MonotonicTime confirmed_at{};
  MonotonicTime confirmed_latest_at{};
  std::uint64_t newest_change = 0;
  bool lost = false;

 private:
  enum class CallKind { kNone, kList, kWatch };

  /// @return the number by which the call that is begun now is known to its handler.
  std::uint64_t begin_call(CallKind kind) {
    // Two answers on one link come later than one, and the first would be thrown away.
    if (under_way_ != CallKind::kNone) give_up();
    under_way_ = kind;
    hurried_ = false;
    asked_at_ = runtime_.now();
    return ++calls_;
  }

  bool is_under_way(std::uint64_t number) const {
    return !stopped_ && under_way_ != CallKind::kNone && number == calls_;
  }

  /// The link carries nothing more of an answer that nobody waits for.
  void give_up() {
    store_.cancel(call_);
    under_way_ = CallKind::kNone;
  }

  bool behind_others() const { return hinted_ > revision_; }

  /// The call that suits what is known.
  void next() {
    if (!listed_) return list();
    // All changes since would come one by one, each as large as the state that is asked for.
    if (settings_.newest_only && (behind_others() || missed_some_)) {
      return list(Freshness::kLatest);
    }
    watch();
  }

  void on_list(tl::expected<ObjectList, StoreError> list) {
    under_way_ = CallKind::kNone;
    if (!list) {
      const bool late = list.error() == StoreError::kUncertain;
      if (late) list_timeout_ = std::min(2 * list_timeout_, settings_.longest_list_timeout);
      return retry("list", list.error());
    }
    regained(listing_);
    const bool catches_up = std::exchange(listed_, true);
    const bool confirm = listing_ == Freshness::kMayLag && confirm_lists_;
    confirm_lists_ = true;
    if (confirm) {
      // The list may be older than what is known here. It is taken once the store has said what
      // came after it.
      unconfirmed_ = std::move(*list);
      return watch();
    }
    take_list(*list);
    if (!catches_up) return watch();
    pause_after(list->transfer);
  }

  void take_list(const ObjectList& list) {
    const std::uint64_t before = newest_change;
    revision_ = std::max(revision_, list.revision);
    for (const StoredObject& object : list.objects) note_change(object);
    // As long as each state is another one, there is a newer one by now.
    missed_some_ = missed_some_ && newest_change > before;
    log_event(LogArea::kPlatform, LogLevel::kInfo, "kind_listed",
              {{"kind", kind_},
               {"objects", list.objects.size()},
               {"revision", revision_},
               {"transfer_ms", whole_ms(list.transfer)}});
    handlers_.on_list(list);
  }

  void watch() { watch(freshness_); }

  void watch(Freshness freshness) {
    if (stopped_) return;
    const std::uint64_t number = begin_call(CallKind::kWatch);
    asked_ = unconfirmed_ ? Freshness::kLatest : freshness;
    if (behind_others() && !hint_timer_) await_hinted();
    const std::uint64_t revision = unconfirmed_ ? unconfirmed_->revision : revision_;
    const Duration wait = unconfirmed_ ? kNoWait : jittered(wait_, kWaitSpread);
    call_ = store_.watch(kind_, revision, asked_, wait, wait + settings_.wait_slack,
                         [weak = weak_from_this(), number](const auto& batch) {
                           const auto self = weak.lock();
                           if (self && self->is_under_way(number)) self->on_batch(batch);
                         });
  }

  /// The store answers others: there is no reason to wait any longer.
  void hurry() {
    if (std::exchange(hurried_, true)) return;
    call_after(settings_.first_backoff, [](Impl& self) { self.next(); });
  }

  /// What others have seen should come here soon as well.
  void await_hinted() {
    hint_timer_ = runtime_.after(hint_grace_, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->check_hint();
    });
  }

  void check_hint() {
    hint_timer_.reset();
    if (stopped_ || under_way_ != CallKind::kWatch || !behind_others()) return;
    // What is on its way fills the link whether it is taken or not. Giving it up for what is newer
    // could go on for ever, each answer being longer than the one before.
    if (receiving()) return;
    log_event(LogArea::kPlatform, LogLevel::kWarning, "watch_deaf",
              {{"kind", kind_},
               {"revision", revision_},
               {"others_have", hinted_},
               {"under_way_ms", whole_ms(runtime_.now() - asked_at_)}});
    give_up();
    hint_grace_ = std::min(2 * hint_grace_, settings_.longest_hint_grace);
    if (settings_.newest_only && !unconfirmed_) return next();
    watch(Freshness::kLatest);
  }

  void note_change(const StoredObject& object) {
    newest_change = std::max(newest_change, object.revision);
  }

  void on_batch(const tl::expected<ChangeBatch, StoreError>& batch) {
    under_way_ = CallKind::kNone;
    if (!batch && batch.error() == StoreError::kHistoryGone) {
      log_event(LogArea::kPlatform, LogLevel::kWarning, "history_gone",
                {{"kind", kind_}, {"revision", revision_}});
      listed_ = false;
      // A list so old that nobody knows what came after it is of no use a second time.
      const bool too_old = std::exchange(unconfirmed_, std::nullopt).has_value();
      return list(too_old ? Freshness::kLatest : freshness_);
    }
    if (!batch) return retry("watch", batch.error());
    regained(asked_);
    if (unconfirmed_) take_list(*std::exchange(unconfirmed_, std::nullopt));
    for (const ObjectChange& change : batch->changes) {
      if (stopped_) return;
      note_change(change.object);
      handlers_.on_change(change);
    }
    revision_ = std::max(revision_, batch->revision);
    if (batch->changes.empty()) return next();
    // Changes come faster than they are read: there are more by now.
    missed_some_ = batch->changes.size() > 1;
    pause_after(batch->transfer);
  }

  /// Changes that come close together share a call, and callers get their part of the link.
  void pause_after(Duration transfer) {
    const Duration wanted = from_seconds(settings_.pause_a_transfer * to_seconds(transfer));
    const Duration pause = std::max(settings_.gather, std::min(wanted, settings_.longest_pause));
    call_after(pause, [](Impl& self) { self.next(); });
  }

  void call_after(Duration delay, void (*step)(Impl&)) {
    timer_ = runtime_.after(delay, [weak = weak_from_this(), step] {
      const auto self = weak.lock();
      if (self && !self->stopped_) step(*self);
    });
  }

  void regained(Freshness answered) {
    confirmed_at = runtime_.now();
    if (answered == Freshness::kLatest) confirmed_latest_at = confirmed_at;
    backoff_ = settings_.first_backoff;
    hint_grace_ = settings_.hint_grace;
    list_timeout_ = settings_.list_timeout;
    if (!std::exchange(lost, false)) return;
    log_event(LogArea::kPlatform, LogLevel::kInfo, "store_regained", {{"kind", kind_}});
  }

  void retry(const char* call, StoreError error) {
    if (!std::exchange(lost, true)) {
      log_event(LogArea::kPlatform, LogLevel::kWarning, "store_lost",
                {{"kind", kind_}, {"call", call}, {"error", to_text(error)}});
    }
    // Jitter keeps the nodes apart after an outage that met all of them.
    const Duration delay = jittered(backoff_, kBackoffSpread);
    backoff_ = std::min(backoff_ * 2, settings_.longest_backoff);
    call_after(delay, [](Impl& self) { self.next(); });
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
  Duration hint_grace_;    ///< Of the next hint.
  Duration list_timeout_;  ///< Of the next list.
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> hint_timer_;
  Duration wait_;
  Freshness freshness_;
  Freshness listing_ = Freshness::kLatest;  ///< Of the list under way.
  Freshness asked_ = Freshness::kLatest;    ///< Of the watch under way.
  bool confirm_lists_;
  std::optional<ObjectList> unconfirmed_;  ///< Waits for the store to say what came after it.
  std::uint64_t revision_ = 0;
  std::uint64_t hinted_ = 0;  ///< Newest change that others have told of.
  std::uint64_t calls_ = 0;   ///< Lists and watches so far.
  CallKind under_way_ = CallKind::kNone;
  CallId call_ = 0;           ///< The call under way, as the store names it.
  MonotonicTime asked_at_{};  ///< When it was begun.
  bool missed_some_ = false;  ///< Changes come faster than they are read.
  bool hurried_ = false;      ///< The next call after a failure was brought forward.
  bool listed_ = false;
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

void KindWatch::set_gather(Duration gather) {
  impl_->set_gather(gather);
}

void KindWatch::set_longest_backoff(Duration backoff) {
  impl_->set_longest_backoff(backoff);
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

}  // namespace shuntbank::store
