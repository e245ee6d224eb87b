#include "core/relay/slot_wait.hpp"

#include <algorithm>

namespace shuntbank::relay {
namespace {

/// Weight of a class's default, in observations.
constexpr double kPriorWeight = 2;

/// Decay of an observation's weight per later one of its class: about fifty have influence.
constexpr double kDecay = 0.98;

/// Limit of one observation: requests that wait longer have missed any objective.
constexpr double kMaxWaitMs = 2000;

/// Used until the first stream has ended.
constexpr double kDefaultHeldMs = 1000;

constexpr double kHeldUpdate = 0.02;

}  // namespace

// Measured on engines of 16 slots (medians): 9, 11, 13, 14, 15, 16 and 17 known requests.
const SlotWaitModel::Means SlotWaitModel::kFills{0.5,   0.5625, 0.6875, 0.8125,
                                                 0.875, 0.9375, 1,      1.0625};
const SlotWaitModel::Means SlotWaitModel::kDefaultMs{0, 4, 9, 13, 18, 32, 150, 400};

bool SlotWaitModel::unoccupied(const Occupancy& at) {
  return at.fill() <= kFills.front();
}

double SlotWaitModel::wait_ms(const Occupancy& at) const {
  const double fill = at.fill();
  if (fill <= kFills.front()) return 0;
  if (fill >= kFills.back()) return this->means_ms.back() + this->beyond_classes_ms(fill);
  std::size_t upper = 1;
  while (kFills[upper] < fill) ++upper;
  const double share = (fill - kFills[upper - 1]) / (kFills[upper] - kFills[upper - 1]);
  return this->means_ms[upper - 1] + share * (this->means_ms[upper] - this->means_ms[upper - 1]);
}

/// Each request beyond the slots waits until one more slot becomes free.
double SlotWaitModel::beyond_classes_ms(double fill) const {
  const double held_ms = this->slot_held_ms > 0 ? this->slot_held_ms : kDefaultHeldMs;
  return std::max(0.0, fill - kFills.back()) * held_ms;
}

std::size_t SlotWaitModel::nearest_class(double fill) {
  const auto above = std::lower_bound(kFills.begin(), kFills.end(), fill);
  if (above == kFills.end()) return kClasses - 1;
  const auto index = static_cast<std::size_t>(above - kFills.begin());
  if (index == 0) return 0;
  return fill - kFills[index - 1] < kFills[index] - fill ? index - 1 : index;
}

void SlotWaitModel::observe(const Occupancy& at, double waited_ms) {
  if (unoccupied(at)) return;
  const double fill = at.fill();
  // The first class is the end of those that do not wait.
  const std::size_t index = std::max<std::size_t>(1, nearest_class(fill));
  const double class_ms = std::min(waited_ms, kMaxWaitMs) - this->beyond_classes_ms(fill);
  Observations& observations = this->observed[index];
  observations.weight = observations.weight * kDecay + 1;
  observations.sum_ms = observations.sum_ms * kDecay + class_ms;
  this->smooth();
}

/// Pools neighboring classes whose means decrease (isotonic regression): the mean of a class with
/// few observations may be below that of a less occupied one by chance.
void SlotWaitModel::smooth() {
  struct Block {
    double weight;
    double sum_ms;
    std::size_t classes;
    double mean() const { return sum_ms / weight; }
  };
  std::array<Block, kClasses> blocks{};
  std::size_t count = 0;
  for (std::size_t index = 1; index < kClasses; ++index) {
    const Observations& seen = this->observed[index];
    blocks[count++] = {seen.weight + kPriorWeight, seen.sum_ms + kPriorWeight * kDefaultMs[index],
                       1};
    while (count > 1 && blocks[count - 2].mean() > blocks[count - 1].mean()) {
      Block& pooled = blocks[count - 2];
      const Block& last = blocks[count - 1];
      pooled = {pooled.weight + last.weight, pooled.sum_ms + last.sum_ms,
                pooled.classes + last.classes};
      --count;
    }
  }
  std::size_t index = 1;
  for (std::size_t block = 0; block < count; ++block) {
    for (std::size_t member = 0; member < blocks[block].classes; ++member)
      this->means_ms[index++] = std::max(0.0, blocks[block].mean());
  }
}

void SlotWaitModel::on_slot_released(double held_ms) {
  if (held_ms <= 0) return;
  if (this->slot_held_ms == 0) this->slot_held_ms = held_ms;
  this->slot_held_ms += kHeldUpdate * (held_ms - this->slot_held_ms);
}

}  // namespace shuntbank::relay
