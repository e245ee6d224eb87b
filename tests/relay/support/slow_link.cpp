#include "relay/support/slow_link.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace shuntbank::testing {
namespace {

/// Between two steps of the link. Steps a second, for its rate.
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr std::size_t kStepsPerSecond = 100;

}  // namespace

void SlowLink::carry(std::uint64_t id, std::size_t bytes, Duration delay,
                     std::function<void()> on_whole) {
  transfers_[id] = {bytes, 0, runtime_.now() + delay, std::move(on_whole)};
  if (!timer_) schedule();
}

std::size_t SlowLink::carried(std::uint64_t id) const {
  const auto found = transfers_.find(id);
  return found == transfers_.end() ? 0 : found->second.carried;
}

void SlowLink::schedule() {
  timer_ = runtime_.after(kStep, [this] { tick(); });
}

void SlowLink::tick() {
  timer_.reset();
  if (transfers_.empty()) return;
  const std::size_t share = bytes_per_second_ / kStepsPerSecond / transfers_.size();
  std::vector<std::function<void()>> whole;
  for (auto it = transfers_.begin(); it != transfers_.end();) {
    Transfer& transfer = it->second;
    if (runtime_.now() < transfer.begins) {
      ++it;
      continue;
    }
    const std::size_t carried = std::min(share, transfer.bytes - transfer.carried);
    transfer.carried += carried;
    total_ += carried;
    const bool ended = transfer.carried == transfer.bytes;
    if (ended) whole.push_back(std::move(transfer.on_whole));
    it = ended ? transfers_.erase(it) : std::next(it);
  }
  if (!transfers_.empty()) schedule();
  for (const auto& on_whole : whole) on_whole();
}

}  // namespace shuntbank::testing
