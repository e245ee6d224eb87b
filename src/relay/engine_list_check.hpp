/// @file
/// Asks the store which changes of engines a node lacks at a given moment. A watch that waits
/// cannot tell: a change may be under way to the node, or lost.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/runtime.hpp"
#include "relay/engine_list_status.hpp"
#include "relay/relay_settings.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// What a check needs to know of the list, and what it reports.
struct EngineListCheckHandlers {
  std::function<std::uint64_t()> revision;  ///< Of the list; 0: there is none.
  std::function<std::size_t()> nodes;       ///< Of the fleet.
  /// The store has no history: changes that were undone since are not reported.
  std::function<void()> on_changes_skipped;
  std::function<void(const store::StoredObject&)> on_engine;  ///< Was listed since.
};

/// Concurrent checks share a call that begins after the last of them.
class EngineListCheck {
 public:
  using Handler = EngineListStatus::Handler;

  /// All references outlive this. @param kind of the store objects.
  EngineListCheck(Runtime& runtime, store::ObjectStore& store, const std::string& kind,
                  const EngineListCheckSettings& settings, EngineListCheckHandlers handlers);
  ~EngineListCheck();
  EngineListCheck(const EngineListCheck&) = delete;
  EngineListCheck& operator=(const EngineListCheck&) = delete;

  /// The handler is called later.
  void run(Handler handler);

 private:
  void schedule();
  void begin();
  void watch();
  void on_batch(const tl::expected<store::ChangeBatch, store::StoreError>& batch);
  void list();
  void on_list(const tl::expected<store::ObjectList, store::StoreError>& list);
  void finish(bool confirmed, const char* why);
  Duration interval() const;

  Runtime& runtime;
  store::ObjectStore& store;
  std::string kind;
  EngineListCheckSettings settings;
  EngineListCheckHandlers handlers;
  std::vector<Handler> waiting;    ///< For a call that has not begun yet.
  std::vector<Handler> under_way;  ///< Of the call in flight.
  bool call_pending = false;
  std::uint64_t checked_revision = 0;  ///< All changes until there were reported.
  MonotonicTime begun_at{};            ///< Of the last call.
  MonotonicTime next_call_at{};
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
