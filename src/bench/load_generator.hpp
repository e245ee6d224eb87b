/// @file
/// Open-loop load on a running site: arrivals do not wait for answers. Every answer is compared
/// with what the stand-in engines must answer, so that a cut, mixed-up or doubled answer is
/// counted.
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

/// A stretch of time with one mix of requests.
struct LoadPhase {
  Duration duration = std::chrono::seconds(10);
  double requests_per_second = 10;
  std::uint64_t prompt_tokens = 200;
  std::uint32_t output_tokens = 20;
};

/// Settings of one run.
struct LoadSettings {
  std::vector<std::string> targets;  ///< `IP:PORT` of callers' interfaces, used in turn.
  std::string key;
  std::string model;  ///< Empty: call `service_path` instead.
  std::string service_path;
  std::vector<LoadPhase> phases;
  bool stream = true;
  std::uint64_t seed = 1;
  std::uint64_t shared_prefix_count = 8;  ///< Prompts begin with one of so many histories.
  Duration first_token_target = std::chrono::milliseconds(500);
  Duration between_tokens_target = std::chrono::milliseconds(80);
};

/// Counts and times of one run.
struct LoadReport {
  std::uint64_t sent = 0;
  std::uint64_t completed = 0;   ///< Exactly the answer to their own request.
  std::uint64_t mismatched = 0;  ///< Another text: never acceptable.
  std::uint64_t truncated = 0;   ///< A beginning of the right text, without a proper end.
  std::map<std::string, std::uint64_t> errors;  ///< By error code and outcome.
  std::uint64_t within_targets = 0;
  std::vector<double> first_token_seconds;
  std::vector<double> between_tokens_seconds;  ///< Mean of each request.
  double elapsed_seconds = 0;

  double goodput() const;
};

/// @return the value below which the share `q` of `values` lies; zero without values.
double percentile(std::vector<double> values, double q);

/// Runs the phases and waits for all answers.
LoadReport run_load(const LoadSettings& settings);

/// Reads `LENGTH:RATE:PROMPT:OUTPUT`, such as `10s:20:500:50`.
tl::expected<LoadPhase, std::string> parse_phase(const std::string& text);

}  // namespace shuntbank
