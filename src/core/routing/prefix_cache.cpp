#include "core/routing/prefix_cache.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace shuntbank {

std::vector<std::uint64_t> prefix_blocks(std::string_view prompt) {
  const std::size_t count = std::min(prompt.size() / kPrefixBlockCharacters, kMaxPrefixBlocks);
  std::vector<std::uint64_t> blocks;
  blocks.reserve(count);
  std::uint64_t chained = 0;
  for (std::size_t i = 0; i < count; ++i) {
    chained = hash64(prompt.substr(i * kPrefixBlockCharacters, kPrefixBlockCharacters), chained);
    blocks.push_back(chained);
  }
  return blocks;
}

std::size_t PrefixCache::longest_match(const std::vector<std::uint64_t>& blocks) const {
  std::size_t matched = 0;
  while (matched < blocks.size() && index_.contains(blocks[matched])) ++matched;
  return matched;
}

void PrefixCache::insert(const std::vector<std::uint64_t>& blocks) {
  for (const std::uint64_t block : blocks) {
    const auto found = index_.find(block);
    if (found != index_.end()) {
      by_use_.splice(by_use_.begin(), by_use_, found->second);
      continue;
    }
    by_use_.push_front(block);
    index_.emplace(block, by_use_.begin());
    if (index_.size() > max_blocks_) {
      index_.erase(by_use_.back());
      by_use_.pop_back();
    }
  }
}

void PrefixCache::erase(const std::vector<std::uint64_t>& blocks) {
  for (const std::uint64_t block : blocks) {
    const auto found = index_.find(block);
    if (found == index_.end()) continue;
    by_use_.erase(found->second);
    index_.erase(found);
  }
}

void PrefixCache::clear() {
  by_use_.clear();
  index_.clear();
}

}  // namespace shuntbank
