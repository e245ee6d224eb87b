#include "core/requests/claim_replica.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace shuntbank {
namespace {

/// Minimum interval between sweeps of expired claims.
constexpr Duration kExpireInterval = std::chrono::seconds(10);

constexpr std::size_t kKeyDigits = 32;

}  // namespace

ClaimKey claim_key(const TenantName& tenant, const std::string& idempotency_key) {
  // The length prefix distinguishes pairs with equal concatenations.
  const std::string joined =
      std::to_string(tenant.value().size()) + ":" + tenant.value() + idempotency_key;
  return ClaimKey(sha256_hex(joined).substr(0, kKeyDigits));
}

ClaimReplica::ClaimReplica(std::uint64_t boot, Duration retention, std::size_t max_claims)
    : boot_(boot), retention_(retention), max_claims_(max_claims) {}

ClaimVerdict ClaimReplica::claim(MonotonicTime now, ClaimView view, const ClaimKey& key,
                                 const RequestId& claimant) {
  if (view == 0 || view != active_view()) return ClaimVerdict::kUnavailable;
  expire(now);
  const auto found = claims_.find(key);
  if (found != claims_.end() && now < found->second.granted_at + retention_) {
    return found->second.claimant == claimant ? ClaimVerdict::kGranted : ClaimVerdict::kHeld;
  }
  if (now < grants_start_at_) return ClaimVerdict::kUnavailable;
  if (found == claims_.end() && claims_.size() >= max_claims_) return ClaimVerdict::kUnavailable;
  claims_[key] = {claimant, now};
  return ClaimVerdict::kGranted;
}

void ClaimReplica::release(const ClaimKey& key, const RequestId& claimant) {
  const auto found = claims_.find(key);
  if (found != claims_.end() && found->second.claimant == claimant) claims_.erase(found);
}

SealResult ClaimReplica::seal(MonotonicTime now, ClaimView view) {
  min_view_ = std::max(min_view_, view);
  SealResult result;
  result.served_view = served_view_;
  result.grant_delay = std::max(Duration::zero(), grants_start_at_ - now);
  for (const auto& [key, claim] : claims_) {
    result.entries.push_back({key, claim.claimant, now - claim.granted_at});
  }
  return result;
}

bool ClaimReplica::install(MonotonicTime now, ClaimView view, std::uint64_t boot,
                           const std::vector<ClaimEntry>& entries, Duration grant_delay) {
  if (boot != boot_) return false;
  // A delayed install of an older view must not undo the seal of a newer view.
  if (view < min_view_ || view < served_view_) return false;
  for (const ClaimEntry& entry : entries) {
    claims_.try_emplace(entry.key, Claim{entry.claimant, now - entry.age});
  }
  grants_start_at_ = std::max(grants_start_at_, now + grant_delay);
  served_view_ = view;
  min_view_ = view;
  return true;
}

void ClaimReplica::expire(MonotonicTime now) {
  if (now < next_expiry_at_) return;
  next_expiry_at_ = now + kExpireInterval;
  std::erase_if(claims_,
                [&](const auto& entry) { return now >= entry.second.granted_at + retention_; });
}

ClaimVote::Decision ClaimVote::add(ClaimVerdict verdict) {
  const std::size_t majority = members_ / 2 + 1;
  if (verdict == ClaimVerdict::kHeld) return Decision::kHeld;
  if (verdict == ClaimVerdict::kGranted) ++granted_;
  if (verdict == ClaimVerdict::kUnavailable) ++unavailable_;
  if (granted_ >= majority) return Decision::kGranted;
  if (unavailable_ > members_ - majority) return Decision::kUnavailable;
  return Decision::kPending;
}

}  // namespace shuntbank
