#include "core/usage/usage_ledger.hpp"

#include <algorithm>
#include <utility>

namespace shuntbank::usage {

bool UsageLedger::on_counts(MonotonicTime now, WindowNumber current, const UsageCounts& report) {
  // The next window may already be open by a clock that is ahead by milliseconds.
  if (report.window > current + 1) return false;
  Incarnation& incarnation = this->incarnations[report.node];
  incarnation.boot = report.boot;
  incarnation.received_at = now;
  incarnation.counting_since = report.counting_since;
  NodeCounts& node_counts = this->received[report.window][{report.node, report.boot}];
  if (report.sequence < node_counts.sequence) return false;
  if (report.sequence > node_counts.sequence) {
    node_counts.sequence = report.sequence;
    node_counts.parts.clear();
    node_counts.partial_counts.clear();
  }
  if (!node_counts.parts.insert(report.part).second) return false;
  add(node_counts.partial_counts, report.counts);
  if (node_counts.parts.size() >= report.parts) {
    node_counts.counts = std::move(node_counts.partial_counts);
    node_counts.partial_counts.clear();
    node_counts.counted_until = report.counted_until;
  }
  this->expire(now, current);
  return true;
}

void UsageLedger::expire(MonotonicTime now, WindowNumber current) {
  const WindowNumber retained = this->settings.retained_windows;
  const WindowNumber oldest = current < retained ? 0 : current - retained;
  this->received.erase(this->received.begin(), this->received.lower_bound(oldest));
  const Duration retention =
      std::chrono::milliseconds(this->settings.window_clock.length_ms) * static_cast<int>(retained);
  std::erase_if(this->incarnations,
                [&](const auto& entry) { return now - entry.second.received_at > retention; });
}

bool UsageLedger::complete(MonotonicTime now, WindowNumber window) const {
  const auto found = this->received.find(window);
  const UnixMs end = this->settings.window_clock.end(window);
  return std::all_of(this->incarnations.begin(), this->incarnations.end(), [&](const auto& entry) {
    const auto& [node, incarnation] = entry;
    if (now - incarnation.received_at > this->settings.node_timeout) return true;
    if (incarnation.counting_since >= end) return true;
    if (found == this->received.end()) return false;
    const auto node_counts = found->second.find({node, incarnation.boot});
    return node_counts != found->second.end() && node_counts->second.counted_until >= end;
  });
}

bool UsageLedger::covered(WindowNumber window) const {
  const UnixMs window_start = this->settings.window_clock.start(window);
  const auto found = this->received.find(window);
  std::size_t fully_counted = 0;
  for (const auto& [node, incarnation] : this->incarnations) {
    // An earlier incarnation with counts of this window counted until it ended.
    const bool has_earlier =
        found != this->received.end() &&
        std::any_of(found->second.begin(), found->second.end(),
                    [&, name = node, boot = incarnation.boot](const auto& node_counts) {
                      return node_counts.first.first == name && node_counts.first.second != boot;
                    });
    if (incarnation.counting_since <= window_start || has_earlier) ++fully_counted;
  }
  const double needed =
      this->settings.min_coverage * static_cast<double>(this->incarnations.size());
  return fully_counted > 0 && static_cast<double>(fully_counted) >= needed;
}

TenantCounts UsageLedger::sum(WindowNumber window) const {
  TenantCounts sum;
  const auto found = this->received.find(window);
  if (found == this->received.end()) return sum;
  for (const auto& [incarnation, node_counts] : found->second) add(sum, node_counts.counts);
  return sum;
}

std::size_t UsageLedger::live_nodes(MonotonicTime now) const {
  return static_cast<std::size_t>(
      std::count_if(this->incarnations.begin(), this->incarnations.end(), [&](const auto& entry) {
        return now - entry.second.received_at <= this->settings.node_timeout;
      }));
}

}  // namespace shuntbank::usage
