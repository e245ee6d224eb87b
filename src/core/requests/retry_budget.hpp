/// @file
/// A bound on retries as a share of requests, so that an overload is not amplified.
#pragma once

#include <algorithm>

namespace shuntbank {

/// Each request deposits a share of a retry; each retry withdraws one.
class RetryBudget {
 public:
  /// @param ratio retries for each request, such as 0.1.
  /// @param max_balance retries that are allowed without any request before, and the most that is
  /// saved.
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
