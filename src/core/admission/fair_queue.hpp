/// @file
/// Waiting requests in the order that is fair across tenants: by priority, then by start-time fair
/// queueing on tokens, each tenant in proportion to its weight.
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
  /// @param max_items most requests that wait at once, of all tenants together.
  explicit FairQueue(std::size_t max_items) : max_items_(max_items) {}

  /// @return false when the queue is full: refuse the request now.
  bool push(const QueueItem& item);

  /// @return the next request to serve.
  std::optional<QueueItem> pop();

  /// Takes a request out, if it still waits.
  bool remove(std::uint64_t id);

  /// @return and takes out all requests whose deadline has passed.
  std::vector<QueueItem> take_expired(MonotonicTime now);

  /// Corrects a tenant's share once the true cost of a served request is known.
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
