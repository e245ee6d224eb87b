/// @file
/// Parts of prompts: what requests share, and what an engine is believed to keep of them.
#pragma once

#include <cstdint>
#include <optional>
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

/// What a model request asks for.
struct PromptShape {
  std::vector<PromptPart> parts;  ///< In order; the last is the request's own or its session's.
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;

  /// @return the id of the deepest part that other requests may share, or nothing.
  std::optional<std::uint64_t> shared_part() const;
};

/// Parts of prompts that an engine is believed to keep, least recently used first out.
class PromptCacheView {
 public:
  /// @return tokens at the start of the prompt that need not be read.
  std::uint64_t cached_tokens(const PromptShape& prompt) const;

  /// The engine has read the prompt. @param capacity of the engine's memory, in tokens.
  void on_read(const std::vector<PromptPart>& parts, std::uint64_t capacity, MonotonicTime now);

  bool empty() const { return parts_.empty(); }

  /// @return the parts, least recently used first.
  std::vector<PromptPart> cached_parts() const;

 private:
  struct CachedPart {
    std::uint64_t tokens = 0;
    MonotonicTime last_used{};
  };
  void evict(std::uint64_t capacity);

  std::unordered_map<std::uint64_t, CachedPart> parts_;
  std::uint64_t total_tokens_ = 0;
};

}  // namespace shuntbank::relay
