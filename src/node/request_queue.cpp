#include "node/request_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shuntbank {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(2);
constexpr double kLatencySmoothing = 0.05;

const char* describe(LimitKind kind) {
  switch (kind) {
    case LimitKind::kRequestRate:
      return "the tenant's requests a minute are used up";
    case LimitKind::kTokenRate:
      return "the tenant's tokens a minute are used up";
    case LimitKind::kConcurrency:
      return "the tenant has its most requests in flight";
  }
  return "a limit of the tenant is used up";
}

double estimate_tokens(const SessionRequest& request) {
  return static_cast<double>(request.prompt_tokens) + request.max_output_tokens;
}

}  // namespace

RequestQueue::RequestQueue(ServingContext& context)
    : context_(context),
      limiter_(context.runtime.now()),
      ticker_(context.runtime, kTickInterval, [this] { tick(); }) {}

void RequestQueue::set_node_count(std::size_t node_count) {
  node_count_ = std::max<std::size_t>(1, node_count);
  limiter_.set_share(1.0 / static_cast<double>(node_count_));
}

RequestQueue::ServiceQueue& RequestQueue::queue_for(const ServiceName& service) {
  return service_queues_.try_emplace(service, context_.settings.max_queue_length).first->second;
}

std::size_t RequestQueue::capacity(const SessionRequest& request) const {
  const MonotonicTime now = context_.runtime.now();
  std::size_t eligible = 0;
  for (const EngineId& engine : request.snapshot->engines_of(request.service)) {
    const EngineEntry* entry = context_.engines.find(engine);
    if (entry != nullptr && context_.engines.is_eligible(now, *entry)) ++eligible;
  }
  const double window = static_cast<double>(context_.settings.max_in_flight_per_engine * eligible);
  return static_cast<std::size_t>(std::ceil(window / static_cast<double>(node_count_)));
}

std::optional<CallerError> RequestQueue::check_admission(const ServiceQueue& service_queue,
                                                         const SessionRequest& request,
                                                         const Policy& policy) const {
  const std::size_t slots = std::max<std::size_t>(1, capacity(request));
  const double wait = static_cast<double>(service_queue.queue.size()) *
                      service_queue.mean_latency_seconds / static_cast<double>(slots);
  const bool too_late = from_seconds(wait) > context_.settings.queue_timeout;
  if (too_late || service_queue.queue.size() >= context_.settings.max_queue_length) {
    return CallerError{ErrorCode::kOverloaded, "too many requests wait for an engine",
                       RequestOutcome::kNotRun, std::max(kOverloadRetryAfter, from_seconds(wait))};
  }
  const std::uint32_t max_waiting = policy.limits.queue_length;
  if (max_waiting > 0 && service_queue.queue.size_of(request.tenant) >= max_waiting) {
    return CallerError{ErrorCode::kTenantLimit, "too many of the tenant's requests wait",
                       RequestOutcome::kNotRun, kOverloadRetryAfter};
  }
  return std::nullopt;
}

void RequestQueue::submit(SessionRequest request, const Policy& policy, double weight,
                          std::shared_ptr<HttpResponder> responder) {
  const MonotonicTime now = context_.runtime.now();
  ServiceQueue& service_queue = queue_for(request.service);
  const ServiceName service = request.service;
  QueueItem item;
  item.id = ++last_id_;
  item.tenant = request.tenant;
  item.weight = weight;
  item.priority = policy.priority;
  item.cost = estimate_tokens(request);
  item.deadline = now + context_.settings.queue_timeout;
  std::optional<CallerError> error = check_admission(service_queue, request, policy);
  bool admitted = false;
  if (!error) {
    const auto limit = limiter_.admit(now, request.tenant, policy.limits, item.cost);
    admitted = !limit;
    if (limit) {
      error = CallerError{ErrorCode::kTenantLimit, describe(limit->kind), RequestOutcome::kNotRun,
                          limit->retry_after};
    }
  }
  Demand& demand = demand_[service];
  if (!request.plain) {
    demand.prefill_tokens += static_cast<double>(request.prompt_tokens);
    demand.decode_tokens += request.max_output_tokens;
  }
  ++open_requests_;
  auto session = std::make_shared<RequestSession>(
      context_, std::move(request), std::move(responder),
      [this, service, item, admitted, now](const SessionResult& result) {
        on_end(service, item, admitted, result, now);
      });
  if (error) return session->refuse(*error);
  enqueue(service_queue, session, item);
}

void RequestQueue::enqueue(ServiceQueue& service_queue,
                           const std::shared_ptr<RequestSession>& session, const QueueItem& item) {
  service_queue.waiting.emplace(item.id, session);
  service_queue.queue.push(item);
  session->on_disconnect_while_queued([&service_queue, id = item.id] {
    service_queue.queue.remove(id);
    service_queue.waiting.erase(id);
  });
  dispatch_waiting(service_queue);
}

void RequestQueue::dispatch_waiting(ServiceQueue& service_queue) {
  while (service_queue.queue.size() > 0) {
    const auto& sample = *service_queue.waiting.begin()->second;
    if (service_queue.in_flight >= capacity(sample.request())) return;
    const auto item = service_queue.queue.pop();
    const auto entry = service_queue.waiting.find(item->id);
    const std::shared_ptr<RequestSession> session = entry->second;
    service_queue.waiting.erase(entry);
    ++service_queue.in_flight;
    session->start();
  }
}

void RequestQueue::tick() {
  const MonotonicTime now = context_.runtime.now();
  std::size_t waiting = 0;
  std::size_t in_flight = 0;
  for (auto& [service, service_queue] : service_queues_) {
    for (const QueueItem& item : service_queue.queue.take_expired(now)) {
      const auto entry = service_queue.waiting.find(item.id);
      const std::shared_ptr<RequestSession> session = entry->second;
      service_queue.waiting.erase(entry);
      session->refuse({ErrorCode::kOverloaded, "no engine had room in time",
                       RequestOutcome::kNotRun, kOverloadRetryAfter});
    }
    dispatch_waiting(service_queue);
    waiting += service_queue.queue.size();
    in_flight += service_queue.in_flight;
  }
  context_.metrics.set_queue_length(static_cast<double>(waiting));
  context_.metrics.set_in_flight(static_cast<double>(in_flight));
}

void RequestQueue::on_end(const ServiceName& service, const QueueItem& item, bool admitted,
                          const SessionResult& result, MonotonicTime submitted_at) {
  --open_requests_;
  if (!admitted) return;
  ServiceQueue& service_queue = queue_for(service);
  limiter_.finish(item.tenant, item.cost, result.tokens);
  service_queue.queue.correct_cost(item.tenant, item.weight, item.cost, result.tokens);
  if (!result.started) return;
  --service_queue.in_flight;
  const double elapsed = to_seconds(context_.runtime.now() - submitted_at);
  service_queue.mean_latency_seconds +=
      kLatencySmoothing * (elapsed - service_queue.mean_latency_seconds);
  dispatch_waiting(service_queue);
}

std::map<ServiceName, RequestQueue::Demand> RequestQueue::take_demand() {
  return std::exchange(demand_, {});
}

}  // namespace shuntbank
