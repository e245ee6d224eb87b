/// @file
/// A whole site in a simulated world: the real node code, the stand-ins, callers and operators.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node/node.hpp"
#include "simulation/world.hpp"
#include "standin/engine_standin.hpp"
#include "standin/platform_standin.hpp"

namespace shuntbank::simulation {

/// Shape of a simulated site.
struct FleetSettings {
  int nodes = 3;
  int engines = 4;
  int zones = 3;
  int regions = 1;
  int models = 1;  ///< Services; the engines are dealt out to them in turn.
  int tenants = 1;
  bool split_roles = true;
  std::uint64_t seed = 1;
  NetworkSettings network;
};

/// A request as a caller remembers it.
struct CallerRequest {
  std::string try_id;       ///< Of this try; in the engines' logs.
  std::string request_key;  ///< The same for all tries of one request that may run only once.
  bool at_most_once = false;
  int node = 0;
  MonotonicTime sent{};
  bool node_disturbed = false;  ///< The node was killed, frozen or cut off since it was sent.
  int status = 0;
  std::string text;
  std::string outcome;  ///< `not_run`, `unknown`, or empty.
  bool completed = false;
  bool ended = false;
};

/// What a node has cost since its start.
struct NodeCost {
  std::uint64_t boot = 0;  ///< Tells a restarted node from the one before.
  bool alive = true;
  std::uint64_t sent = 0;      ///< Bytes to other nodes, without the headers below them.
  std::uint64_t received = 0;  ///< Bytes from other nodes.
  std::uint64_t messages = 0;  ///< Sent.
  double processor_seconds = 0;
};

/// @return the difference of two accounts of one node.
NodeCost operator-(const NodeCost& after, const NodeCost& before);

/// @return the sum of two accounts.
NodeCost operator+(const NodeCost& a, const NodeCost& b);

/// A simulated site.
class Fleet {
 public:
  explicit Fleet(const FleetSettings& settings);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts a node, new or again.
  void start_node(int index);

  /// Declares engines, services and tenants, and waits until all nodes hold them.
  void configure();

  void run_for(Duration length) { world.run_until(world.now() + length); }

  /// Sends one request of a caller. @param logical empty: repeatable.
  void send_request(int node, std::uint32_t tokens, const std::string& request_key);

  /// An operator gives a tenant of that name a weight, through a node.
  void edit_tenant(int node, const std::string& tenant);

  /// Faults.
  void kill_node(int index);
  void freeze_node(int index);
  void thaw_node(int index);
  void leave_node(int index);
  void isolate_from_platform(int node);
  void cut_nodes(int a, int b);
  void cut_engine(int node, int engine);
  void crash_engine(int index);
  void set_platform_faults(const nlohmann::json& faults);
  void set_engine_faults(int index, const nlohmann::json& faults);
  void mark_engine_draining(int index);
  void heal_all();

  /// @return the first promise that is broken now, or empty text.
  std::string check();

  /// @return the first promise that a healed and rested site breaks, or empty text.
  std::string check_settled();

  /// @return whether the node's process exists; it may be frozen.
  bool node_alive(int index) const;

  /// @return whether the node's process exists and is not frozen.
  bool node_running(int index) const;
  std::string node_address(int index) const;
  std::string engine_address(int index) const;
  nlohmann::json status(int index);

  /// @return what each node has cost.
  std::vector<NodeCost> costs() const;

  /// @return the newest and the oldest revision in force on any running node.
  Revision newest_revision() const;
  Revision oldest_revision() const;

  /// @return whether every running node takes exactly the running nodes for usable.
  bool members_agree() const;

  World world;
  FleetSettings settings;
  std::vector<std::shared_ptr<CallerRequest>> requests;

 private:
  struct SimNode;
  struct SimEngine;

  void start_platform();
  void start_engine(int index);
  HttpReply fetch(const std::string& address, const std::string& method, const std::string& path,
                  const nlohmann::json& body);
  nlohmann::json declared_edits() const;
  void mark_requests_disturbed(int node);
  std::string check_orders(const SimEngine& engine) const;
  std::string check_request(const CallerRequest& request);
  std::string check_runs();
  std::string check_revisions();

  ProcessPointer platform_process_;
  std::unique_ptr<PlatformStandin> platform_;
  std::vector<std::unique_ptr<SimEngine>> engines_;
  std::vector<std::unique_ptr<SimNode>> nodes_;
  std::vector<std::unique_ptr<SimNode>>
      stopped_nodes_;  ///< Kept, since events may still name them.
  ProcessPointer caller_process_;
  std::unique_ptr<SimulatedHttpClient> caller_http_;
  std::map<std::string, Revision> accepted_edits_;  ///< Tenant to the revision it was accepted at.
  int edit_count_ = 0;
  std::uint64_t boot_count_ = 0;
  int request_count_ = 0;
  std::size_t checked_ended_ = 0;
};

}  // namespace shuntbank::simulation
