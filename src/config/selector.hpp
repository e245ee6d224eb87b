/// @file
/// Labels and the selectors that match them, in equality and set form.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace shuntbank {

/// Labels of an object: key to value.
using Labels = std::map<std::string, std::string>;

enum class SelectorOperator { kIn, kNotIn, kExists, kDoesNotExist };

/// One requirement in set form.
struct SelectorExpression {
  std::string key;
  SelectorOperator op = SelectorOperator::kIn;
  std::vector<std::string> values;  ///< Used by `kIn` and `kNotIn` only.

  bool operator==(const SelectorExpression&) const = default;
};

/// All requirements must hold. An empty selector matches everything.
struct Selector {
  Labels match_labels;
  std::vector<SelectorExpression> match_expressions;

  /// @return whether `labels` meet every requirement. A missing key meets `kNotIn`.
  bool matches(const Labels& labels) const;

  bool operator==(const Selector&) const = default;
};

}  // namespace shuntbank
