#include "platform/support/ledger.hpp"

#include <algorithm>
#include <utility>

namespace shuntbank::testing {
namespace {

/// Whether a status guarantees that the request has not run and never will.
bool means_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// A holder is named MACHINE/INCARNATION.
std::string machine_of(const std::string& holder) {
  return holder.substr(0, holder.find('/'));
}

/// Engines that a request may crash, and how often it may reach an engine after propagation.
constexpr std::size_t kCrashLimit = 3;
constexpr std::size_t kMaxLateSends = 3;
constexpr std::chrono::seconds kPropagationTime{3};

}  // namespace

std::string Ledger::event_text(const std::string& id, std::uint64_t number) {
  return "text of " + id + " piece " + std::to_string(number);
}

void Ledger::add_violation(const std::string& rule, const std::string& what) {
  this->recorded_violations.push_back({rule, what});
}

const SentRequest* Ledger::find(const std::string& id) const {
  const auto found = this->requests.find(id);
  return found == this->requests.end() ? nullptr : &found->second;
}

std::uint64_t Ledger::count_runs(const std::string& id) const {
  const auto found = this->run_counts.find(id);
  return found == this->run_counts.end() ? 0 : found->second;
}

void Ledger::on_sent(const SentRequest& request) {
  this->requests[request.id] = request;
  this->arrivals[request.service].requests.push_back(std::chrono::steady_clock::now());
}

void Ledger::on_answer_received(const std::string& id, int status, const std::string& seal,
                                const std::string& body) {
  const SentRequest* request = this->find(id);
  if (request == nullptr) return this->add_violation("MIXED", "answer to unknown id: " + id);
  if (means_not_run(status) && !request->repeatable) {
    this->refused[id] = true;
    if (this->count_runs(id) > 0) this->add_violation("REFUSED", id + " ran before refusal");
  }
  const bool success = status >= 200 && status < 300;
  if (seal.empty()) {
    if (success) this->add_violation("MIXED", id + ": successful answer without a seal");
    return;
  }
  const auto answer = this->answers_by_seal.find(seal);
  if (answer == this->answers_by_seal.end()) {
    return this->add_violation("MIXED", id + ": seal that no engine issued");
  }
  if (answer->second.request != id) this->add_violation("MIXED", id + ": another request's answer");
  if (answer->second.status != status) this->add_violation("MIXED", id + ": wrong status");
  // Bodies of streams are checked per event.
  if (request->event_count == 0 && answer->second.body != body) {
    this->add_violation("MIXED", id + ": wrong body");
  }
}

void Ledger::on_draining_received(const std::string& seal) {
  const auto answer = this->answers_by_seal.find(seal);
  if (answer == this->answers_by_seal.end()) return;
  const SentRequest* request = this->find(answer->second.request);
  if (request == nullptr) return;
  this->notices.on_draining_received(monotonic_now(), {request->node, answer->second.engine});
}

void Ledger::on_received_by_engine(const std::string& id, const std::string& engine) {
  const SentRequest* request = this->find(id);
  if (request == nullptr) return;
  const NodeAndIncarnation pair{request->node, engine};
  const std::string violation = this->notices.on_request(monotonic_now(), pair, request->sent_at);
  if (!violation.empty()) this->add_violation("NOTICE", id + " reaches an engine: " + violation);
  const std::string late = this->drains.on_request(monotonic_now(), pair, request->sent_at);
  if (!late.empty()) this->add_violation("DRAIN", id + " reaches an engine: " + late);
  const std::string over = this->limits.on_request(monotonic_now(), pair);
  if (!over.empty()) this->add_violation("LIMIT", id + " reaches an engine: " + over);
}

void Ledger::on_limit_changed(const std::string& engine, std::optional<double> per_second) {
  if (!per_second) return this->limits.clear_limit(engine);
  this->limits.set_limit(monotonic_now(), engine, *per_second);
}

void Ledger::on_limit_received(const std::string& seal) {
  const auto answer = this->answers_by_seal.find(seal);
  if (answer == this->answers_by_seal.end()) return;
  const SentRequest* request = this->find(answer->second.request);
  if (request == nullptr) return;
  this->limits.on_limit_received(monotonic_now(), {request->node, answer->second.engine});
}

void Ledger::on_cooldown_requested(const std::string& id, const std::string& engine,
                                   Duration duration) {
  const SentRequest* request = this->find(id);
  if (request == nullptr) return;
  this->notices.on_cooldown_requested(monotonic_now(), {request->node, engine}, duration);
}

bool Ledger::on_event_received(const std::string& id, std::uint64_t number,
                               const std::string& text) {
  if (text == event_text(id, number)) return true;
  this->add_violation("ORDER",
                      id + ": event " + std::to_string(number) + " has the wrong text: " + text);
  return false;
}

void Ledger::on_stream_end_received(const std::string& id, std::uint64_t last) {
  const SentRequest* request = this->find(id);
  if (request == nullptr || request->event_count == last) return;
  this->add_violation("ORDER", id + ": stream ended normally after event " + std::to_string(last) +
                                   " of " + std::to_string(request->event_count));
}

void Ledger::on_arrival(const std::string& id, const std::string& service, bool prefill_only) {
  if (this->find(id) == nullptr) return this->add_violation("UNASKED", id + " was never sent");
  // The first remote prefill of a request is not a retry.
  if (prefill_only && !std::exchange(this->prefill_seen[id], true)) return;
  if (this->arrival_counts[id]++ == 0 && !prefill_only) return;
  const SteadyTime now = std::chrono::steady_clock::now();
  this->arrivals[service].repeats.push_back(now);
  this->check_retry_budget(service, now);
}

void Ledger::check_retry_budget(const std::string& service, SteadyTime now) {
  Arrivals& of_service = this->arrivals[service];
  const auto within = [now](const std::deque<SteadyTime>& times, std::chrono::milliseconds from,
                            std::chrono::milliseconds to) {
    return static_cast<double>(std::count_if(times.begin(), times.end(), [&](SteadyTime time) {
      return now - time >= from && now - time < to;
    }));
  };
  const std::chrono::milliseconds window = this->bound.window;
  const std::chrono::milliseconds none{0};
  const double request_count = std::max(
      {within(of_service.requests, none, window), within(of_service.requests, window, 2 * window),
       within(of_service.requests, window / 2, window + window / 2)});
  const double repeat_count = within(of_service.repeats, none, window);
  if (repeat_count <= request_count * this->bound.ratio + this->bound.slack) return;
  this->add_violation("BUDGET", service + ": " + std::to_string(repeat_count) + " repeats of " +
                                    std::to_string(request_count) + " requests");
  of_service.repeats.clear();
}

void Ledger::on_run(const std::string& id, const std::string& service, const std::string& method,
                    const std::string& target, const std::string& body) {
  const SentRequest* request = this->find(id);
  if (request == nullptr) return this->add_violation("UNASKED", id + " was never sent");
  const bool same = request->method == method && request->target == target && request->body == body;
  if (!same) this->add_violation("UNASKED", id + " was modified in transit");
  if (request->service != service) this->add_violation("ROUTE", id + " ran at " + service);
  const std::uint64_t count = ++this->run_counts[id];
  if (count > 1 && !request->repeatable) this->add_violation("TWICE", id);
  if (this->refused.count(id) > 0) this->add_violation("REFUSED", id + " ran after refusal");
  const std::string over = this->quotas.on_run(monotonic_now(), request->tenant, request->cost);
  if (!over.empty()) this->add_violation("QUOTA", id + " runs: " + over);
}

std::string Ledger::seal_answer(const EngineAnswer& answer) {
  std::string seal = "seal-" + std::to_string(++this->seal_count);
  this->answers_by_seal[seal] = answer;
  return seal;
}

void Ledger::on_handle_created(const std::string& handle, const std::string& id) {
  this->handles[handle] = id;
}

void Ledger::on_handle_used(const std::string& handle, const std::string& id) {
  const auto made = this->handles.find(handle);
  if (made != this->handles.end() && made->second != id) {
    this->add_violation("MIXED", id + " uses the prefill handle of " + made->second);
  }
}

void Ledger::on_crashing_request(const std::string& name, bool undisturbed) {
  CrashingRequest& request = this->crashing_requests[name];
  const bool late = request.crashes >= kCrashLimit &&
                    std::chrono::steady_clock::now() - request.third_crash_at > kPropagationTime;
  if (!late || !undisturbed || ++request.late_sends != kMaxLateSends + 1) return;
  this->add_violation("CRASHING", name + " is still sent after it crashed " +
                                      std::to_string(request.crashes) + " engines");
}

void Ledger::on_engine_crashed(const std::string& name) {
  CrashingRequest& request = this->crashing_requests[name];
  if (++request.crashes == kCrashLimit) request.third_crash_at = std::chrono::steady_clock::now();
}

std::size_t Ledger::crash_count(const std::string& name) const {
  const auto found = this->crashing_requests.find(name);
  return found == this->crashing_requests.end() ? 0 : found->second.crashes;
}

void Ledger::on_order(const std::string& engine, const std::string& holder, std::uint64_t fence) {
  const std::string machine = machine_of(holder);
  const auto [known, inserted] = this->fence_holders[engine].try_emplace(fence, machine);
  if (!inserted && known->second != machine) {
    this->add_violation("ONE", engine + ": " + machine + " and " + known->second + " under fence " +
                                   std::to_string(fence));
  }
}

}  // namespace shuntbank::testing
