// Engine health and backoff, from attempts of this node and problems reported by other nodes.
#include <algorithm>

#include "common/hash.hpp"
#include "core/relay/engine_directory.hpp"

namespace shuntbank::relay {
namespace {

/// Consecutive failures before backoff, and its initial and maximum duration.
constexpr std::uint32_t kFailuresToAvoid = 3;
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(500);
constexpr Duration kLongestAvoidance = std::chrono::seconds(4);

/// Initial backoff after a refusal: the engine is full or changing its stage.
constexpr Duration kBusyAvoidance = std::chrono::milliseconds(400);

/// An unreachable engine is backed off at once, and its failure rate raised so that it is not
/// preferred for being idle afterwards.
constexpr Duration kUnreachableAvoidance = std::chrono::seconds(1);
constexpr double kUnreachableShare = 0.5;

/// Backoffs are extended at random by up to this factor, so that nodes do not retry an engine all
/// at once and the first one can report its result.
constexpr double kLongestByLot = 3;

/// Maximum backoff after a misdirected request, unless the engine's record changes earlier.
constexpr Duration kMisdirectedAvoidance = std::chrono::seconds(5);

/// Problems reported by other nodes are ignored this long after a success here.
constexpr Duration kTroubleAge = std::chrono::milliseconds(300);

/// Older samples no longer describe an engine's streams.
constexpr Duration kPaceLife = std::chrono::milliseconds(600);

/// Weight of the newest attempt in the moving averages.
constexpr double kNewestWeight = 0.15;

/// @return the backoff after so many consecutive ones.
Duration doubled(Duration first, std::uint32_t times) {
  constexpr std::uint32_t kMostDoublings = 4;
  return std::min(first * (1 << std::min(times, kMostDoublings)), kLongestAvoidance);
}

}  // namespace

double EngineView::recent_pace_ms(MonotonicTime now, double fallback) const {
  return pace_ms > 0 && now - pace_at <= kPaceLife ? pace_ms : fallback;
}

void EngineDirectory::on_health(MonotonicTime now, const EngineId& id, AttemptHealth health) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  const bool failed = health == AttemptHealth::kFailed || health == AttemptHealth::kUnreachable;
  engine->failure_share += kNewestWeight * ((failed ? 1.0 : 0.0) - engine->failure_share);
  if (health == AttemptHealth::kGood) {
    engine->failures_in_a_row = 0;
    engine->refusals_in_a_row = 0;
  }
  if (health == AttemptHealth::kGood) engine->last_good = now;
  if (health == AttemptHealth::kBusy) {
    engine->avoided_until = now + doubled(kBusyAvoidance, engine->refusals_in_a_row++);
  }
  // The handle may have expired, which is no sign of poor health.
  if (health == AttemptHealth::kHandleRefused) engine->avoided_until = now + kBusyAvoidance;
  if (health == AttemptHealth::kMisdirected) engine->avoided_until = now + kMisdirectedAvoidance;
  if (!failed) return;
  ++engine->failures_in_a_row;
  if (health == AttemptHealth::kUnreachable) {
    engine->avoided_until = now + longer_by_lot(kUnreachableAvoidance, id);
    engine->failure_share = std::max(engine->failure_share, kUnreachableShare);
  } else if (engine->failures_in_a_row >= kFailuresToAvoid) {
    engine->avoided_until =
        now + doubled(kFirstAvoidance, engine->failures_in_a_row - kFailuresToAvoid);
  }
}

void EngineDirectory::on_peer_trouble(MonotonicTime now, const EngineTrouble& trouble) {
  if (trouble.kind == TroubleKind::kLeaving) {
    on_leaving(trouble.engine);
    return;
  }
  EngineView* engine = find(trouble.engine);
  // The reporting node acted on a different record.
  if (engine == nullptr || engine->record.stage != trouble.stage) return;
  const bool misdirected = trouble.kind == TroubleKind::kMisdirected;
  if (!misdirected && now - engine->last_good < kTroubleAge) return;
  const Duration avoidance =
      misdirected ? kMisdirectedAvoidance : longer_by_lot(kUnreachableAvoidance, trouble.engine);
  engine->avoided_until = std::max(engine->avoided_until, now + avoidance);
}

Duration EngineDirectory::longer_by_lot(Duration shortest, const EngineId& engine) {
  const double lot = hash_fraction(engine.value(), seed_ + ++lots_drawn_);
  const double factor = 1 + (kLongestByLot - 1) * lot;
  return Duration(static_cast<std::int64_t>(static_cast<double>(shortest.count()) * factor));
}

void EngineDirectory::on_prompt_sent(std::uint64_t unread) {
  usual_unread_tokens_ += kNewestWeight * (static_cast<double>(unread) - usual_unread_tokens_);
}

const EngineModel& EngineDirectory::model_of(const ServiceName& service) const {
  static const EngineModel defaults;
  const auto found = models_.find(service);
  return found == models_.end() ? defaults : found->second;
}

void EngineDirectory::on_event_gap(MonotonicTime now, const EngineId& id, Duration gap) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  const double ms = to_ms(gap);
  const bool fresh = engine->pace_ms > 0 && now - engine->pace_at <= kPaceLife;
  engine->pace_ms = fresh ? engine->pace_ms + kNewestWeight * (ms - engine->pace_ms) : ms;
  engine->pace_at = now;
}

void EngineDirectory::on_latency(const EngineId& id, Duration latency) {
  EngineView* engine = find(id);
  if (engine == nullptr) return;
  const double ms = to_ms(latency);
  if (engine->latency_ms == 0) engine->latency_ms = ms;
  engine->latency_ms += kNewestWeight * (ms - engine->latency_ms);
}

}  // namespace shuntbank::relay
