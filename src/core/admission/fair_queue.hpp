/// @file
/// Fair queueing of requests across tenants: by priority, then by weighted fair queueing of
/// tokens. Among tenants of equal priority, the one with the lowest virtual time is served next
/// (start-time fair queueing).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank {

/// A waiting request.
struct QueueItem {
  std::uint64_t id = 0;  ///< Chosen by the caller of the queue.
  TenantName tenant;
  double weight = 1.0;
  std::int32_t priority = 0;
  double cost = 1.0;  ///< Expected tokens.
  MonotonicTime deadline{};
};

/// A bounded queue of waiting requests.
class FairQueue {
 public:
  /// @param max_items maximum number of waiting requests of all tenants together.
  explicit FairQueue(std::size_t max_items) : max_items_(max_items) {}

  /// @return false when the queue is full.
  bool push(const QueueItem& item);

  /// @return the next request to serve.
  std::optional<QueueItem> pop();

  /// Removes a request.
  /// @return whether it was still waiting.
  bool remove(std::uint64_t id);

  /// Removes and returns all requests whose deadline has passed.
  std::vector<QueueItem> take_expired(MonotonicTime now);

  /// Corrects a tenant's virtual time once the actual cost of a served request is known.
  void correct_cost(const TenantName& tenant, double weight, double estimated, double actual);

  std::size_t size() const { return size_; }
  std::size_t size_of(const TenantName& tenant) const;

 private:
  struct TenantState {
    double virtual_finish = 0;  ///< Virtual time up to which this tenant was served.
    std::map<std::int32_t, std::deque<QueueItem>, std::greater<>> waiting;  ///< By priority.
    std::size_t count = 0;
  };

  void expire_idle_tenants();

  std::size_t max_items_;
  std::size_t size_ = 0;
  double virtual_time_ = 0;
  std::unordered_map<TenantName, TenantState> tenants_;
};

}  // namespace shuntbank
