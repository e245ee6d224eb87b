/// @file
/// Limits retries to a share of requests, so that retries do not amplify an overload.
#pragma once

#include <algorithm>

namespace shuntbank {

/// Each request deposits a fraction of a retry; each retry withdraws one.
class RetryBudget {
 public:
  /// @param ratio retries per request, such as 0.1.
  /// @param max_balance retries allowed initially, and the largest number that is saved.
  RetryBudget(double ratio, double max_balance)
      : ratio_(ratio), max_balance_(max_balance), balance_(max_balance) {}

  /// Counts a first dispatch.
  void on_request() { balance_ = std::min(max_balance_, balance_ + ratio_); }

  /// @return whether a retry is allowed; counts it when it is.
  bool try_withdraw() {
    if (balance_ < 1.0) return false;
    balance_ -= 1.0;
    return true;
  }

 private:
  double ratio_;
  double max_balance_;
  double balance_;
};

}  // namespace shuntbank
