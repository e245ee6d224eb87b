#include "relay/engine_permits.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

/// Until a call to a keeper is given up. Nodes of three regions answer each other within 100 ms.
constexpr Duration kCallLife = std::chrono::milliseconds(250);

/// A node that comes to keep a limit grants nothing for so long: until then others may still go by
/// the keeper before, which they ask for a sign of life once a second.
constexpr Duration kFirstGrantAfter = std::chrono::milliseconds(1500);

constexpr Duration kTick = std::chrono::milliseconds(100);

/// A node that has not looked around for so long stood still: another may have taken its place.
constexpr Duration kStoodStill = std::chrono::milliseconds(500);

/// Of the listed nodes: a keeper that hears of no more than this grants its own part of the limit
/// alone, as the others may have a keeper as well. So the keepers of two parts of a fleet give one
/// and a half times the limit at most.
constexpr double kMostOfFleet = 0.5;

/// Permits that were given back are kept up to this; more come only with a burst of lost
/// connections.
constexpr std::size_t kMostSpare = 64;

std::uint32_t to_message_ms(Duration duration) {
  constexpr std::int64_t kMost = kHighestLimitAge;
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(whole_ms(duration), 0, kMost));
}

/// @return whole milliseconds that are no less than the duration.
std::uint32_t to_message_ms_up(Duration duration) {
  return to_message_ms(duration + std::chrono::microseconds(999));
}

}  // namespace

void EnginePermits::connect(const NodeId& own_name, PermitPeers& others) {
  this->alone = false;
  this->self = own_name;
  this->choice = KeeperChoice(own_name);
  this->peers = &others;
  this->ticks = std::make_unique<Periodic>(this->io.runtime, kTick, [this] { this->tick(); });
}

void EnginePermits::set_nodes(std::vector<NodeId> nodes) {
  if (!std::exchange(this->nodes_known, true)) this->calm_since = this->io.runtime.now();
  this->choice.set_nodes(std::move(nodes));
}

void EnginePermits::tick() {
  this->notice_standstill();
  this->looked_at = this->io.runtime.now();
  if (this->io.engines.limits().any()) this->look_around();
}

/// Calls that have waited may be taken before the first tick.
void EnginePermits::notice_standstill() {
  const MonotonicTime now = this->io.runtime.now();
  if (now - this->looked_at <= kStoodStill) return;
  this->calm_since = now;
  for (auto& [engine, kept] : this->keeping) kept.in_charge_since.reset();
}

/// Asks the nodes that come before this one, or before the one that it goes by.
void EnginePermits::look_around() {
  const MonotonicTime now = this->io.runtime.now();
  std::erase_if(this->keeping, [this](const auto& entry) { return !this->limited(entry.first); });
  for (const auto& [engine, view] : this->io.engines.all()) {
    if (!this->limited(engine)) continue;
    this->in_charge(engine, this->kept(engine));
    for (const NodeId& node : this->choice.to_ask(now, engine)) {
      this->call(node, engine, 0, std::nullopt);
    }
  }
}

EnginePermits::Kept& EnginePermits::kept(const EngineId& engine) {
  Kept& kept = this->keeping[engine];
  const double named = this->io.engines.limits().limit(engine).value_or(0);
  const MonotonicTime now = this->io.runtime.now();
  // What was granted at a higher limit is void.
  if (!kept.a_second || named < *kept.a_second) {
    kept.schedule.begin(now, named);
  } else if (named > *kept.a_second) {
    kept.schedule.speed_up(now, *kept.a_second, named);
  }
  kept.a_second = named;
  return kept;
}

bool EnginePermits::in_charge(const EngineId& engine, Kept& kept) {
  const MonotonicTime now = this->io.runtime.now();
  if (this->alone) return true;
  this->notice_standstill();
  if (this->peers == nullptr || !this->nodes_known ||
      this->choice.keeper(now, engine) != this->self) {
    kept.in_charge_since.reset();
    return false;
  }
  if (!kept.in_charge_since) {
    // Who comes first has been in charge for as long as it has run.
    kept.in_charge_since = this->choice.is_first(engine) ? this->calm_since : now;
    kept.schedule.begin(now, *kept.a_second);
    log_event(LogArea::kControl, LogLevel::kInfo, "keeps_limit",
              {{"engine", engine.value()},
               {"a_second", *kept.a_second},
               {"first", this->choice.is_first(engine)}});
  }
  return true;
}

