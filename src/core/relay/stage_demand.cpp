#include "core/relay/stage_demand.hpp"

#include <algorithm>
#include <cmath>

namespace shuntbank::relay {
namespace {

/// Callers may ask several times per tick of the lease holder (400 ms).
constexpr Duration kSampleInterval = std::chrono::milliseconds(100);

/// After a longer gap, such as a lost lease, the earlier samples say nothing about the load now.
constexpr Duration kMaxSampleGap = std::chrono::seconds(2);

/// Long enough to see both phases of a mix that flips every few seconds, and most of a wave of
/// demand with a period of 10 to 20 s.
constexpr Duration kHistory = std::chrono::seconds(15);

/// Averages single prompts, but keeps a burst of a few seconds.
constexpr Duration kHeavyWindow = std::chrono::milliseconds(2400);

/// Three samples: the shortest mean that does not follow a single one.
constexpr Duration kRecentWindow = std::chrono::milliseconds(1000);

/// Before this, a mix that flips every few seconds may have shown one phase only.
constexpr Duration kMinHistory = std::chrono::seconds(6);
/// Enough for an urgent change: three samples at a tick of 400 ms.
constexpr Duration kMinUrgentHistory = std::chrono::milliseconds(800);

constexpr Duration kLossWindow = std::chrono::seconds(3);
constexpr double kLossShare = 0.1;

/// A backlog counts as the engines that work it off within this time, which is the order of a
/// route's objective.
constexpr double kBacklogDrainMs = 1000;

/// Below this load no stage is short: prompts rarely wait and streams run near their usual pace.
constexpr double kComfortableLoad = 0.5;
/// A target is dropped below this load. Lower than the load that sets one, so that a load near the
/// threshold does not set and drop it in turn.
constexpr double kEasedLoad = 0.4;

/// From this load on requests wait at single engines, since nodes choose engines by views that are
/// 100 to 200 ms old.
constexpr double kSaturatedLoad = 0.85;

/// A decode engine with this share of its slots taken counts as fully used: from about 9 of 16
/// known requests on, the 90th percentile of handovers doubles, and streams slow down as a batch
/// fills.
constexpr double kComfortableFill = 0.55;

/// Decode engines keep at least this part of the share that the configuration gives them. Those
/// with free slots prefill prompts too, at half the pace, so that a shortage of prefill engines is
/// eased without a change, and one of decode engines is not.
constexpr double kMinDecodePart = 0.5;

/// Prefill engines beyond the configured share need an imbalance of this ratio for this long:
/// caches that are cold after a start or a loss make prefill look short for some seconds. Longer
/// than the history, so that one such burst does not suffice.
constexpr double kMinRatioBeyondShare = 1.6;
constexpr Duration kHoldBeyondShare = std::chrono::seconds(18);

/// A stage never gives engines away that would raise its load beyond this.
constexpr double kMaxSourceLoad = 0.75;

/// Ratio of the two loads from which an imbalance is worth a change. Samples of a constant load
/// differ by up to a fifth.
constexpr double kMinRatio = 1.3;
/// The same for a target in the opposite direction of the last one. With 1.3, noise of a constant
/// demand of a few engines moved 12 of 44 engines back and forth within 200 s.
constexpr double kMinReversalRatio = 1.6;

/// A saturated stage hides demand: what it cannot take shows neither there nor elsewhere.
constexpr double kHiddenDemand = 1.25;

/// How long an imbalance must last. A change takes an engine out of service for about 3 s.
constexpr Duration kHold = std::chrono::milliseconds(2400);
/// One more sample confirms an urgent one.
constexpr Duration kUrgentHold = std::chrono::milliseconds(400);

/// Such a target also has to wait until the whole history is of the present division. Neither
/// applies while a stage is saturated or engines were lost.
constexpr Duration kReversalDelay = kHistory;

/// Smallest revision of a target, in engines and as a share of them: less is noise of the samples.
constexpr double kMinRevision = 1.5;
constexpr double kMinRevisionShare = 0.03;

double load_of(double work, double capacity) {
  return work / std::max(capacity, 1.0);
}

/// @return prompt tokens that wait at an engine behind those being prefilled.
double waiting_tokens(MonotonicTime now, const EngineView& engine) {
  const double requests = engine.total_requests(now);
  if (requests <= 1) return 0;
  auto tokens = static_cast<double>(engine.prefill_tokens);
  if (engine.peer_load) tokens += static_cast<double>(engine.peer_load->prefill_tokens);
  return tokens * (1 - 1 / requests);
}

}  // namespace

EngineStage opposite_stage(EngineStage stage) {
  return stage == EngineStage::kPrefill ? EngineStage::kDecode : EngineStage::kPrefill;
}

double relative_speed(const EngineView& engine) {
  return 1 / engine.profile.pace_factor();
}

StageLoad measure_stage_load(MonotonicTime now, const std::vector<EngineView*>& engines,
                             const EngineModel& model) {
  StageLoad load;
  for (const EngineView* engine : engines) {
    if (engine->record.draining || engine->terminated) continue;
    ++load.engines;
    load.peer_load_present = load.peer_load_present || engine->peer_load.has_value();
    const double requests = engine->total_requests(now);
    load.any_request = load.any_request || requests > 0;
    const double speed = relative_speed(*engine);
    if (engine->record.stage == EngineStage::kPrefill) {
      // Several requests at one engine while others idle are no lack of engines: only their tokens
      // count, as backlog.
      const double waiting_ms = waiting_tokens(now, *engine) * model.prefill().token_ms();
      load.work.prefill += speed * std::min(1.0, requests) + waiting_ms / kBacklogDrainMs;
    } else {
      load.work.decode += speed * requests / std::max(1U, engine->record.slots);
    }
  }
  return load;
}

bool StageDemand::due(MonotonicTime now) const {
  return samples_.empty() || now - samples_.back().at >= kSampleInterval;
}

void StageDemand::observe(MonotonicTime now, const StageLoad& load) {
  if (!samples_.empty() && now - samples_.back().at > kMaxSampleGap) samples_.clear();
  request_seen_ = request_seen_ || load.any_request;
  peer_load_seen_ = peer_load_seen_ || load.peer_load_present;
  // A node that hears of no other one any more sees its own load only.
  if (peer_load_seen_ && !load.peer_load_present) {
    samples_.clear();
    return;
  }
  while (!samples_.empty() && now - samples_.front().at > kHistory) samples_.pop_front();
  samples_.push_back({now, load.work, {}, load.engines});
  samples_.back().mean = mean_work(kHeavyWindow);
}

Duration StageDemand::history() const {
  return samples_.empty() ? Duration::zero() : samples_.back().at - samples_.front().at;
}

StageAmounts StageDemand::mean_work(Duration window) const {
  StageAmounts sum;
  std::size_t count = 0;
  for (auto it = samples_.rbegin(); it != samples_.rend(); ++it) {
    if (samples_.back().at - it->at >= window) break;
    sum.prefill += it->work.prefill;
    sum.decode += it->work.decode;
    ++count;
  }
  if (count == 0) return {};
  return {sum.prefill / static_cast<double>(count), sum.decode / static_cast<double>(count)};
}

StageAmounts StageDemand::heaviest() const {
  StageAmounts most;
  for (const Sample& sample : samples_) {
    // The first means cover too few samples.
    if (sample.at - samples_.front().at < kMinUrgentHistory) continue;
    most.prefill = std::max(most.prefill, sample.mean.prefill);
    most.decode = std::max(most.decode, sample.mean.decode);
  }
  return most;
}

StageAmounts StageDemand::recent() const {
  return mean_work(kRecentWindow);
}

StageAmounts StageDemand::average() const {
  return mean_work(kHistory);
}

bool StageDemand::engines_lost() const {
  if (samples_.empty()) return false;
  std::size_t most = 0;
  for (const Sample& sample : samples_) {
    if (samples_.back().at - sample.at <= kLossWindow) most = std::max(most, sample.engines);
  }
  const auto lost = static_cast<double>(most - samples_.back().engines);
  return lost > 0 && lost >= static_cast<double>(most) * kLossShare;
}

const char* to_text(StageTargetCause cause) {
  switch (cause) {
    case StageTargetCause::kImbalance:
      return "imbalance";
    case StageTargetCause::kSaturated:
      return "saturated";
    case StageTargetCause::kLoss:
      return "loss";
    case StageTargetCause::kRevised:
      return "revised";
    case StageTargetCause::kReached:
      return "reached";
    case StageTargetCause::kEased:
      return "eased";
    case StageTargetCause::kUnknown:
      return "unknown";
  }
  return "";
}

/// The loads of both stages, and the division of engines that would make them equal.
struct StageBalance::Imbalance {
  EngineStage short_stage = EngineStage::kNone;  ///< The one with the higher load.
  double high = 0;                               ///< Its load.
  double low = 0;                                ///< The other one's.
  double fill = 0;            ///< Share of the short stage's engines or slots in use.
  bool saturated = false;     ///< Of the short stage, in the last second.
  double wanted = 0;          ///< Capacity that the short stage should have.
  bool beyond_share = false;  ///< Prefill is short though it has its configured share.

