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
  Duration gather = std::chrono::milliseconds(40);
  Duration list_timeout = std::chrono::milliseconds(1500);
  Duration first_backoff = std::chrono::milliseconds(50);
  Duration longest_backoff = std::chrono::milliseconds(800);
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

  /// @return whether the last call failed.
  bool lost() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shuntbank::store
