#include "relay/support/slow_link.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace shuntbank::testing {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr std::size_t kTicksPerSecond = 100;

}  // namespace

void SlowLink::start_transfer(std::uint64_t id, std::size_t bytes, Duration delay,
                              std::function<void()> on_complete) {
  transfers_[id] = {bytes, 0, runtime_.now() + delay, std::move(on_complete)};
  if (!timer_) schedule();
}

std::size_t SlowLink::transferred(std::uint64_t id) const {
  const auto found = transfers_.find(id);
  return found == transfers_.end() ? 0 : found->second.transferred;
}

void SlowLink::schedule() {
  timer_ = runtime_.after(kTickInterval, [this] { tick(); });
}

void SlowLink::tick() {
  timer_.reset();
  if (transfers_.empty()) return;
  const std::size_t share = bytes_per_second_ / kTicksPerSecond / transfers_.size();
  std::vector<std::function<void()>> completed;
  for (auto it = transfers_.begin(); it != transfers_.end();) {
    Transfer& transfer = it->second;
    if (runtime_.now() < transfer.starts_at) {
      ++it;
      continue;
    }
    const std::size_t transferred = std::min(share, transfer.bytes - transfer.transferred);
    transfer.transferred += transferred;
    total_bytes_ += transferred;
    const bool complete = transfer.transferred == transfer.bytes;
    if (complete) completed.push_back(std::move(transfer.on_complete));
    it = complete ? transfers_.erase(it) : std::next(it);
  }
  if (!transfers_.empty()) schedule();
  for (const auto& on_complete : completed) on_complete();
}

}  // namespace shuntbank::testing
