#include "store/revision_lag.hpp"

#include <algorithm>

namespace shuntbank::store {
namespace {

/// Hints kept. Only the oldest one that was not reached counts, so that later ones may be missing.
constexpr std::size_t kMaxHints = 256;

}  // namespace

void RevisionLag::on_hint(MonotonicTime now, std::uint64_t revision) {
  if (revision <= this->newest_hint) return;
  this->newest_hint = revision;
  if (revision <= this->reached_revision || this->hints.size() >= kMaxHints) return;
  this->hints.emplace(revision, now);
}

void RevisionLag::on_reached(std::uint64_t revision) {
  this->reached_revision = std::max(this->reached_revision, revision);
  this->hints.erase(this->hints.begin(), this->hints.upper_bound(this->reached_revision));
}

Duration RevisionLag::behind_for(MonotonicTime now) const {
  return this->hints.empty() ? Duration::zero() : now - this->hints.begin()->second;
}

}  // namespace shuntbank::store