/// Decides as the keeper, if this node is it.
EnginePermits::Grant EnginePermits::keep(const EngineId& engine,
                                         const std::optional<PermitSpan>& span) {
  const MonotonicTime now = this->io.runtime.now();
  Kept& own = this->kept(engine);
  if (!this->in_charge(engine, own)) return {PermitVerdict::kNotOwner, now, now};
  const MonotonicTime first =
      own.in_charge_since ? *own.in_charge_since + kFirstGrantAfter : MonotonicTime{};
  if (now < first) return {PermitVerdict::kWaitExceeded, first, first};
  const double heard = this->alone ? 1 : this->peers->share_heard();
  const double rate = *own.a_second * (heard > kMostOfFleet ? 1 : heard);
  if (!span) return {PermitVerdict::kWaitExceeded, now, own.schedule.next(now, rate)};
  const MonotonicTime earliest = now + span->earliest;
  const auto leaves = own.schedule.take(earliest, rate, earliest + span->longest_wait);
  const MonotonicTime next = own.schedule.next(now, rate);
  if (!leaves) return {PermitVerdict::kWaitExceeded, next, next};
  return {PermitVerdict::kGranted, *leaves, next};
}

void EnginePermits::ask(const EngineId& engine, const PermitSpan& span, Handler handler) {
  const MonotonicTime now = this->io.runtime.now();
  if (auto permit = this->take_spare(engine, now + span.earliest)) {
    return handler(std::move(permit));
  }
  const auto keeper = this->choice.keeper(now, engine);
  const bool reached = this->peers != nullptr && this->nodes_known;
  if (reached && keeper && *keeper != this->self) {
    return this->ask_keeper(*keeper, engine, span, std::move(handler));
  }
  const Grant grant = this->keep(engine, span);
  const bool granted = grant.verdict == PermitVerdict::kGranted;
  this->io.metrics.count_permit(granted ? "granted" : "later");
  this->io.engines.on_next_permit(
      engine, grant.verdict == PermitVerdict::kNotOwner ? now + kCallLife : grant.next);
  if (!granted) return handler(std::nullopt);
  handler(SendPermit{engine, grant.leaves, grant.leaves + kPermitLife,
                     this->io.engines.limits().limit(engine).value_or(0)});
}

void EnginePermits::ask_keeper(const NodeId& keeper, const EngineId& engine, const PermitSpan& span,
                               Handler handler) {
  const std::uint64_t number = ++this->numbers;
  Pending& waiting = this->pending[number];
  waiting.engine = engine;
  waiting.sent_at = this->io.runtime.now();
  waiting.handler = std::move(handler);
  waiting.timer =
      this->io.runtime.after(kCallLife, [this, number] { this->on_unanswered(number); });
  this->call(keeper, engine, number, span);
}

void EnginePermits::call(const NodeId& node, const EngineId& engine, std::uint64_t number,
                         const std::optional<PermitSpan>& span) {
  if (this->peers == nullptr) return;
  this->choice.on_asked(this->io.runtime.now(), node);
  PermitCall call;
  call.node = this->self;
  call.boot = this->boot;
  call.number = number;
  call.engine = engine;
  call.wants_permit = span.has_value();
  if (span) {
    call.earliest_send_ms = to_message_ms(span->earliest);
    call.max_wait_ms = to_message_ms(span->longest_wait);
  }
  call.limit = this->told_limit(engine);
  this->peers->send(node, encode(call));
}

/// Other engines are tried meanwhile: the keeper may be gone.
void EnginePermits::on_unanswered(std::uint64_t number) {
  const auto found = this->pending.find(number);
  if (found == this->pending.end()) return;
  const Pending waiting = std::move(found->second);
  this->pending.erase(found);
  this->io.metrics.count_permit("unanswered");
  log_event(LogArea::kControl, LogLevel::kInfo, "permit_unanswered",
            {{"engine", waiting.engine.value()}});
  this->io.engines.on_next_permit(waiting.engine, this->io.runtime.now() + kCallLife);
  waiting.handler(std::nullopt);
}

