/// @file
/// Open-loop load on a running site: arrivals do not wait for answers. Every answer is compared
/// with the expected answer of the stand-in engines, to count truncated, mismatched and duplicated
/// ones.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/time.hpp"
#include "net/http_client.hpp"

namespace shuntbank {

/// A period with constant request rate and sizes.
struct LoadPhase {
  Duration duration = std::chrono::seconds(10);
  double requests_per_second = 10;
  std::uint64_t prompt_tokens = 200;
  std::uint32_t output_tokens = 20;
};

/// Settings of one run.
struct LoadSettings {
  std::vector<std::string> targets;  ///< `IP:PORT` of callers' interfaces, used round-robin.
  std::string key;
  std::string model;  ///< Empty: call `service_path` instead.
  std::string service_path;
  std::vector<LoadPhase> phases;
  bool stream = true;
  std::uint64_t seed = 1;
  std::uint64_t shared_prefix_count = 8;  ///< Number of distinct shared prompt prefixes.
  Duration first_token_target = std::chrono::milliseconds(500);
  Duration between_tokens_target = std::chrono::milliseconds(80);
};

/// Counts and times of one run.
struct LoadReport {
  std::uint64_t sent = 0;
  std::uint64_t completed = 0;   ///< Exactly the expected answer.
  std::uint64_t mismatched = 0;  ///< Text differs from the expected answer.
  std::uint64_t truncated = 0;   ///< A prefix of the expected answer, or no end marker.
  std::map<std::string, std::uint64_t> errors;  ///< By error code and outcome.
  std::uint64_t within_targets = 0;
  std::vector<double> first_token_seconds;
  std::vector<double> between_tokens_seconds;  ///< Mean per request.
  double elapsed_seconds = 0;

  double goodput() const;
};

/// @return the `q` quantile of `values`, with `q` from 0 to 1; zero without values.
double percentile(std::vector<double> values, double q);

/// Runs the phases and waits for all answers.
LoadReport run_load(const LoadSettings& settings);

/// Parses `LENGTH:RATE:PROMPT:OUTPUT`, such as `10s:20:500:50`.
tl::expected<LoadPhase, std::string> parse_phase(const std::string& text);

}  // namespace shuntbank
