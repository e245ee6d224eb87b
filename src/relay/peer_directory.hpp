/// @file
/// Registers this node in the store and follows the list of the others.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "common/runtime.hpp"
#include "core/relay/collector_choice.hpp"
#include "relay/exchange_settings.hpp"
#include "store/kind_watch.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// The relay nodes that the store names. A node that is gone for good stays listed: who lives is
/// told by who is heard.
class PeerDirectory {
 public:
  /// All references outlive this.
  /// @param name of this node. @param record of this node.
  /// @param on_change called with the first list and after each change.
  PeerDirectory(Runtime& runtime, store::ObjectStore& store, const NodeId& name,
                const PeerRecord& record, const PeerDirectorySettings& settings,
                std::function<void()> on_change);
  ~PeerDirectory();
  PeerDirectory(const PeerDirectory&) = delete;
  PeerDirectory& operator=(const PeerDirectory&) = delete;

  /// @return the nodes known, this one included.
  const PeerRecords& nodes() const { return this->records; }

  /// @return this node's name and record.
  const NodeId& own_name() const { return this->self; }
  const PeerRecord& own_record() const { return this->records.at(this->self); }

  /// @return other nodes known.
  std::size_t peer_count() const { return this->records.size() - 1; }

  /// @return a node's record, or null.
  const PeerRecord* find(const NodeId& node) const;

  /// @return the addresses of all other nodes.
  std::vector<std::string> addresses() const;

  /// @return those of the own zone; of all others where the zone has none. Large answers are asked
  /// of them: bytes between zones are dear.
  std::vector<std::string> nearby_addresses() const;

  /// @return whether another node of that name is listed.
  bool is_peer(const NodeId& node) const { return node != this->self && this->find(node); }

 private:
  void register_self();
  void watch_nodes();
  void apply_record(const store::StoredObject& object);

  Runtime& runtime;
  store::ObjectStore& store;
  NodeId self;
  PeerDirectorySettings settings;
  std::function<void()> change_handler;
  PeerRecords records;
  std::unique_ptr<store::KindWatch> watch;
  std::unique_ptr<Timer> start_timer;
  std::unique_ptr<Timer> register_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
