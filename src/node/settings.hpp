/// @file
/// Settings of a node. docs/CONFIGURATION.md documents each with its unit, default and range.
#pragma once

#include <cstdint>
#include <string>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "config/option_set.hpp"

namespace shuntbank {

/// Everything that a node is told at its start.
struct NodeSettings {
  std::string name;
  std::string zone;
  std::string region;
  std::string platform;  ///< `IP:PORT` of the object API.
  std::string callers_listen = "127.0.0.1:0";
  std::string operators_listen = "127.0.0.1:0";
  std::string cluster_listen = "127.0.0.1:0";
  std::uint64_t max_body = 4UL << 20U;  ///< Bytes of a caller's request body.
  std::uint64_t max_connections = 4096;
  std::uint64_t max_json_depth = 64;
  Duration request_timeout = std::chrono::minutes(5);
  Duration queue_timeout = std::chrono::seconds(10);
  Duration engine_idle_timeout = std::chrono::seconds(30);  ///< Longest silence of an engine.
  Duration caller_idle_timeout = std::chrono::seconds(60);
  Duration caller_write_timeout = std::chrono::seconds(30);
  std::uint64_t max_attempts = 3;
  double retry_budget_ratio = 0.1;
  std::uint64_t max_in_flight_per_engine =
      64;  ///< Requests in flight to an engine, all nodes together.
  std::uint64_t max_queue_length = 2048;
  Duration leave_grace = std::chrono::seconds(3);
  Duration lease_duration = std::chrono::seconds(10);
  Duration claim_retention =
      std::chrono::minutes(10);  ///< An idempotency key is remembered so long.
  std::uint64_t seed = 0;        ///< Zero: from the system's generator.
};

/// Defines the options of `shuntbankd` over `settings`.
OptionSet node_options(NodeSettings& settings);

}  // namespace shuntbank
