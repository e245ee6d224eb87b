#include "config/selector.hpp"

#include <algorithm>

namespace shuntbank {
namespace {

bool satisfies(const SelectorExpression& expression, const Labels& labels) {
  const auto label = labels.find(expression.key);
  const bool exists = label != labels.end();
  const auto value_listed = [&] {
    return std::find(expression.values.begin(), expression.values.end(), label->second) !=
           expression.values.end();
  };
  switch (expression.op) {
    case SelectorOperator::kIn:
      return exists && value_listed();
    case SelectorOperator::kNotIn:
      return !exists || !value_listed();
    case SelectorOperator::kExists:
      return exists;
    case SelectorOperator::kDoesNotExist:
      return !exists;
  }
  return false;
}

}  // namespace

bool Selector::matches(const Labels& labels) const {
  for (const auto& [key, value] : match_labels) {
    const auto label = labels.find(key);
    if (label == labels.end() || label->second != value) return false;
  }
  return std::all_of(
      match_expressions.begin(), match_expressions.end(),
      [&](const SelectorExpression& expression) { return satisfies(expression, labels); });
}

}  // namespace shuntbank
