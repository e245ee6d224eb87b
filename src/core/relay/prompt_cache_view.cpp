#include "core/relay/prompt_cache_view.hpp"

#include <algorithm>
#include <utility>

namespace shuntbank::relay {

std::optional<std::uint64_t> PromptShape::shared_part() const {
  if (parts.size() < 2) return std::nullopt;
  return parts[parts.size() - 2].id;
}

std::uint64_t PromptCacheView::cached_tokens(const PromptShape& prompt) const {
  std::uint64_t cached = 0;
  for (const PromptPart& part : prompt.parts) {
    const auto kept = parts_.find(part.id);
    if (kept == parts_.end()) break;
    cached += std::min(kept->second.tokens, part.tokens);
    if (kept->second.tokens < part.tokens) break;
  }
  return cached;
}

void PromptCacheView::on_read(const std::vector<PromptPart>& parts, std::uint64_t capacity,
                              MonotonicTime now) {
  for (const PromptPart& part : parts) {
    Kept& kept = parts_[part.id];
    tokens_ += std::max(part.tokens, kept.tokens) - kept.tokens;
    kept.tokens = std::max(part.tokens, kept.tokens);
    kept.used = now;
  }
  if (capacity > 0 && tokens_ > capacity) evict(capacity);
}

std::vector<PromptPart> PromptCacheView::kept() const {
  std::vector<std::pair<MonotonicTime, PromptPart>> order;
  order.reserve(parts_.size());
  for (const auto& [id, kept] : parts_) order.push_back({kept.used, {id, kept.tokens}});
  std::sort(order.begin(), order.end(), [](const auto& left, const auto& right) {
    return std::pair(left.first, left.second.id) < std::pair(right.first, right.second.id);
  });
  std::vector<PromptPart> parts;
  parts.reserve(order.size());
  for (const auto& entry : order) parts.push_back(entry.second);
  return parts;
}

void PromptCacheView::evict(std::uint64_t capacity) {
  std::vector<std::pair<MonotonicTime, std::uint64_t>> order;
  order.reserve(parts_.size());
  for (const auto& [id, kept] : parts_) order.emplace_back(kept.used, id);
  std::sort(order.begin(), order.end());
  // Some room at once, so that this is not done for each request.
  const std::uint64_t wanted = capacity - capacity / 8;
  for (const auto& [used, id] : order) {
    if (tokens_ <= wanted) return;
    tokens_ -= parts_[id].tokens;
    parts_.erase(id);
  }
}

}  // namespace shuntbank::relay
