/// @file
/// Registers this node in the store and watches the records of the others.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/runtime.hpp"
#include "core/relay/collector_selector.hpp"
#include "relay/exchange_settings.hpp"
#include "store/kind_watch.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// The relay nodes registered in the store. A node stays listed until its record is removed; see
/// `PeerReaper`. A live node whose record is removed registers again.
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

  /// Removes the record of another node from the store, unless it has registered again since.
  /// @param handler gets whether the record is gone.
  void remove(const NodeId& node, std::function<void(bool removed)> handler);

  /// Adds the record of another node that does not register again itself.
  void restore(const NodeId& node, const PeerRecord& record);

 private:
  void register_self();
  void register_later();
  void update_own_record(std::uint64_t revision);
  void watch_nodes();
  void apply_list(const store::ObjectList& list);
  void apply_change(const store::ObjectChange& change);
  void apply_record(const store::StoredObject& object);
  void forget(const NodeId& node);
  void notify_later();

  Runtime& runtime;
  store::ObjectStore& store;
  NodeId self;
  PeerDirectorySettings settings;
  std::function<void()> change_handler;
  PeerRecords records;
  std::map<NodeId, std::uint64_t> revisions;  ///< Of the records in the store.
  bool registering = false;
  bool register_again = false;      ///< The record was removed while this node was registering.
  std::uint64_t registered_at = 0;  ///< Revision of this node's record when it was created.
  bool notification_queued = false;
  std::unique_ptr<store::KindWatch> watch;
  std::unique_ptr<Timer> start_timer;
  std::unique_ptr<Timer> register_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
