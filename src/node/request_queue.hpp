/// @file
/// Admission of requests on this node: tenant limits, a fair queue for each service, and a bound on
/// the requests in flight that follows the engines which can take them.
#pragma once

#include <map>
#include <memory>
#include <unordered_map>

#include "common/periodic.hpp"
#include "core/admission/fair_queue.hpp"
#include "core/admission/tenant_limiter.hpp"
#include "node/request_session.hpp"

namespace shuntbank {

/// Holds sessions until an engine has room for them.
class RequestQueue {
 public:
  explicit RequestQueue(ServingContext& context);

  /// Sets how many nodes share the engines and the limits.
  void set_node_count(std::size_t node_count);

  /// Admits, queues or refuses. The session gets its answer in any case.
  /// @param policy of the tenant and service; copied.
  void submit(SessionRequest request, const Policy& policy, double weight,
              std::shared_ptr<HttpResponder> responder);

  /// @return requests that are dispatched or wait.
  std::size_t open_requests() const { return open_requests_; }

  /// Tokens that callers asked for since the last call, by service.
  struct Demand {
    double prefill_tokens = 0;
    double decode_tokens = 0;
  };
  std::map<ServiceName, Demand> take_demand();

 private:
  struct Lane {
    explicit Lane(std::size_t max_queue) : queue(max_queue) {}
    FairQueue queue;
    std::unordered_map<std::uint64_t, std::shared_ptr<RequestSession>> waiting;
    std::size_t in_flight = 0;
    double mean_service_seconds = 1;  ///< Smoothed time that a request holds its place.
  };

  Lane& lane_of(const ServiceName& service);
  std::size_t capacity(const SessionRequest& request) const;
  std::optional<CallerError> check_admission(const Lane& lane, const SessionRequest& request,
                                             const Policy& policy) const;
  void enqueue(Lane& lane, const std::shared_ptr<RequestSession>& session, const QueueItem& item);
  void dispatch_waiting(Lane& lane);
  void tick();
  void on_end(const ServiceName& service, const QueueItem& item, bool admitted,
              const SessionResult& result, MonotonicTime submitted_at);

  ServingContext& context_;
  TenantLimiter limiter_;
  std::map<ServiceName, Lane> lanes_;
  std::map<ServiceName, Demand> demand_;
  std::size_t node_count_ = 1;
  std::size_t open_requests_ = 0;
  std::uint64_t last_id_ = 0;
  Periodic ticker_;
};

}  // namespace shuntbank
