/// @file
/// Request admission on this node: tenant limits, a fair queue per service, and a limit on requests
/// in flight that scales with the eligible engines.
#pragma once

#include <map>
#include <memory>
#include <unordered_map>

#include "common/periodic.hpp"
#include "core/admission/fair_queue.hpp"
#include "core/admission/tenant_limiter.hpp"
#include "node/request_session.hpp"

namespace shuntbank {

/// Queues sessions until an engine has capacity for them.
class RequestQueue {
 public:
  explicit RequestQueue(ServingContext& context);

  /// Sets the number of nodes that share the engines and limits.
  void set_node_count(std::size_t node_count);

  /// Dispatches, queues or rejects a request. The responder always gets an answer.
  /// @param policy of the tenant and service; copied.
  void submit(SessionRequest request, const Policy& policy, double weight,
              std::shared_ptr<HttpResponder> responder);

  /// @return the number of requests queued or in flight.
  std::size_t open_requests() const { return open_requests_; }

  /// Tokens requested by callers since the last call of `take_demand`.
  struct Demand {
    double prefill_tokens = 0;
    double decode_tokens = 0;
  };
  std::map<ServiceName, Demand> take_demand();

 private:
  struct ServiceQueue {
    explicit ServiceQueue(std::size_t max_length) : queue(max_length) {}
    FairQueue queue;
    std::unordered_map<std::uint64_t, std::shared_ptr<RequestSession>> waiting;
    std::size_t in_flight = 0;
    double mean_latency_seconds = 1;  ///< Moving average of the time in the system.
  };

  ServiceQueue& queue_for(const ServiceName& service);
  std::size_t capacity(const SessionRequest& request) const;
  std::optional<CallerError> check_admission(const ServiceQueue& service_queue,
                                             const SessionRequest& request,
                                             const Policy& policy) const;
  void enqueue(ServiceQueue& service_queue, const std::shared_ptr<RequestSession>& session,
               const QueueItem& item);
  void dispatch_waiting(ServiceQueue& service_queue);
  void tick();
  void on_end(const ServiceName& service, const QueueItem& item, bool admitted,
              const SessionResult& result, MonotonicTime submitted_at);

  ServingContext& context_;
  TenantLimiter limiter_;
  std::map<ServiceName, ServiceQueue> service_queues_;
  std::map<ServiceName, Demand> demand_;
  std::size_t node_count_ = 1;
  std::size_t open_requests_ = 0;
  std::uint64_t last_id_ = 0;
  Periodic ticker_;
};

}  // namespace shuntbank
