#include "core/relay/prompt_cache_view.hpp"

#include <algorithm>
#include <utility>

namespace shuntbank::relay {
namespace {

/// Unshared tokens of this interval are counted together, which bounds the number of entries.
constexpr Duration kUnsharedInterval = std::chrono::milliseconds(100);

}  // namespace

std::optional<std::uint64_t> PromptShape::shared_part() const {
  if (parts.size() < 2) return std::nullopt;
  return parts[parts.size() - 2].id;
}

std::uint64_t PromptCacheView::cached_tokens(const PromptShape& prompt) const {
  std::uint64_t cached = 0;
  for (const PromptPart& part : prompt.parts) {
    const auto cached_part = parts_.find(part.id);
    if (cached_part == parts_.end()) break;
    cached += std::min(cached_part->second.tokens, part.tokens);
    if (cached_part->second.tokens < part.tokens) break;
  }
  return cached;
}

void PromptCacheView::on_prompt_read(const std::vector<PromptPart>& parts, std::uint64_t capacity,
                                     MonotonicTime now, std::uint64_t unshared_tokens) {
  // Without a capacity nothing would ever be evicted.
  if (capacity > 0 && unshared_tokens > 0) add_unshared(now, unshared_tokens);
  for (const PromptPart& part : parts) {
    CachedPart& cached_part = parts_[part.id];
    total_tokens_ += std::max(part.tokens, cached_part.tokens) - cached_part.tokens;
    cached_part.tokens = std::max(part.tokens, cached_part.tokens);
    cached_part.last_used = now;
  }
  if (capacity > 0 && total_tokens_ > capacity) evict(capacity);
}

std::vector<PromptPart> PromptCacheView::cached_parts() const {
  std::vector<std::pair<MonotonicTime, PromptPart>> order;
  order.reserve(parts_.size());
  for (const auto& [id, part] : parts_) order.push_back({part.last_used, {id, part.tokens}});
  std::sort(order.begin(), order.end(), [](const auto& left, const auto& right) {
    return std::pair(left.first, left.second.id) < std::pair(right.first, right.second.id);
  });
  std::vector<PromptPart> parts;
  parts.reserve(order.size());
  for (const auto& entry : order) parts.push_back(entry.second);
  return parts;
}

void PromptCacheView::add_unshared(MonotonicTime now, std::uint64_t tokens) {
  total_tokens_ += tokens;
  const bool same_interval =
      !unshared_.empty() && now - unshared_.back().prefilled_at < kUnsharedInterval;
  if (same_interval) {
    unshared_.back().tokens += tokens;
  } else {
    unshared_.push_back({tokens, now});
  }
}

void PromptCacheView::evict_unshared_before(MonotonicTime time, std::uint64_t target_tokens) {
  while (total_tokens_ > target_tokens && !unshared_.empty() &&
         unshared_.front().prefilled_at <= time) {
    total_tokens_ -= unshared_.front().tokens;
    unshared_.pop_front();
  }
}

void PromptCacheView::evict(std::uint64_t capacity) {
  std::vector<std::pair<MonotonicTime, std::uint64_t>> order;
  order.reserve(parts_.size());
  for (const auto& [id, part] : parts_) order.emplace_back(part.last_used, id);
  std::sort(order.begin(), order.end());
  // Frees an eighth at once, so that not every request evicts.
  const std::uint64_t target_tokens = capacity - capacity / 8;
  for (const auto& [last_used, id] : order) {
    evict_unshared_before(last_used, target_tokens);
    if (total_tokens_ <= target_tokens) return;
    total_tokens_ -= parts_[id].tokens;
    parts_.erase(id);
  }
  evict_unshared_before(MonotonicTime::max(), target_tokens);
}

}  // namespace shuntbank::relay
