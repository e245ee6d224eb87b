/// @file
/// Labels, and equality-based and set-based label selectors.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace shuntbank {

/// Labels of an object, from key to value.
using Labels = std::map<std::string, std::string>;

enum class SelectorOperator { kIn, kNotIn, kExists, kDoesNotExist };

/// One set-based requirement.
struct SelectorExpression {
  std::string key;
  SelectorOperator op = SelectorOperator::kIn;
  std::vector<std::string> values;  ///< Used by `kIn` and `kNotIn` only.

  bool operator==(const SelectorExpression&) const = default;
};

/// A set of requirements that must all hold. An empty selector matches everything.
struct Selector {
  Labels match_labels;
  std::vector<SelectorExpression> match_expressions;

  /// @return whether `labels` satisfy every requirement. A missing key satisfies `kNotIn`.
  bool matches(const Labels& labels) const;

  bool operator==(const Selector&) const = default;
};

}  // namespace shuntbank
