/// @file
/// Claims on idempotency keys: a request that may run only once is dispatched only after a majority
/// of a replica group has granted it the key. docs/design/0005-claims.md shows why this is safe
/// while the group changes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank {

/// Version of a group's membership. Only grows; zero means none.
using ClaimView = std::uint64_t;

/// Identifies the idempotency key of a tenant; made by `claim_key`.
using ClaimKey = Identifier<struct ClaimKeyTag>;

/// @return the claim key of a tenant's `idempotency_key`; distinct for each tenant.
ClaimKey claim_key(const TenantName& tenant, const std::string& idempotency_key);

/// A granted claim, as transferred to another replica.
struct ClaimEntry {
  ClaimKey key;
  RequestId claimant;
  Duration age{0};  ///< Since the grant; a duration, since clocks differ between machines.

  bool operator==(const ClaimEntry&) const = default;
};

/// Answer of one replica.
enum class ClaimVerdict {
  kGranted,      ///< The key is granted to the claimant.
  kHeld,         ///< Another request holds it.
  kUnavailable,  ///< The replica does not serve the view, or is full.
};

/// State of a replica, returned when it is sealed.
struct SealResult {
  ClaimView served_view = 0;  ///< Latest view that the replica installed; zero: none.
  std::vector<ClaimEntry> entries;
  Duration grant_delay{0};  ///< Time until it may grant again.
};

/// One replica of the claims. In memory only: after a restart it serves no view.
class ClaimReplica {
 public:
  /// @param boot identifies this process run.
  /// @param retention how long a claim is kept.
  /// @param max_claims limit above which new claims are refused.
  ClaimReplica(std::uint64_t boot, Duration retention, std::size_t max_claims);

  /// Claims a key for a request under `view`. Idempotent for the same request.
  ClaimVerdict claim(MonotonicTime now, ClaimView view, const ClaimKey& key,
                     const RequestId& claimant);

  /// Releases a claim whose request is known not to have run.
  void release(const ClaimKey& key, const RequestId& claimant);

  /// Stops granting under views below `view` and returns all claims.
  SealResult seal(MonotonicTime now, ClaimView view);

  /// Starts to serve `view` with the merged claims of a majority of the previous view.
  /// @param boot process run that the view names. A restarted process refuses: its predecessor may
  /// have granted claims under this view.
  /// @param grant_delay time without grants, until claims that were lost have expired.
  /// @return whether it now serves that view.
  bool install(MonotonicTime now, ClaimView view, std::uint64_t boot,
               const std::vector<ClaimEntry>& entries, Duration grant_delay = Duration::zero());

  /// @return the view under which claims are granted; zero: none.
  ClaimView active_view() const { return min_view_ > served_view_ ? 0 : served_view_; }

  std::size_t size() const { return claims_.size(); }

 private:
  struct Claim {
    RequestId claimant;
    MonotonicTime granted_at{};
  };

  void expire(MonotonicTime now);

  std::uint64_t boot_;
  Duration retention_;
  std::size_t max_claims_;
  ClaimView served_view_ =
      0;  ///< Latest installed view. All claims granted here under it are in `claims_`.
  ClaimView min_view_ = 0;  ///< Nothing is granted below this view.
  std::unordered_map<ClaimKey, Claim> claims_;
  MonotonicTime next_expiry_at_{};
  MonotonicTime grants_start_at_{};
};

/// Counts the replicas' answers to one claim.
class ClaimVote {
 public:
  explicit ClaimVote(std::size_t members) : members_(members) {}

  enum class Decision { kPending, kGranted, kHeld, kUnavailable };

  /// Adds one member's answer; a missing answer counts as unavailable.
  Decision add(ClaimVerdict verdict);

 private:
  std::size_t members_;
  std::size_t granted_ = 0;
  std::size_t unavailable_ = 0;
};

}  // namespace shuntbank
