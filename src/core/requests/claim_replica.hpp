/// @file
/// Claims on idempotency keys: a request that may run only once is dispatched only after a majority
/// of a group of replicas, in different zones, holds its key. docs/design/0005-claims.md tells why
/// this is safe while the group changes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank {

/// Number of a group's composition. Only grows; zero means "none".
using ClaimView = std::uint64_t;

/// Identifies a tenant's idempotency key; made by `claim_key`.
using ClaimKey = Identifier<struct ClaimKeyTag>;

/// @return the key of a tenant's own `idempotency_key`; two tenants never share one.
ClaimKey claim_key(const TenantName& tenant, const std::string& idempotency_key);

/// One held claim, as it is handed to another replica.
struct ClaimEntry {
  ClaimKey key;
  RequestId claimant;
  Duration age{0};  ///< Since it was granted; clocks of two machines are never compared.

  bool operator==(const ClaimEntry&) const = default;
};

/// Answer of one replica.
enum class ClaimVerdict {
  kGranted,      ///< The claimant holds the key here.
  kHeld,         ///< Another request holds it.
  kUnavailable,  ///< This replica does not serve that view, or is full.
};

/// What a replica hands over when it is sealed.
struct SealResult {
  ClaimView served_view = 0;  ///< View that it knows all its grants of; zero: it knows nothing.
  std::vector<ClaimEntry> entries;
  Duration grant_delay{0};  ///< It grants nothing for so long yet.
};

/// One replica of the claims. Memory only: after a restart it vouches for nothing.
class ClaimReplica {
 public:
  /// @param boot tells this process from any before under the same name.
  /// @param retention how long a claim is held.
  /// @param max_claims most claims held; further ones are refused.
  ClaimReplica(std::uint64_t boot, Duration retention, std::size_t max_claims);

  /// Claims a key for a request under `view`. Claiming again for the same request is granted again.
  ClaimVerdict claim(MonotonicTime now, ClaimView view, const ClaimKey& key,
                     const RequestId& claimant);

  /// Gives a claim back: its request surely did not run.
  void release(const ClaimKey& key, const RequestId& claimant);

  /// Promises to grant nothing under views below `view` any more, and hands over what it holds.
  SealResult seal(MonotonicTime now, ClaimView view);

  /// Begins to serve `view` with the merged claims of a majority of the view before.
  /// @param boot of the process that the view names. A restarted one refuses: the process before
  /// may have granted claims under this view that it does not know.
  /// @param grant_delay grant nothing for so long: claims were lost, and must run out first.
  /// @return whether it now serves that view.
  bool install(MonotonicTime now, ClaimView view, std::uint64_t boot,
               const std::vector<ClaimEntry>& entries, Duration grant_delay = Duration::zero());

  /// @return the view that it grants under; zero: none.
  ClaimView active_view() const { return sealed_view_ > served_view_ ? 0 : served_view_; }

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
  ClaimView served_view_ = 0;  ///< It has every grant of this view that it made itself.
  ClaimView sealed_view_ = 0;  ///< It grants nothing below this view.
  std::unordered_map<ClaimKey, Claim> claims_;
  MonotonicTime next_expiry_at_{};
  MonotonicTime grants_start_at_{};
};

/// Counts the answers to one claim.
class ClaimVote {
 public:
  explicit ClaimVote(std::size_t members) : members_(members) {}

  enum class Decision { kPending, kGranted, kHeld, kUnavailable };

  /// Adds one member's answer; no answer counts as unavailable.
  Decision add(ClaimVerdict verdict);

 private:
  std::size_t members_;
  std::size_t granted_ = 0;
  std::size_t unavailable_ = 0;
};

}  // namespace shuntbank
