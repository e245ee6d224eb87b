/// @file
/// Registers this node in the store and watches the records of the others.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "common/runtime.hpp"
#include "core/relay/collector_selector.hpp"
#include "relay/exchange_settings.hpp"
#include "store/kind_watch.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// The relay nodes registered in the store. Dead nodes stay listed; liveness is determined by
/// received messages.
class PeerDirectory {
 public:
  /// All references outlive this.
  /// @param name name of this node. @param record record of this node.
  /// @param on_change called with the first list and after each batch of changes.
  PeerDirectory(Runtime& runtime, store::ObjectStore& store, const NodeId& name,
                const PeerRecord& record, const PeerDirectorySettings& settings,
                std::function<void()> on_change);
  ~PeerDirectory();
  PeerDirectory(const PeerDirectory&) = delete;
  PeerDirectory& operator=(const PeerDirectory&) = delete;

  /// @return the known nodes, including this one.
  const PeerRecords& nodes() const { return this->records; }

  /// @return this node's name and record.
  const NodeId& own_name() const { return this->self; }
  const PeerRecord& own_record() const { return this->records.at(this->self); }

  /// @return number of other known nodes.
  std::size_t peer_count() const { return this->records.size() - 1; }

  /// @return a node's record, or null.
  const PeerRecord* find(const NodeId& node) const;

  /// @return the addresses of all other nodes.
  std::vector<std::string> addresses() const;

  /// @return the addresses of the other nodes in this zone, or of all others if there are none.
  /// Used for large transfers, as traffic between zones is expensive.
  std::vector<std::string> nearby_addresses() const;

  /// @return whether another node of that name is listed.
  bool is_peer(const NodeId& node) const { return node != this->self && this->find(node); }

 private:
  void register_self();
  void watch_nodes();
  void apply_record(const store::StoredObject& object);
  void notify_later();

  Runtime& runtime;
  store::ObjectStore& store;
  NodeId self;
  PeerDirectorySettings settings;
  std::function<void()> change_handler;
  PeerRecords records;
  bool notification_queued = false;
  std::unique_ptr<store::KindWatch> watch;
  std::unique_ptr<Timer> start_timer;
  std::unique_ptr<Timer> register_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
