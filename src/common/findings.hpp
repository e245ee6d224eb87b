/// @file
/// Findings: problems found in input, each with its place, collected and reported together.
#pragma once

#include <string>
#include <vector>

namespace shuntbank {

/// One problem in input.
struct Finding {
  std::string place;    ///< Where: file, line, option or JSON pointer.
  std::string message;  ///< What is wrong, and what is accepted instead.
};

/// An ordered list of findings. If it is empty, the input is accepted.
class Findings {
 public:
  /// Adds one problem at `place`.
  void add(std::string place, std::string message);

  /// Appends all findings of `other`, each place prefixed by `prefix`.
  void append(const Findings& other, const std::string& prefix);

  bool empty() const { return items_.empty(); }
  const std::vector<Finding>& items() const { return items_; }

  /// @return one line per finding: `place: message`.
  std::string to_text() const;

 private:
  std::vector<Finding> items_;
};

}  // namespace shuntbank
