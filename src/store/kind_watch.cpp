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
        wait_(settings.wait),
        freshness_(settings.freshness),
        confirm_lists_(settings.confirm_first_list) {}

  void list() { list(freshness_); }

  void list(Freshness freshness) {
    listing_ = freshness;
    store_.list(kind_, listing_, settings_.list_timeout,
                [weak = weak_from_this()](tl::expected<ObjectList, StoreError> list) {
                  if (const auto self = weak.lock()) self->on_list(std::move(list));
                });
  }

  void stop() { stopped_ = true; }

  void hint(std::uint64_t revision) {
    hinted_ = std::max(hinted_, revision);
    if (hint_timer_ || !listed_ || hinted_ <= revision_) return;
    if (watching_) return await_hinted();
    if (lost) hurry();
  }

  void set_wait(Duration wait) { wait_ = wait; }
  void set_gather(Duration gather) { settings_.gather = gather; }
  void set_longest_backoff(Duration backoff) { settings_.longest_backoff = backoff; }

  void set_freshness(Freshness freshness) {
    if (std::exchange(freshness_, freshness) == freshness) return;
    log_event(LogArea::kPlatform, LogLevel::kInfo, "store_reading",
              {{"kind", kind_}, {"freshness", to_text(freshness)}});
    // Nobody else looks any more: what the call under way may miss is asked for now.
    if (freshness == Freshness::kLatest && watching_) watch();
  }

  MonotonicTime confirmed_at{};
  MonotonicTime confirmed_latest_at{};
  std::uint64_t newest_change = 0;
  bool lost = false;

 private:
  void on_list(tl::expected<ObjectList, StoreError> list) {
    if (stopped_) return;
    if (!list) return retry("list", list.error());
    regained(listing_);
    listed_ = true;
    const bool confirm = listing_ == Freshness::kMayLag && confirm_lists_;
    confirm_lists_ = true;
    if (confirm) {
      // The list may be older than what is known here. It is taken once the store has said what
      // came after it.
      unconfirmed_ = std::move(*list);
    } else {
      take_list(*list);
    }
    watch();
  }

  void take_list(const ObjectList& list) {
    revision_ = list.revision;
    for (const StoredObject& object : list.objects) note_change(object);
    log_event(LogArea::kPlatform, LogLevel::kInfo, "kind_listed",
              {{"kind", kind_}, {"objects", list.objects.size()}, {"revision", revision_}});
    handlers_.on_list(list);
  }

  void watch() { watch(freshness_); }

  void watch(Freshness freshness) {
    if (stopped_) return;
    watching_ = true;
    hurried_ = false;
    const std::uint64_t call = ++calls_;
    asked_ = unconfirmed_ ? Freshness::kLatest : freshness;
    if (hinted_ > revision_ && !hint_timer_) await_hinted();
    const std::uint64_t revision = unconfirmed_ ? unconfirmed_->revision : revision_;
    const Duration wait = unconfirmed_ ? kNoWait : jittered(wait_, kWaitSpread);
    asked_at_ = runtime_.now();
    call_ = store_.watch(
        kind_, revision, asked_, wait, wait + settings_.wait_slack,
        [weak = weak_from_this(), call](const tl::expected<ChangeBatch, StoreError>& batch) {
          const auto self = weak.lock();
          if (!self || self->stopped_) return;
          // An answer to a call that was given up is not in the order of the others.
          if (!self->watching_ || call != self->calls_) return self->log_thrown_away(batch);
          self->on_batch(batch);
        });
  }

  /// What came for nothing has filled the link all the same.
  void log_thrown_away(const tl::expected<ChangeBatch, StoreError>& batch) const {
    log_event(LogArea::kPlatform, LogLevel::kWarning, "answer_thrown_away",
              {{"kind", kind_},
               {"changes", batch ? batch->changes.size() : 0},
               {"up_to", batch ? batch->revision : 0},
               {"revision", revision_}});
  }

  /// The store answers others: there is no reason to wait any longer.
  void hurry() {
    if (std::exchange(hurried_, true)) return;
    call_after(settings_.first_backoff, [](Impl& self) { self.watch(); });
  }

  /// What others have seen should come here soon as well.
  void await_hinted() {
    hint_timer_ = runtime_.after(settings_.hint_grace, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->check_hint();
    });
  }

  void check_hint() {
    hint_timer_.reset();
    if (stopped_ || !watching_ || hinted_ <= revision_) return;
    log_event(LogArea::kPlatform, LogLevel::kWarning, "watch_deaf",
              {{"kind", kind_},
               {"revision", revision_},
               {"others_have", hinted_},
               {"received", store_.received(call_)},
               {"under_way_ms", whole_ms(runtime_.now() - asked_at_)}});
    watch(Freshness::kLatest);
  }

  void note_change(const StoredObject& object) {
    newest_change = std::max(newest_change, object.revision);
  }

  void on_batch(const tl::expected<ChangeBatch, StoreError>& batch) {
    if (stopped_) return;
    watching_ = false;
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
    if (batch->changes.empty()) return watch();
    call_after(settings_.gather, [](Impl& self) { self.watch(); });
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
    call_after(delay, [](Impl& self) {
      if (self.listed_) {
        self.watch();
      } else {
        self.list();
      }
    });
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
  std::uint64_t calls_ = 0;   ///< Watches so far.
  CallId call_ = 0;           ///< The watch under way, as the store names it.
  MonotonicTime asked_at_{};  ///< When it was begun.
  bool watching_ = false;     ///< A watch is under way.
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

}  // namespace shuntbank::store
