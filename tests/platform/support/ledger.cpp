#include "platform/support/ledger.hpp"

#include <algorithm>
#include <utility>

namespace shuntbank::testing {
namespace {

/// These statuses promise that the request has not run and never will.
bool promises_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// A machine is known by the part of a holder's name before its start.
std::string machine_of(const std::string& holder) {
  return holder.substr(0, holder.find('/'));
}

/// Engines that a request may end, and how often it may reach one once that is known everywhere.
constexpr std::size_t kEnoughEnded = 3;
constexpr std::size_t kMostLateSends = 3;
constexpr std::chrono::seconds kKnownEverywhere{3};

}  // namespace

std::string Ledger::event_text(const std::string& id, std::uint64_t number) {
  return "text of " + id + " piece " + std::to_string(number);
}

void Ledger::broke(const std::string& rule, const std::string& what) {
  this->promises.push_back({rule, what});
}

const SentByCaller* Ledger::find(const std::string& id) const {
  const auto found = this->requests.find(id);
  return found == this->requests.end() ? nullptr : &found->second;
}

std::uint64_t Ledger::count_runs(const std::string& id) const {
  const auto found = this->run_counts.find(id);
  return found == this->run_counts.end() ? 0 : found->second;
}

void Ledger::sent(const SentByCaller& request) {
  this->requests[request.id] = request;
  this->arrivals[request.service].requests.push_back(std::chrono::steady_clock::now());
}

void Ledger::got_answer(const std::string& id, int status, const std::string& seal,
                        const std::string& body) {
  const SentByCaller* request = this->find(id);
  if (request == nullptr) return this->broke("MIXED", "answer to no request: " + id);
  if (promises_not_run(status) && !request->repeatable) {
    this->promised_not_run[id] = true;
    if (this->count_runs(id) > 0) this->broke("REFUSED", id + " had run");
  }
  const bool success = status >= 200 && status < 300;
  if (seal.empty()) {
    if (success) this->broke("MIXED", id + ": a success without a seal");
    return;
  }
  const auto answer = this->answers_by_seal.find(seal);
  if (answer == this->answers_by_seal.end()) {
    return this->broke("MIXED", id + ": a seal that no engine gave");
  }
  if (answer->second.request != id) this->broke("MIXED", id + ": another request's answer");
  if (answer->second.status != status) this->broke("MIXED", id + ": another status");
  // The body of a stream is checked event by event.
  if (request->pieces == 0 && answer->second.body != body) {
    this->broke("MIXED", id + ": another body");
  }
}

void Ledger::got_word_of_leaving(const std::string& seal) {
  const auto answer = this->answers_by_seal.find(seal);
  if (answer == this->answers_by_seal.end()) return;
  const SentByCaller* request = this->find(answer->second.request);
  if (request == nullptr) return;
  this->notices.on_draining_received(monotonic_now(), {request->node, answer->second.engine});
}

void Ledger::reached(const std::string& id, const std::string& engine) {
  const SentByCaller* request = this->find(id);
  if (request == nullptr) return;
  const NodeAndIncarnation pair{request->node, engine};
  const std::string broken = this->notices.on_request(monotonic_now(), pair, request->at);
  if (!broken.empty()) this->broke("NOTICE", id + " reaches an engine: " + broken);
  const std::string over = this->limits.on_request(monotonic_now(), pair);
  if (!over.empty()) this->broke("LIMIT", id + " reaches an engine: " + over);
}

void Ledger::names_limit(const std::string& engine, std::optional<double> a_second) {
  if (!a_second) return this->limits.clear_limit(engine);
  this->limits.set_limit(monotonic_now(), engine, *a_second);
}

void Ledger::got_limit(const std::string& seal) {
  const auto answer = this->answers_by_seal.find(seal);
  if (answer == this->answers_by_seal.end()) return;
  const SentByCaller* request = this->find(answer->second.request);
  if (request == nullptr) return;
  this->limits.on_limit_received(monotonic_now(), {request->node, answer->second.engine});
}

void Ledger::asked_for_rest(const std::string& id, const std::string& engine, Duration rest) {
  const SentByCaller* request = this->find(id);
  if (request == nullptr) return;
  this->notices.on_cooldown_requested(monotonic_now(), {request->node, engine}, rest);
}

bool Ledger::got_event(const std::string& id, std::uint64_t number, const std::string& text) {
  if (text == event_text(id, number)) return true;
  this->broke("ORDER", id + ": event " + std::to_string(number) + " is not its own: " + text);
  return false;
}

void Ledger::got_stream_end(const std::string& id, std::uint64_t last) {
  const SentByCaller* request = this->find(id);
  if (request == nullptr || request->pieces == last) return;
  this->broke("ORDER", id + ": ended as whole after event " + std::to_string(last) + " of " +
                           std::to_string(request->pieces));
}

void Ledger::arrived(const std::string& id, const std::string& service, bool reads_apart) {
  if (this->find(id) == nullptr) return this->broke("UNASKED", id + " was never sent");
  // The first prompt that is taken up to be read apart is not extra.
  if (reads_apart && !std::exchange(this->seen_reads[id], true)) return;
  if (this->seen_arrivals[id]++ == 0 && !reads_apart) return;
  const SteadyTime now = std::chrono::steady_clock::now();
  this->arrivals[service].repeats.push_back(now);
  this->check_budget(service, now);
}

void Ledger::check_budget(const std::string& service, SteadyTime now) {
  Arrivals& of_service = this->arrivals[service];
  const auto within = [now](const std::deque<SteadyTime>& times, std::chrono::milliseconds from,
                            std::chrono::milliseconds to) {
    return static_cast<double>(std::count_if(times.begin(), times.end(), [&](SteadyTime time) {
      return now - time >= from && now - time < to;
    }));
  };
  const std::chrono::milliseconds window = this->bound.window;
  const std::chrono::milliseconds none{0};
  const double asked = std::max({within(of_service.requests, none, window),
                                 within(of_service.requests, window, 2 * window),
                                 within(of_service.requests, window / 2, window + window / 2)});
  const double repeated = within(of_service.repeats, none, window);
  if (repeated <= asked * this->bound.ratio + this->bound.slack) return;
  this->broke("BUDGET", service + ": " + std::to_string(repeated) + " repeats of " +
                            std::to_string(asked) + " requests");
  of_service.repeats.clear();
}

void Ledger::runs(const std::string& id, const std::string& service, const std::string& method,
                  const std::string& target, const std::string& body) {
  const SentByCaller* request = this->find(id);
  if (request == nullptr) return this->broke("UNASKED", id + " was never sent");
  const bool same = request->method == method && request->target == target && request->body == body;
  if (!same) this->broke("UNASKED", id + " was changed on its way");
  if (request->service != service) this->broke("ROUTE", id + " ran at " + service);
  const std::uint64_t count = ++this->run_counts[id];
  if (count > 1 && !request->repeatable) this->broke("TWICE", id);
  if (this->promised_not_run.count(id) > 0) this->broke("REFUSED", id + " runs later");
}

std::string Ledger::answers(const AnswerOfEngine& answer) {
  std::string seal = "seal-" + std::to_string(++this->seals);
  this->answers_by_seal[seal] = answer;
  return seal;
}

void Ledger::made_handle(const std::string& handle, const std::string& id) {
  this->handles[handle] = id;
}

void Ledger::took_handle(const std::string& handle, const std::string& id) {
  const auto made = this->handles.find(handle);
  if (made != this->handles.end() && made->second != id) {
    this->broke("MIXED", id + " goes on from the memory of " + made->second);
  }
}

void Ledger::deadly_arrived(const std::string& name, bool calm) {
  Deadly& request = this->deadly[name];
  const bool late = request.ended >= kEnoughEnded &&
                    std::chrono::steady_clock::now() - request.third > kKnownEverywhere;
  if (!late || !calm || ++request.late != kMostLateSends + 1) return;
  this->broke("CRASHING", name + " is sent on, after it has ended " +
                              std::to_string(request.ended) + " engines");
}

void Ledger::deadly_ended_engine(const std::string& name) {
  Deadly& request = this->deadly[name];
  if (++request.ended == kEnoughEnded) request.third = std::chrono::steady_clock::now();
}

std::size_t Ledger::ended_under(const std::string& name) const {
  const auto found = this->deadly.find(name);
  return found == this->deadly.end() ? 0 : found->second.ended;
}

void Ledger::ordered(const std::string& engine, const std::string& holder, std::uint64_t fence) {
  const std::string machine = machine_of(holder);
  const auto [known, first] = this->holders[engine].try_emplace(fence, machine);
  if (!first && known->second != machine) {
    this->broke("ONE", engine + ": " + machine + " and " + known->second + " under fence " +
                           std::to_string(fence));
  }
}

}  // namespace shuntbank::testing
