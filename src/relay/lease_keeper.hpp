/// @file
/// Keeps a lease in the store: the one machinery for everything that one node does for the whole
/// fleet.
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

/// Where the lease lies in the store.
struct LeaseLocation {
  std::string kind = "shuntbank-leases";
  std::string name = "roles";
};

/// This node's part in the lease.
class LeaseKeeper {
 public:
  /// All references outlive this.
  LeaseKeeper(Runtime& runtime, store::ObjectStore& store, const RelayNode& node,
              const std::string& self, const LeaseKeeperSettings& settings);
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  /// Gives the lease up for good: the process is to stop.
  void stop();

  /// Gives the lease up: somebody has seen a newer holder's fence.
  void resign() { lease_.resign(); }

  /// @return the fence while this node may act, else nothing. Ask right before each call leaves: a
  /// process that stood still may have lost the lease meanwhile.
  std::optional<Fence> authority() const;

  /// @return how long this node has held the lease without a break; zero while it does not.
  Duration held_for() const;

  /// @return the holder's name in the lease: this start of the process.
  const std::string& holder() const { return holder_; }

  /// Adds what is called at each tick while this node may act.
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
