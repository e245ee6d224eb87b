/// @file
/// Holds a lease in the store. Tasks that one node performs for the whole fleet run under this
/// lease.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "core/lease/lease_holder.hpp"
#include "relay/relay_node.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// Key of the lease object in the store.
struct LeaseLocation {
  std::string kind = "shuntbank-leases";
  std::string name = "roles";
};

/// Acquires and renews the lease that permits this node to perform the tasks for the whole fleet.
class LeaseKeeper {
 public:
  /// All references must outlive this object.
  LeaseKeeper(Runtime& runtime, store::ObjectStore& store, const RelayNode& node,
              const std::string& self, const LeaseKeeperSettings& settings);
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  /// Gives up the lease permanently: the process is stopping.
  void stop();

  /// Gives up the lease because a newer holder's fence was seen.
  void resign() { lease_.resign(); }

  /// @return the fence while this node may act, else nothing. Check right before each call: the
  /// lease may have expired while the process was stalled.
  std::optional<Fence> authority() const;

  /// @return how long this node has held the lease continuously; zero if it does not.
  Duration held_for() const;

  /// @return the holder name in the lease, unique to this process.
  const std::string& holder() const { return holder_; }

  /// Adds a handler that runs at each tick while this node may act.
  void on_tick(std::function<void()> handler) { handlers_.push_back(std::move(handler)); }

 private:
  void tick();
  void poll_lease();
  void update_standby_interval();
  void read();
  void write();

  Runtime& runtime_;
  store::ObjectStore& store_;
  const RelayNode& node_;
  std::string holder_;
  LeaseKeeperSettings settings_;
  LeaseLocation location_;
  LeaseHolder lease_;
  std::vector<std::function<void()>> handlers_;
  bool stopped_ = false;
  std::optional<MonotonicTime> held_since_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<Periodic> ticker_;
};

}  // namespace shuntbank::relay
