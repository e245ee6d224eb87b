// Engine health and backoff, from attempts of this node and problems reported by other nodes.
#include <algorithm>

#include "common/hash.hpp"
#include "core/relay/engine_directory.hpp"

namespace shuntbank::relay {
namespace {

/// Consecutive failures before backoff, and its initial and maximum duration.
constexpr std::uint32_t kFailuresBeforeBackoff = 3;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(500);
constexpr Duration kMaxBackoff = std::chrono::seconds(4);

/// Initial backoff after a refusal: the engine is full or changing its stage.
constexpr Duration kBusyBackoff = std::chrono::milliseconds(400);

/// An unreachable engine is backed off at once, and its failure rate raised so that it is not
/// preferred for being idle afterwards.
constexpr Duration kUnreachableBackoff = std::chrono::seconds(1);
constexpr double kUnreachableFailureRate = 0.5;

/// Backoffs are extended at random by up to this factor, so that nodes do not retry an engine all
/// at once and the first one can report its result.
constexpr double kMaxJitterFactor = 3;

/// Maximum backoff after a misdirected request, unless the engine's record changes earlier.
constexpr Duration kMisdirectedBackoff = std::chrono::seconds(5);

/// Problems reported by other nodes are ignored this long after a success here.
constexpr Duration kRecentSuccess = std::chrono::milliseconds(300);

/// Older samples no longer describe an engine's streams.
constexpr Duration kMaxEventIntervalAge = std::chrono::milliseconds(600);

/// Weight of the newest attempt in the moving averages.
constexpr double kNewestWeight = 0.15;

/// @return the backoff after so many consecutive ones.
Duration exponential_backoff(Duration first, std::uint32_t times) {
  constexpr std::uint32_t kMaxDoublings = 4;
  return std::min(first * (1 << std::min(times, kMaxDoublings)), kMaxBackoff);
}

}  // namespace

double EngineView::recent_event_interval_ms(MonotonicTime now, double fallback) const {
  return event_interval_ms > 0 && now - event_interval_at <= kMaxEventIntervalAge
             ? event_interval_ms
             : fallback;
}

void EngineDirectory::on_attempt_health(MonotonicTime now, const EngineId& id,
                                        AttemptHealth health) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  const bool failed = health == AttemptHealth::kFailed || health == AttemptHealth::kUnreachable;
  engine->failure_rate += kNewestWeight * ((failed ? 1.0 : 0.0) - engine->failure_rate);
  if (health == AttemptHealth::kGood) {
    engine->consecutive_failures = 0;
    engine->consecutive_refusals = 0;
  }
  if (health == AttemptHealth::kGood) engine->last_success_at = now;
  if (health == AttemptHealth::kBusy) {
    engine->backoff_until = now + exponential_backoff(kBusyBackoff, engine->consecutive_refusals++);
  }
  // The handle may have expired, which is no sign of poor health.
  if (health == AttemptHealth::kHandleRefused) engine->backoff_until = now + kBusyBackoff;
  if (health == AttemptHealth::kMisdirected) engine->backoff_until = now + kMisdirectedBackoff;
  if (!failed) return;
  ++engine->consecutive_failures;
  if (health == AttemptHealth::kUnreachable) {
    engine->backoff_until = now + add_jitter(kUnreachableBackoff, id);
    engine->failure_rate = std::max(engine->failure_rate, kUnreachableFailureRate);
  } else if (engine->consecutive_failures >= kFailuresBeforeBackoff) {
    engine->backoff_until =
        now +
        exponential_backoff(kInitialBackoff, engine->consecutive_failures - kFailuresBeforeBackoff);
  }
}

void EngineDirectory::on_peer_trouble(MonotonicTime now, const EngineTrouble& trouble) {
  if (trouble.kind == TroubleKind::kDraining) {
    on_draining(trouble.engine);
    return;
  }
  EngineView* engine = find(trouble.engine);
  // The reporting node acted on a different record.
  if (engine == nullptr || engine->record.stage != trouble.stage) return;
  const bool misdirected = trouble.kind == TroubleKind::kMisdirected;
  if (!misdirected && now - engine->last_success_at < kRecentSuccess) return;
  const Duration backoff =
      misdirected ? kMisdirectedBackoff : add_jitter(kUnreachableBackoff, trouble.engine);
  engine->backoff_until = std::max(engine->backoff_until, now + backoff);
}

Duration EngineDirectory::add_jitter(Duration base, const EngineId& engine) {
  const double fraction = hash_fraction(engine.value(), seed_ + ++jitter_draws_);
  const double factor = 1 + (kMaxJitterFactor - 1) * fraction;
  return Duration(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

void EngineDirectory::on_prompt_sent(std::uint64_t prefill_tokens) {
  average_prefill_tokens_ +=
      kNewestWeight * (static_cast<double>(prefill_tokens) - average_prefill_tokens_);
}

const EngineModel& EngineDirectory::model_of(const ServiceName& service) const {
  static const EngineModel defaults;
  const auto found = models_.find(service);
  return found == models_.end() ? defaults : found->second;
}

void EngineDirectory::on_event_interval(MonotonicTime now, const EngineId& id, Duration interval) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  const double ms = to_ms(interval);
  const bool fresh =
      engine->event_interval_ms > 0 && now - engine->event_interval_at <= kMaxEventIntervalAge;
  engine->event_interval_ms =
      fresh ? engine->event_interval_ms + kNewestWeight * (ms - engine->event_interval_ms) : ms;
  engine->event_interval_at = now;
}

void EngineDirectory::on_latency(const EngineId& id, Duration latency) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  const double ms = to_ms(latency);
  if (engine->latency_ms == 0) engine->latency_ms = ms;
  engine->latency_ms += kNewestWeight * (ms - engine->latency_ms);
}

}  // namespace shuntbank::relay
