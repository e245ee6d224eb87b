/// @file
/// Keeps in the store which requests are held back, so that it outlasts the processes that know.
#pragma once

#include <memory>
#include <string>

#include "common/runtime.hpp"
#include "relay/relay_node.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// Where it is kept, and how patient this is.
struct QuarantineStoreSettings {
  std::string kind = "shuntbank-quarantine";
  std::string name = "held";
  Duration call_timeout = std::chrono::milliseconds(1500);
  /// Between two tries while the store does not answer or others write at the same time. Known to
  /// the nodes that live, this is in no hurry.
  Duration retry_interval = std::chrono::seconds(1);
  /// The node that saw it writes at once. Another one looks behind it so much later, as the first
  /// may have died meanwhile.
  Duration follow_up_delay = std::chrono::seconds(2);
  /// Requests in the object; those that are held back longest from now stay. 300 bytes each.
  std::size_t max_requests = 200;
};

/// Reads once, when the process starts; writes when this node comes to hold a request back or lets
/// one go. One object for all, so that nothing is left behind in the store.
class QuarantineStore {
 public:
  /// All references outlive this.
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
  bool dirty = false;  ///< What this node holds back differs from what it has written.
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
