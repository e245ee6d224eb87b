#include "config/field_reader.hpp"

#include <utility>

#include "common/units.hpp"

namespace shuntbank {
namespace {

const nlohmann::json kEmptyObject = nlohmann::json::object();

std::optional<SelectorOperator> parse_operator(const std::string& text) {
  if (text == "In") return SelectorOperator::kIn;
  if (text == "NotIn") return SelectorOperator::kNotIn;
  if (text == "Exists") return SelectorOperator::kExists;
  if (text == "DoesNotExist") return SelectorOperator::kDoesNotExist;
  return std::nullopt;
}

SelectorExpression read_expression(const nlohmann::json& item, const std::string& place,
                                   Findings& findings) {
  FieldReader reader(item, place, findings);
  SelectorExpression expression;
  expression.key = reader.text("key", true);
  const std::string op = reader.text("operator", true);
  const auto parsed = parse_operator(op);
  if (!parsed && !op.empty()) {
    reader.add_finding("operator", "'" + op + "' is none of In, NotIn, Exists, DoesNotExist");
  }
  expression.op = parsed.value_or(SelectorOperator::kIn);
  expression.values = reader.text_list("values");
  const bool needs_values =
      expression.op == SelectorOperator::kIn || expression.op == SelectorOperator::kNotIn;
  if (parsed && needs_values == expression.values.empty()) {
    reader.add_finding("values", needs_values ? "needs at least one value" : "must be absent here");
  }
  reader.finish();
  return expression;
}

}  // namespace

FieldReader::FieldReader(const nlohmann::json& object, std::string place, Findings& findings)
    : object_(object.is_object() ? object : kEmptyObject),
      place_(std::move(place)),
      findings_(findings) {
  if (!object.is_object()) findings_.add(place_, "must be an object");
}

const nlohmann::json* FieldReader::find(const std::string& key) {
  read_fields_.insert(key);
  const auto found = object_.find(key);
  return found == object_.end() ? nullptr : &*found;
}

void FieldReader::add_finding(const std::string& key, const std::string& message) {
  findings_.add(place_of(key), message);
}

std::string FieldReader::text(const std::string& key, bool required) {
  const nlohmann::json* field = find(key);
  if (field == nullptr) {
    if (required) add_finding(key, "is required");
    return {};
  }
  if (!field->is_string()) {
    add_finding(key, "must be text");
    return {};
  }
  if (required && field->get_ref<const std::string&>().empty())
    add_finding(key, "must not be empty");
  return field->get<std::string>();
}

double FieldReader::number(const std::string& key, double fallback, double low, double high) {
  const nlohmann::json* field = find(key);
  if (field == nullptr) return fallback;
  if (field->is_number() && field->get<double>() >= low && field->get<double>() <= high) {
    return field->get<double>();
  }
  add_finding(key, "must be a number from " + nlohmann::json(low).dump() + " to " +
                       nlohmann::json(high).dump());
  return fallback;
}

std::uint64_t FieldReader::unsigned_integer(const std::string& key, std::uint64_t fallback,
                                            std::uint64_t high) {
  const nlohmann::json* field = find(key);
  if (field == nullptr) return fallback;
  if (field->is_number_unsigned() && field->get<std::uint64_t>() <= high) {
    return field->get<std::uint64_t>();
  }
  add_finding(key, "must be a whole number from 0 to " + std::to_string(high));
  return fallback;
}

std::int64_t FieldReader::integer(const std::string& key, std::int64_t fallback, std::int64_t low,
                                  std::int64_t high) {
  const nlohmann::json* field = find(key);
  if (field == nullptr) return fallback;
  if (field->is_number_integer() && field->get<std::int64_t>() >= low &&
      field->get<std::int64_t>() <= high) {
    return field->get<std::int64_t>();
  }
  add_finding(key,
              "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
  return fallback;
}

Duration FieldReader::duration(const std::string& key, Duration fallback, Duration low,
                               Duration high) {
  const nlohmann::json* field = find(key);
  if (field == nullptr) return fallback;
  if (!field->is_string()) {
    add_finding(key, "must be a duration as text, such as \"250ms\"");
    return fallback;
  }
  const auto parsed = parse_duration(field->get_ref<const std::string&>());
  if (!parsed) {
    add_finding(key, parsed.error());
    return fallback;
  }
  if (*parsed < low || *parsed > high) {
    add_finding(key, "must be from " + format_duration(low) + " to " + format_duration(high));
    return fallback;
  }
  return *parsed;
}

std::vector<nlohmann::json> FieldReader::items(const std::string& key) {
  const nlohmann::json* field = find(key);
  if (field == nullptr) return {};
  if (!field->is_array()) {
    add_finding(key, "must be a list");
    return {};
  }
  return {field->begin(), field->end()};
}

std::vector<std::string> FieldReader::text_list(const std::string& key) {
  std::vector<std::string> list;
  for (const nlohmann::json& item : items(key)) {
    if (item.is_string() && !item.get_ref<const std::string&>().empty()) {
      list.push_back(item.get<std::string>());
    } else {
      add_finding(key, "must be a list of non-empty text");
    }
  }
  return list;
}

Labels FieldReader::labels(const std::string& key) {
  Labels labels;
  for (const auto& [name, value] : object(key).items()) {
    if (value.is_string()) {
      labels.emplace(name, value.get<std::string>());
    } else {
      std::string field = key;
      field += "/";
      field += name;
      add_finding(field, "must be text");
    }
  }
  return labels;
}

const nlohmann::json& FieldReader::object(const std::string& key) {
  const nlohmann::json* field = find(key);
  if (field == nullptr) return kEmptyObject;
  if (field->is_object()) return *field;
  add_finding(key, "must be an object");
  return kEmptyObject;
}

Selector FieldReader::selector(const std::string& key) {
  Selector selector;
  FieldReader reader(object(key), place_of(key), findings_);
  selector.match_labels = reader.labels("match_labels");
  std::size_t index = 0;
  for (const nlohmann::json& item : reader.items("match_expressions")) {
    std::string place = reader.place_of("match_expressions");
    place += "/";
    place += std::to_string(index++);
    selector.match_expressions.push_back(read_expression(item, place, findings_));
  }
  reader.finish();
  return selector;
}

void FieldReader::finish() {
  for (const auto& [key, value] : object_.items()) {
    if (!read_fields_.contains(key)) add_finding(key, "is not a known field");
  }
}

}  // namespace shuntbank
