#include "core/admission/fair_queue.hpp"

#include <algorithm>

namespace shuntbank {
namespace {

/// Number of tenants from which idle ones are dropped, to bound memory.
constexpr std::size_t kMaxIdleTenants = 4096;

}  // namespace

bool FairQueue::push(const QueueItem& item) {
  if (size_ >= max_items_) return false;
  if (tenants_.size() >= kMaxIdleTenants) expire_idle_tenants();
  TenantState& tenant = tenants_[item.tenant];
  // A tenant that was idle starts at the current virtual time, without credit for the past.
  if (tenant.count == 0) tenant.virtual_finish = std::max(tenant.virtual_finish, virtual_time_);
  tenant.waiting[item.priority].push_back(item);
  ++tenant.count;
  ++size_;
  return true;
}

std::optional<QueueItem> FairQueue::pop() {
  TenantState* best = nullptr;
  std::int32_t best_priority = 0;
  for (auto& [name, tenant] : tenants_) {
    if (tenant.count == 0) continue;
    const std::int32_t priority = tenant.waiting.begin()->first;
    const bool better = best == nullptr || priority > best_priority ||
                        (priority == best_priority && tenant.virtual_finish < best->virtual_finish);
    if (!better) continue;
    best = &tenant;
    best_priority = priority;
  }
  if (best == nullptr) return std::nullopt;
  auto& items = best->waiting.begin()->second;
  QueueItem item = items.front();
  items.pop_front();
  if (items.empty()) best->waiting.erase(best->waiting.begin());
  --best->count;
  --size_;
  virtual_time_ = std::max(virtual_time_, best->virtual_finish);
  best->virtual_finish += item.cost / item.weight;
  return item;
}

bool FairQueue::remove(std::uint64_t id) {
  for (auto& [name, tenant] : tenants_) {
    for (auto entry = tenant.waiting.begin(); entry != tenant.waiting.end(); ++entry) {
      auto& items = entry->second;
      const auto found = std::find_if(items.begin(), items.end(),
                                      [id](const QueueItem& item) { return item.id == id; });
      if (found == items.end()) continue;
      items.erase(found);
      if (items.empty()) tenant.waiting.erase(entry);
      --tenant.count;
      --size_;
      return true;
    }
  }
  return false;
}

std::vector<QueueItem> FairQueue::take_expired(MonotonicTime now) {
  std::vector<QueueItem> expired;
  for (auto& [name, tenant] : tenants_) {
    for (auto& [priority, items] : tenant.waiting) {
      for (const QueueItem& item : items) {
        if (item.deadline <= now) expired.push_back(item);
      }
    }
  }
  for (const QueueItem& item : expired) remove(item.id);
  return expired;
}

void FairQueue::correct_cost(const TenantName& tenant, double weight, double estimated,
                             double actual) {
  const auto found = tenants_.find(tenant);
  if (found != tenants_.end()) found->second.virtual_finish += (actual - estimated) / weight;
}

std::size_t FairQueue::size_of(const TenantName& tenant) const {
  const auto found = tenants_.find(tenant);
  return found == tenants_.end() ? 0 : found->second.count;
}

void FairQueue::expire_idle_tenants() {
  std::erase_if(tenants_, [this](const auto& entry) {
    return entry.second.count == 0 && entry.second.virtual_finish <= virtual_time_;
  });
}

}  // namespace shuntbank
