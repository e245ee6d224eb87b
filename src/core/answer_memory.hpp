/// @file
/// Memory for the answers that a node buffers.
#pragma once

#include <cstddef>

namespace shuntbank {

/// Limits of the answers of engines, in bytes.
struct AnswerLimits {
  std::size_t max_answer = 8UL << 20U;         ///< Of an answer that is buffered as a whole.
  std::size_t max_short_answer = 64UL << 10U;  ///< Of a refusal or the answer to a prefill.
  std::size_t max_total = 48UL << 20U;         ///< Buffered by all requests together.

  bool operator==(const AnswerLimits&) const = default;
};

/// Counts the buffered bytes of all requests against `AnswerLimits::max_total`.
class AnswerMemory {
 public:
  explicit AnswerMemory(const AnswerLimits& own_limits) : limits(own_limits) {}

  /// A request's buffers have changed their size. @return whether it may buffer that much. Short
  /// answers always may, so that long ones don't displace them.
  bool resize(std::size_t from, std::size_t to) {
    this->used = this->used - from + to;
    return this->used <= this->limits.max_total || to <= this->limits.max_short_answer;
  }

 private:
  AnswerLimits limits;
  std::size_t used = 0;
};

}  // namespace shuntbank