  /// @return whether an imbalance is large enough for a change.
  bool clear(const StageAmounts& capacity) const {
    // Half an engine more cannot be had.
    return fill >= kComfortableLoad && high >= low * kMinRatio &&
           wanted >= capacity.of(short_stage) + 0.5;
  }
};

StageBalance::Imbalance StageBalance::measure(const StageDemand& demand,
                                              const StageAmounts& capacity) const {
  const StageAmounts heaviest = demand.heaviest();
  const StageAmounts recent = demand.recent();
  StageAmounts work{std::max(heaviest.prefill, recent.prefill),
                    std::max(heaviest.decode, recent.decode) / kComfortableFill};
  // One burst stays among the heaviest seconds for the whole history.
  const bool has_share = capacity.prefill + 0.5 > usual_prefill_share_ * capacity.total();
  StageAmounts lasting = work;
  if (has_share) lasting.prefill = std::min(work.prefill, demand.average().prefill);
  const double decode_load = load_of(work.decode, capacity.decode);
  const bool prefill_short = load_of(lasting.prefill, capacity.prefill) > decode_load;
  // Prefill that is short only in its heaviest seconds neither gets nor gives engines.
  if (!prefill_short && load_of(work.prefill, capacity.prefill) >= decode_load) return {};
  if (prefill_short) work = lasting;
  const double prefill_load = load_of(work.prefill, capacity.prefill);
  Imbalance result;
  result.short_stage = prefill_short ? EngineStage::kPrefill : EngineStage::kDecode;
  result.high = std::max(prefill_load, decode_load);
  result.low = std::min(prefill_load, decode_load);
  result.fill = prefill_short ? result.high : result.high * kComfortableFill;
  const EngineStage source = opposite_stage(result.short_stage);
  result.saturated =
      load_of(recent.of(result.short_stage), capacity.of(result.short_stage)) >= kSaturatedLoad;
  if (result.saturated && result.low < kSaturatedLoad) work.of(result.short_stage) *= kHiddenDemand;
  const double balanced =
      capacity.total() * work.of(result.short_stage) / std::max(work.total(), 1e-9);
  const double spared = capacity.total() - work.of(source) / kMaxSourceLoad;
  result.wanted = std::min(balanced, spared);
  if (!prefill_short) return result;
  const double usual = usual_prefill_share_ * capacity.total();
  const double most = (1 - (1 - usual_prefill_share_) * kMinDecodePart) * capacity.total();
  result.beyond_share = has_share;
  result.wanted = std::min(result.wanted, result.beyond_share ? most : usual);
  return result;
}

std::optional<StageTargetCause> StageBalance::drop(MonotonicTime now, StageTargetCause cause) {
  last_growing_ = target_->growing;
  last_target_at_ = now;
  target_.reset();
  return cause;
}

std::optional<StageTargetCause> StageBalance::update(MonotonicTime now, const StageDemand& demand,
                                                     const StageAmounts& capacity) {
  if (demand.history() < kMinUrgentHistory) {
    imbalanced_ = EngineStage::kNone;
    return target_ ? drop(now, StageTargetCause::kUnknown) : std::nullopt;
  }
  const Imbalance imbalance = measure(demand, capacity);
  return target_ ? follow(now, capacity, imbalance) : start(now, demand, capacity, imbalance);
}

std::optional<StageTargetCause> StageBalance::start(MonotonicTime now, const StageDemand& demand,
                                                    const StageAmounts& capacity,
                                                    const Imbalance& imbalance) {
  if (!imbalance.clear(capacity)) {
    imbalanced_ = EngineStage::kNone;
    return std::nullopt;
  }
  if (imbalanced_ != imbalance.short_stage) {
    imbalanced_ = imbalance.short_stage;
    imbalanced_since_ = now;
  }
  const bool lost = demand.engines_lost();
  // After a smaller loss the engines that replace the lost ones come before changed ones would.
  const bool urgent = !imbalance.beyond_share &&
                      (imbalance.saturated || (lost && imbalance.fill >= kMaxSourceLoad));
  const bool reversal = last_growing_ == opposite_stage(imbalance.short_stage);
  const bool premature = reversal && (now - last_target_at_ < kReversalDelay ||
                                      imbalance.high < imbalance.low * kMinReversalRatio);
  if (!urgent && (premature || demand.history() < kMinHistory)) return std::nullopt;
  if (imbalance.beyond_share && imbalance.high < imbalance.low * kMinRatioBeyondShare)
    return std::nullopt;
  const Duration hold = imbalance.beyond_share ? kHoldBeyondShare : urgent ? kUrgentHold : kHold;
  if (now - imbalanced_since_ < hold) return std::nullopt;
  const double share = imbalance.wanted / std::max(capacity.total(), 1e-9);
  const bool prefill = imbalance.short_stage == EngineStage::kPrefill;
  target_ = StageTarget{imbalance.short_stage, prefill ? share : 1 - share};
  if (lost && urgent) return StageTargetCause::kLoss;
  return imbalance.saturated ? StageTargetCause::kSaturated : StageTargetCause::kImbalance;
}

std::optional<StageTargetCause> StageBalance::follow(MonotonicTime now,
                                                     const StageAmounts& capacity,
                                                     const Imbalance& imbalance) {
  const bool prefill = target_->growing == EngineStage::kPrefill;
  const double share = prefill ? target_->prefill_share : 1 - target_->prefill_share;
  const double total = std::max(capacity.total(), 1e-9);
  if (share * total < capacity.of(target_->growing) + 0.5) {
    return drop(now, StageTargetCause::kReached);
  }
  const bool turned = imbalance.short_stage != target_->growing;
  if (turned || imbalance.fill < kEasedLoad) return drop(now, StageTargetCause::kEased);
  if (std::abs(imbalance.wanted - share * total) >=
      std::max(kMinRevision, kMinRevisionShare * total)) {
    const double revised = std::clamp(imbalance.wanted / total, 0.0, 1.0);
    target_->prefill_share = prefill ? revised : 1 - revised;
    return StageTargetCause::kRevised;
  }
  return std::nullopt;
}

}  // namespace shuntbank::relay
