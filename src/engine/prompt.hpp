/// @file
/// Parses the fields of an OpenAI-compatible request body that routing and limits need.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "common/findings.hpp"

namespace shuntbank {

enum class CompletionKind { kChat, kText };

/// Validated fields of a request body.
struct ParsedPrompt {
  std::string model;
  std::string text;                 ///< The whole prompt. Never logged.
  std::uint64_t prompt_tokens = 1;  ///< Estimated.
  std::uint32_t max_output_tokens = 16;
  bool stream = false;
  bool wants_usage = false;  ///< `stream_options.include_usage`.
};

/// Output tokens assumed for a request that sets no limit.
constexpr std::uint32_t kDefaultOutputTokens = 16;

/// Maximum output tokens that a request may set.
constexpr std::uint32_t kMaxOutputTokens = 32768;

/// Parses the body and checks types. Ignores fields that only engines need.
/// @param findings receives one entry per problem, with its JSON pointer.
ParsedPrompt parse_prompt(CompletionKind kind, const nlohmann::json& body, Findings& findings);

}  // namespace shuntbank
