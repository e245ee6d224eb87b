/// @file
/// Prompt parts shared between requests, and an estimate of the parts that an engine caches.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/time.hpp"

namespace shuntbank::relay {

/// A part of a prompt that requests may share.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;

  bool operator==(const PromptPart&) const = default;
};

/// Prompt parts and token counts of a model request.
struct PromptShape {
  std::vector<PromptPart> parts;  ///< In order; the last is the request's own or its session's.
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  std::string model = {};

  /// @return the id of the last part that other requests may share, or nothing.
  std::optional<std::uint64_t> shared_part() const;
};

/// Estimate of the prompt parts in an engine's cache, with LRU eviction.
class PromptCacheView {
 public:
  /// @return tokens at the start of the prompt that need no prefill.
  std::uint64_t cached_tokens(const PromptShape& prompt) const;

  /// Records that the engine prefilled the prompt.
  /// @param capacity of the engine's cache, in tokens; 0: unknown.
  /// @param unshared_tokens of the prompt besides `parts`: no request asks for them, but they evict
  /// others.
  void on_prompt_read(const std::vector<PromptPart>& parts, std::uint64_t capacity,
                      MonotonicTime now, std::uint64_t unshared_tokens = 0);

  bool empty() const { return parts_.empty(); }

  /// @return the parts, least recently used first.
  std::vector<PromptPart> cached_parts() const;

 private:
  struct CachedPart {
    std::uint64_t tokens = 0;
    MonotonicTime last_used{};
  };
  /// Tokens that were prefilled at about the same time and that nobody asks for again.
  struct UnsharedTokens {
    std::uint64_t tokens = 0;
    MonotonicTime prefilled_at{};
  };
  void add_unshared(MonotonicTime now, std::uint64_t tokens);
  void evict_unshared_before(MonotonicTime time, std::uint64_t target_tokens);
  void evict(std::uint64_t capacity);

  std::unordered_map<std::uint64_t, CachedPart> parts_;
  std::deque<UnsharedTokens> unshared_;  ///< Oldest first.
  std::uint64_t total_tokens_ = 0;       ///< Of `parts_` and `unshared_`.
};

}  // namespace shuntbank::relay
