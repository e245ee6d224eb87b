/// @file
/// A simulated fleet: nodes that run the production code, stand-ins for engines and platform,
/// callers and operators.
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

/// Size and topology of a simulated fleet.
struct FleetSettings {
  int nodes = 3;
  int engines = 4;
  int zones = 3;
  int regions = 1;
  int models = 1;  ///< Number of services; engines are assigned round-robin.
  int tenants = 1;
  bool split_roles = true;
  std::uint64_t seed = 1;
  NetworkSettings network;
};

/// A caller's record of a request.
struct CallerRequest {
  std::string try_id;       ///< Unique per try; part of the engines' execution logs.
  std::string request_key;  ///< Shared by all tries of an at-most-once request.
  bool at_most_once = false;
  int node = 0;
  MonotonicTime sent{};
  bool node_disturbed = false;  ///< The node was not running for part of its duration.
  int status = 0;
  std::string text;
  std::string outcome;  ///< `not_run`, `unknown`, or empty.
  bool completed = false;
  bool ended = false;
};

/// Traffic and CPU time of a node since its start.
struct NodeCost {
  std::uint64_t boot = 0;  ///< Changes with each restart.
  bool alive = true;
  std::uint64_t sent = 0;      ///< Payload bytes to other nodes.
  std::uint64_t received = 0;  ///< Payload bytes from other nodes.
  std::uint64_t messages = 0;  ///< Datagrams sent.
  double processor_seconds = 0;
};

/// @return the cost of one node between two readings.
NodeCost operator-(const NodeCost& after, const NodeCost& before);

/// @return the sum of two costs.
NodeCost operator+(const NodeCost& a, const NodeCost& b);

/// Owns the simulated world and all processes of the site.
class Fleet {
 public:
  explicit Fleet(const FleetSettings& settings);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts or restarts a node.
  void start_node(int index);

  /// Declares engines, services and tenants, and gives the nodes time to apply them.
  void configure();

  void run_for(Duration length) { world.run_until(world.now() + length); }

  /// Sends one caller request. @param request_key empty if it may run more than once.
  void send_request(int node, std::uint32_t tokens, const std::string& request_key);

  /// Sets the weight of tenant `tenant` through a node, as an operator.
  void edit_tenant(int node, const std::string& tenant);

  /// Inject and remove faults.
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

  /// @return the first invariant violated now, or empty text.
  std::string check();

  /// @return the first invariant violated by a fleet that has healed and settled, or empty text.
  std::string check_settled();

  /// @return whether the node's process is alive, possibly frozen.
  bool node_alive(int index) const;

  /// @return whether the node's process is alive and not frozen.
  bool node_running(int index) const;
  std::string node_address(int index) const;
  std::string engine_address(int index) const;
  nlohmann::json status(int index);

  /// @return the cost of each node.
  std::vector<NodeCost> costs() const;

  /// @return the newest and the oldest active revision over all live nodes.
  Revision newest_revision() const;
  Revision oldest_revision() const;

  /// @return whether each live node counts exactly as many usable members as there are live nodes.
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
  std::vector<std::unique_ptr<SimNode>> stopped_nodes_;  ///< Pending events may refer to them.
  ProcessPointer caller_process_;
  std::unique_ptr<SimulatedHttpClient> caller_http_;
  std::map<std::string, Revision>
      accepted_edits_;  ///< Tenant -> revision of its last accepted edit.
  int edit_count_ = 0;
  std::uint64_t boot_count_ = 0;
  int request_count_ = 0;
  std::size_t checked_ended_ = 0;
};

}  // namespace shuntbank::simulation
