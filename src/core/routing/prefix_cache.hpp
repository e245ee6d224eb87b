/// @file
/// What is believed to be in an engine's prefix cache: a bounded set of block hashes, least
/// recently used out first. A wrong belief costs time only, never correctness.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shuntbank {

/// Characters of prompt text for each cached block.
constexpr std::size_t kPrefixBlockCharacters = 256;

/// Longest prefix that is looked up, in blocks; bounds the cost of a decision.
constexpr std::size_t kMaxPrefixBlocks = 128;

/// @return hashes of each whole block of `prompt`, each covering all text up to its end.
std::vector<std::uint64_t> prefix_blocks(std::string_view prompt);

/// A bounded set of block hashes.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t max_blocks = 4096) : max_blocks_(max_blocks) {}

  /// @return how many leading blocks are believed cached.
  std::size_t longest_match(const std::vector<std::uint64_t>& blocks) const;

  /// The blocks were sent to the engine, or the engine says that it cached them.
  void insert(const std::vector<std::uint64_t>& blocks);

  /// The engine says that it evicted these.
  void erase(const std::vector<std::uint64_t>& blocks);

  /// A gap in the engine's events: nothing is believed any more.
  void clear();

  std::size_t size() const { return index_.size(); }

 private:
  std::size_t max_blocks_;
  std::list<std::uint64_t> lru_;  ///< Most recent first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
};

}  // namespace shuntbank
