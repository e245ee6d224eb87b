#include "core/routing/prefix_cache.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace shuntbank {

std::vector<std::uint64_t> prefix_blocks(std::string_view prompt) {
  const std::size_t count = std::min(prompt.size() / kPrefixBlockCharacters, kMaxPrefixBlocks);
  std::vector<std::uint64_t> blocks;
  blocks.reserve(count);
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < count; ++i) {
    hash = hash64(prompt.substr(i * kPrefixBlockCharacters, kPrefixBlockCharacters), hash);
    blocks.push_back(hash);
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
      lru_.splice(lru_.begin(), lru_, found->second);
      continue;
    }
    lru_.push_front(block);
    index_.emplace(block, lru_.begin());
    if (index_.size() > max_blocks_) {
      index_.erase(lru_.back());
      lru_.pop_back();
    }
  }
}

void PrefixCache::erase(const std::vector<std::uint64_t>& blocks) {
  for (const std::uint64_t block : blocks) {
    const auto found = index_.find(block);
    if (found == index_.end()) continue;
    lru_.erase(found->second);
    index_.erase(found);
  }
}

void PrefixCache::clear() {
  lru_.clear();
  index_.clear();
}

}  // namespace shuntbank
