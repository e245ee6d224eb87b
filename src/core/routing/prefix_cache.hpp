/// @file
/// Estimate of the content of an engine's prefix cache: a bounded LRU set of block hashes. Errors
/// affect latency only, never correctness.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shuntbank {

/// Characters of prompt text per cached block.
constexpr std::size_t kPrefixBlockCharacters = 256;

/// Longest prefix that is looked up, in blocks; limits the cost of a routing decision.
constexpr std::size_t kMaxPrefixBlocks = 128;

/// @return a chained hash for each complete block of `prompt`, covering all text up to its end.
std::vector<std::uint64_t> prefix_blocks(std::string_view prompt);

/// Bounded LRU set of block hashes.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t max_blocks = 4096) : max_blocks_(max_blocks) {}

  /// @return the number of leading blocks that are expected in the cache.
  std::size_t longest_match(const std::vector<std::uint64_t>& blocks) const;

  /// The blocks were sent to the engine, or the engine reported them as cached.
  void insert(const std::vector<std::uint64_t>& blocks);

  /// The engine reported these blocks as evicted.
  void erase(const std::vector<std::uint64_t>& blocks);

  /// Drops all blocks, such as after missed cache events.
  void clear();

  std::size_t size() const { return index_.size(); }

 private:
  std::size_t max_blocks_;
  std::list<std::uint64_t> lru_;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
};

}  // namespace shuntbank
