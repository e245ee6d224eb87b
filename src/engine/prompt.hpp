/// @file
/// What routing and limits need to know of an OpenAI-compatible request body.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "common/findings.hpp"

namespace shuntbank {

enum class CompletionKind { kChat, kText };

/// Facts of a checked request body.
struct ParsedPrompt {
  std::string model;
  std::string text;                 ///< The whole prompt. Never logged.
  std::uint64_t prompt_tokens = 1;  ///< Estimated.
  std::uint32_t max_output_tokens = 16;
  bool stream = false;
  bool wants_usage = false;  ///< `stream_options.include_usage`.
};

/// Tokens of output that are assumed when a request does not bound them.
constexpr std::uint32_t kDefaultOutputTokens = 16;

/// Most tokens of output that a request may ask for.
constexpr std::uint32_t kMaxOutputTokens = 32768;

/// Reads the facts and checks types. Fields that only engines need are left alone.
/// @param findings gains one entry for each problem, with its place.
ParsedPrompt parse_prompt(CompletionKind kind, const nlohmann::json& body, Findings& findings);

}  // namespace shuntbank
