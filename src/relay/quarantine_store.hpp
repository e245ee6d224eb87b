/// @file
/// Persists quarantined requests in the store, so that they survive restarts of all nodes.
#pragma once

#include <memory>
#include <string>

#include "common/runtime.hpp"
#include "relay/relay_node.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// Key of the object, and timing.
struct QuarantineStoreSettings {
  std::string kind = "shuntbank-quarantine";
  std::string name = "held";
  Duration call_timeout = std::chrono::milliseconds(1500);
  /// Retry interval when the store is unavailable or another node writes at the same time. Not
  /// urgent, since running nodes know the entries.
  Duration retry_interval = std::chrono::seconds(1);
  /// The node that saw the crash writes at once; another one checks the object after this delay, in
  /// case that node has failed.
  Duration follow_up_delay = std::chrono::seconds(2);
  /// Requests in the object, at about 300 bytes each; those with the most time left are kept.
  std::size_t max_requests = 200;
};

/// Reads the object at startup and writes it when requests are quarantined or released. All
/// requests share one object, so that none is left behind in the store.
class QuarantineStore {
 public:
  /// All references must outlive this object.
  QuarantineStore(Runtime& own_runtime, store::ObjectStore& own_store, RelayNode& own_node,
                  const QuarantineStoreSettings& own_settings = {});
  ~QuarantineStore();
  QuarantineStore(const QuarantineStore&) = delete;
  QuarantineStore& operator=(const QuarantineStore&) = delete;

 private:
  using StoreResult = tl::expected<store::StoredObject, store::StoreError>;

  void on_quarantine_changed(bool own);
  void schedule_read(Duration delay);
  void read();
  void on_read(const StoreResult& answer);
  void write(const StoreResult& answer);
  void on_written(const StoreResult& answer);
  nlohmann::json content() const;

  Runtime& runtime;
  store::ObjectStore& store;
  RelayNode& node;
  QuarantineStoreSettings settings;
  bool call_pending = false;
  bool dirty = false;  ///< The entries have changed since the last write.
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
