#include "core/usage/usage_ledger.hpp"

#include <algorithm>
#include <utility>

namespace shuntbank::usage {

bool UsageLedger::on_told(MonotonicTime now, WindowNumber current, const ToldUsage& told) {
  // The next one may have begun by the clock of a node that is ahead by milliseconds.
  if (told.window > current + 1) return false;
  Start& start = this->starts[told.node];
  start.boot = told.boot;
  start.heard_at = now;
  start.counting_since = told.counting_since;
  Account& account = this->accounts[told.window][{told.node, told.boot}];
  if (told.sequence < account.sequence) return false;
  if (told.sequence > account.sequence) {
    account.sequence = told.sequence;
    account.parts.clear();
    account.arriving.clear();
  }
  if (!account.parts.insert(told.part).second) return false;
  add(account.arriving, told.counts);
  if (account.parts.size() >= told.parts) {
    account.counts = std::move(account.arriving);
    account.arriving.clear();
    account.counted_until = told.counted_until;
  }
  this->forget_old(now, current);
  return true;
}

void UsageLedger::forget_old(MonotonicTime now, WindowNumber current) {
  const WindowNumber kept = this->settings.kept_windows;
  const WindowNumber oldest = current < kept ? 0 : current - kept;
  this->accounts.erase(this->accounts.begin(), this->accounts.lower_bound(oldest));
  const Duration life =
      std::chrono::milliseconds(this->settings.windows.length_ms) * static_cast<int>(kept);
  std::erase_if(this->starts,
                [&](const auto& entry) { return now - entry.second.heard_at > life; });
}

bool UsageLedger::complete(MonotonicTime now, WindowNumber window) const {
  const auto told = this->accounts.find(window);
  const UnixMs end = this->settings.windows.end(window);
  return std::all_of(this->starts.begin(), this->starts.end(), [&](const auto& entry) {
    const auto& [node, start] = entry;
    if (now - start.heard_at > this->settings.node_life) return true;
    if (start.counting_since >= end) return true;
    if (told == this->accounts.end()) return false;
    const auto account = told->second.find({node, start.boot});
    return account != told->second.end() && account->second.counted_until >= end;
  });
}

bool UsageLedger::covered(WindowNumber window) const {
  const UnixMs began = this->settings.windows.start(window);
  const auto told = this->accounts.find(window);
  std::size_t whole = 0;
  for (const auto& [node, start] : this->starts) {
    // An earlier start of the process that has told of the window counted until it ended.
    const bool earlier =
        told != this->accounts.end() &&
        std::any_of(told->second.begin(), told->second.end(),
                    [&, name = node, boot = start.boot](const auto& account) {
                      return account.first.first == name && account.first.second != boot;
                    });
    if (start.counting_since <= began || earlier) ++whole;
  }
  const double needed = this->settings.least_covered * static_cast<double>(this->starts.size());
  return whole > 0 && static_cast<double>(whole) >= needed;
}

TenantCounts UsageLedger::sum(WindowNumber window) const {
  TenantCounts sum;
  const auto told = this->accounts.find(window);
  if (told == this->accounts.end()) return sum;
  for (const auto& [start, account] : told->second) add(sum, account.counts);
  return sum;
}

std::size_t UsageLedger::nodes(MonotonicTime now) const {
  return static_cast<std::size_t>(std::count_if(
      this->starts.begin(), this->starts.end(),
      [&](const auto& entry) { return now - entry.second.heard_at <= this->settings.node_life; }));
}

}  // namespace shuntbank::usage
