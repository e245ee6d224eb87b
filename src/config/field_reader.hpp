/// @file
/// Reads and validates the fields of one JSON object. Every problem is recorded as a finding and
/// reading continues, so that all problems are reported together.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/findings.hpp"
#include "common/time.hpp"
#include "config/selector.hpp"

namespace shuntbank {

/// Reader of one JSON object. Call `finish` last: it reports unknown fields.
class FieldReader {
 public:
  /// @param place location of the object, such as a file name and a JSON pointer; the place of each
  /// finding starts with it.
  FieldReader(const nlohmann::json& object, std::string place, Findings& findings);

  /// @return the string; empty, with a finding, if it is absent though required, or not a string.
  std::string text(const std::string& key, bool required);

  /// @return the number within [low, high], or `fallback` when absent or invalid; a finding when
  /// invalid.
  double number(const std::string& key, double fallback, double low, double high);

  /// @return the integer within [0, high], or `fallback` when absent or invalid; a finding when
  /// invalid.
  std::uint64_t unsigned_integer(const std::string& key, std::uint64_t fallback,
                                 std::uint64_t high);

  /// @return the integer within [low, high], or `fallback`.
  std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t low,
                       std::int64_t high);

  /// @return the duration within [low, high], or `fallback` when absent or invalid; a finding when
  /// invalid.
  Duration duration(const std::string& key, Duration fallback, Duration low, Duration high);

  std::vector<std::string> text_list(const std::string& key);
  Labels labels(const std::string& key);
  Selector selector(const std::string& key);

  /// @return the array's items, empty when absent; a finding when it is not an array.
  std::vector<nlohmann::json> items(const std::string& key);

  /// @return the nested object, or an empty one when absent; a finding when it is not an object.
  const nlohmann::json& object(const std::string& key);

  /// Records a finding at a field.
  void add_finding(const std::string& key, const std::string& message);

  /// @return the place of a field, as used in findings.
  std::string place_of(const std::string& key) const { return place_ + "/" + key; }

  /// Records a finding for each field that was not read.
  void finish();

 private:
  const nlohmann::json* find(const std::string& key);

  const nlohmann::json& object_;
  std::string place_;
  Findings& findings_;
  std::set<std::string> read_fields_;
};

}  // namespace shuntbank
