// What this node concludes of engines from how attempts end, and from what other nodes have met.
#include <algorithm>

#include "common/hash.hpp"
#include "core/relay/engine_directory.hpp"

namespace shuntbank::relay {
namespace {

/// Failures in a row after which an engine is avoided, and for how long at first and at most.
constexpr std::uint32_t kFailuresToAvoid = 3;
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(500);
constexpr Duration kLongestAvoidance = std::chrono::seconds(4);

/// An engine that refuses is full, or changes its stage, for a while; longer each time in a row.
constexpr Duration kBusyAvoidance = std::chrono::milliseconds(400);

/// An engine that cannot be reached is avoided at once, and not preferred for its idleness after.
constexpr Duration kUnreachableAvoidance = std::chrono::seconds(1);
constexpr double kUnreachableShare = 0.5;

/// Up to so many times longer, drawn by each node anew. Where all nodes heard of it together, all
/// would try it again together; so the first one does, and tells the others what it met.
constexpr double kLongestByLot = 3;

/// An engine that is not the one expected is avoided until its record changes, or so long.
constexpr Duration kMisdirectedAvoidance = std::chrono::seconds(5);

/// What another node has met at an engine does not count against a later success here.
constexpr Duration kTroubleAge = std::chrono::milliseconds(300);

/// A pace that is older says nothing of an engine's streams now.
constexpr Duration kPaceLife = std::chrono::milliseconds(600);

/// Weight of the newest attempt in the moving averages.
constexpr double kNewestWeight = 0.15;

/// @return the avoidance after so many others in a row.
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
  // The handle may have lapsed, which says little of the engine.
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
  // A node that knows a newer record of the engine would not have met this.
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
