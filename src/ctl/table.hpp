/// @file
/// Plain-text tables for terminal output.
#pragma once

#include <algorithm>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace shuntbank {

/// Rows of text under headings; each column is as wide as its widest cell.
class Table {
 public:
  explicit Table(std::vector<std::string> headings) { add(std::move(headings)); }

  /// Adds a row. @pre it has as many cells as there are headings.
  void add(std::vector<std::string> row) {
    widths_.resize(row.size());
    for (std::size_t i = 0; i < row.size(); ++i) widths_[i] = std::max(widths_[i], row[i].size());
    rows_.push_back(std::move(row));
  }

  void print(std::ostream& output) const {
    for (const auto& row : rows_) {
      for (std::size_t i = 0; i < row.size(); ++i) {
        output << row[i];
        const bool last = i + 1 == row.size();
        output << (last ? "\n" : std::string(widths_[i] - row[i].size() + 2, ' '));
      }
    }
  }

 private:
  std::vector<std::vector<std::string>> rows_;
  std::vector<std::size_t> widths_;
};

}  // namespace shuntbank
