/// @file
/// A bound on retries as a share of requests, so that an overload is not amplified.
#pragma once

#include <algorithm>

namespace shuntbank {

/// Each request deposits a share of a retry; each retry withdraws one.
class RetryBudget {
 public:
  /// @param share retries for each request, such as 0.1.
  /// @param reserve retries that are allowed without any request before, and the most that is
  /// saved.
  RetryBudget(double share, double reserve) : share_(share), reserve_(reserve), saved_(reserve) {}

  /// Counts a first dispatch.
  void on_request() { saved_ = std::min(reserve_, saved_ + share_); }

  /// @return whether a retry is allowed; counts it when it is.
  bool try_withdraw() {
    if (saved_ < 1.0) return false;
    saved_ -= 1.0;
    return true;
  }

 private:
  double share_;
  double reserve_;
  double saved_;
};

}  // namespace shuntbank
