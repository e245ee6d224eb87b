#include "store/kind_watch.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::store {

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
        backoff_(settings.first_backoff) {}

  void list() {
    store_.list(kind_, settings_.list_timeout,
                [weak = weak_from_this()](const tl::expected<ObjectList, StoreError>& list) {
                  if (const auto self = weak.lock()) self->on_list(list);
                });
  }

  void stop() { stopped_ = true; }

  MonotonicTime confirmed_at{};
  bool lost = false;

 private:
  void on_list(const tl::expected<ObjectList, StoreError>& list) {
    if (stopped_) return;
    if (!list) return retry("list", list.error());
    regained();
    revision_ = list->revision;
    listed_ = true;
    log_event(LogArea::kPlatform, LogLevel::kInfo, "kind_listed",
              {{"kind", kind_}, {"objects", list->objects.size()}, {"revision", revision_}});
    handlers_.on_list(*list);
    watch();
  }

  void watch() {
    if (stopped_) return;
    store_.watch(kind_, revision_, settings_.wait, settings_.wait + settings_.wait_slack,
                 [weak = weak_from_this()](const tl::expected<ChangeBatch, StoreError>& batch) {
                   if (const auto self = weak.lock()) self->on_batch(batch);
                 });
  }

  void on_batch(const tl::expected<ChangeBatch, StoreError>& batch) {
    if (stopped_) return;
    if (!batch && batch.error() == StoreError::kHistoryGone) {
      log_event(LogArea::kPlatform, LogLevel::kWarning, "history_gone",
                {{"kind", kind_}, {"revision", revision_}});
      listed_ = false;
      return list();
    }
    if (!batch) return retry("watch", batch.error());
    regained();
    for (const ObjectChange& change : batch->changes) {
      if (stopped_) return;
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

  void regained() {
    confirmed_at = runtime_.now();
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
    const std::string random = runtime_.random_hex(2);
    const double jitter = 0.5 + static_cast<double>(std::stoul(random, nullptr, 16)) / 65536.0;
    const auto delay =
        Duration(static_cast<std::int64_t>(static_cast<double>(backoff_.count()) * jitter));
    backoff_ = std::min(backoff_ * 2, settings_.longest_backoff);
    call_after(delay, [](Impl& self) {
      if (self.listed_) {
        self.watch();
      } else {
        self.list();
      }
    });
  }

  Runtime& runtime_;
  ObjectStore& store_;
  std::string kind_;
  KindWatchSettings settings_;
  KindWatchHandlers handlers_;
  Duration backoff_;
  std::unique_ptr<Timer> timer_;
  std::uint64_t revision_ = 0;
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

bool KindWatch::lost() const {
  return impl_->lost;
}

}  // namespace shuntbank::store