void EnginePermits::on_call(const PermitCall& call) {
  if (this->peers == nullptr) return;
  this->choice.on_heard(call.node);
  this->take_limit(call.engine, call.limit);
  const MonotonicTime now = this->io.runtime.now();
  PermitAnswer answer;
  answer.node = this->self;
  answer.boot = call.boot;
  answer.number = call.number;
  answer.engine = call.engine;
  if (this->limited(call.engine)) {
    const PermitSpan span{std::chrono::milliseconds(call.earliest_send_ms),
                          std::chrono::milliseconds(call.max_wait_ms)};
    const Grant grant =
        this->keep(call.engine, call.wants_permit ? std::optional(span) : std::nullopt);
    answer.verdict = grant.verdict;
    answer.send_in_ms = to_message_ms_up(grant.leaves - now);
    answer.next_permit_in_ms = to_message_ms_up(grant.next - now);
  }
  answer.limit = this->told_limit(call.engine);
  this->peers->send(call.node, encode(answer));
}

void EnginePermits::on_answer(const PermitAnswer& answer) {
  if (answer.boot != this->boot) return;
  this->choice.on_heard(answer.node);
  this->take_limit(answer.engine, answer.limit);
  const auto found = this->pending.find(answer.number);
  if (found == this->pending.end()) return;
  Pending waiting = std::move(found->second);
  this->pending.erase(found);
  waiting.timer.reset();
  const MonotonicTime now = this->io.runtime.now();
  const bool granted = answer.verdict == PermitVerdict::kGranted;
  const bool knows = answer.verdict != PermitVerdict::kNotOwner;
  this->io.metrics.count_permit(granted ? "granted" : knows ? "later" : "not_the_keeper");
  const Duration next =
      knows ? std::chrono::milliseconds(answer.next_permit_in_ms) : Duration(kAskKeeperAgain);
  this->io.engines.on_next_permit(answer.engine, now + next);
  if (!granted) return waiting.handler(std::nullopt);
  // The keeper counts from some moment between the call and its answer.
  const std::chrono::milliseconds leaves(answer.send_in_ms);
  waiting.handler(SendPermit{answer.engine, now + leaves, waiting.sent_at + leaves + kPermitLife,
                             answer.limit.a_second.value_or(0)});
}

bool EnginePermits::usable(const SendPermit& permit) const {
  const auto limit = this->io.engines.limits().limit(permit.engine);
  return this->io.runtime.now() <= permit.until && (!limit || *limit >= permit.a_second);
}

bool EnginePermits::may_send(const EngineId& engine,
                             const std::optional<SendPermit>& permit) const {
  if (!this->limited(engine)) return true;
  return permit && permit->engine == engine && this->usable(*permit);
}

void EnginePermits::give_back(const SendPermit& permit) {
  if (!this->usable(permit) || this->spare.size() >= kMostSpare) return;
  this->spare.push_back(permit);
}

std::optional<SendPermit> EnginePermits::take_spare(const EngineId& engine,
                                                    MonotonicTime needed_at) {
  std::erase_if(this->spare, [this](const SendPermit& permit) { return !this->usable(permit); });
  const auto found = std::find_if(
      this->spare.begin(), this->spare.end(),
      [&](const SendPermit& one) { return one.engine == engine && one.until >= needed_at; });
  if (found == this->spare.end()) return std::nullopt;
  SendPermit permit = std::move(*found);
  this->spare.erase(found);
  return permit;
}

void EnginePermits::take_limit(const EngineId& engine, const ToldLimit& told) {
  this->io.listener.on_peer_limit({engine, to_heard(told, this->io.runtime.now())});
}

ToldLimit EnginePermits::told_limit(const EngineId& engine) const {
  const HeardLimit* known = this->io.engines.limits().find(engine);
  if (known == nullptr) return {std::nullopt, kHighestLimitAge};
  return to_told(*known, this->io.runtime.now());
}

}  // namespace shuntbank::relay
