/// @file
/// Node settings. docs/CONFIGURATION.md lists their units, defaults and ranges.
#pragma once

#include <cstdint>
#include <string>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "config/option_set.hpp"

namespace shuntbank {

/// Startup settings of a node.
struct NodeSettings {
  std::string name;
  std::string zone;
  std::string region;
  std::string platform;  ///< `IP:PORT` of the object API.
  std::string callers_listen = "127.0.0.1:0";
  std::string operators_listen = "127.0.0.1:0";
  std::string cluster_listen = "127.0.0.1:0";
  std::uint64_t max_body_bytes = 4UL << 20U;  ///< Of a caller's request.
  std::uint64_t max_connections = 4096;
  std::uint64_t max_json_depth = 64;
  Duration request_timeout = std::chrono::minutes(5);
  Duration queue_timeout = std::chrono::seconds(10);
  Duration engine_idle_timeout = std::chrono::seconds(30);
  Duration caller_idle_timeout = std::chrono::seconds(60);
  Duration caller_write_timeout = std::chrono::seconds(30);
  std::uint64_t max_attempts = 3;
  double retry_budget_ratio = 0.1;
  std::uint64_t max_in_flight_per_engine = 64;  ///< From all nodes together.
  std::uint64_t max_queue_length = 2048;
  Duration leave_grace = std::chrono::seconds(3);
  Duration lease_duration = std::chrono::seconds(10);
  Duration claim_retention = std::chrono::minutes(10);  ///< Of idempotency keys.
  std::uint64_t seed = 0;                               ///< Zero: random.
};

/// Defines the options of `shuntbankd` over `settings`.
OptionSet node_options(NodeSettings& settings);

}  // namespace shuntbank
