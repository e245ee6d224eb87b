#include "common/json_parsing.hpp"

#include <utility>

namespace shuntbank {
namespace {

using nlohmann::json;

constexpr std::string_view kBlanks = " \t\r\n";

/// Builds a value and stops at nesting that is too deep. The parser of MessagePack is recursive
/// itself, so that the depth must be bounded while it runs.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<json> {
 public:
  explicit BoundedBuilder(json& value) : json_sax_dom_parser(value, false) {}

  bool start_object(std::size_t size) {
    return this->enter() && json_sax_dom_parser::start_object(size);
  }
  bool end_object() {
    --this->depth;
    return json_sax_dom_parser::end_object();
  }
  bool start_array(std::size_t size) {
    return this->enter() && json_sax_dom_parser::start_array(size);
  }
  bool end_array() {
    --this->depth;
    return json_sax_dom_parser::end_array();
  }

  bool too_deep() const { return this->depth > kMaxJsonDepth; }

 private:
  bool enter() {
    ++this->depth;
    return !this->too_deep();
  }

  std::size_t depth = 0;
};

tl::expected<json, std::string> parse(std::string_view text, json::input_format_t format,
                                      const char* error) {
  json value;
  BoundedBuilder builder(value);
  try {
    if (json::sax_parse(text.begin(), text.end(), &builder, format)) return value;
  } catch (const json::exception&) {
    // The builder throws for sizes that no container can have.
    return tl::make_unexpected(std::string(error));
  }
  return tl::make_unexpected(std::string(builder.too_deep() ? "nested too deeply" : error));
}

std::string_view trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

/// @return the position after the string that begins at `begin`; npos if it has no end.
std::size_t string_end(std::string_view text, std::size_t begin) {
  for (std::size_t i = begin + 1; i < text.size(); ++i) {
    if (text[i] == '"') return i + 1;
    if (text[i] == '\\') ++i;
  }
  return std::string_view::npos;
}

/// @return the position of the comma after the value that begins at `begin`, or the end of the
/// text; npos if the brackets in the value are not balanced.
std::size_t value_end(std::string_view text, std::size_t begin) {
  std::size_t depth = 0;
  std::size_t i = begin;
  while (i < text.size()) {
    const char c = text[i];
    if (c == '"') {
      i = string_end(text, i);
      if (i == std::string_view::npos) return i;
      continue;
    }
    if (c == ',' && depth == 0) return i;
    if (c == '[' || c == '{') ++depth;
    if (c == ']' || c == '}') {
      if (depth == 0) return std::string_view::npos;
      --depth;
    }
    ++i;
  }
  return depth == 0 ? i : std::string_view::npos;
}

/// @return the parts between the outermost brackets that commas separate.
std::optional<std::vector<std::string_view>> split(std::string_view text, char open, char close) {
  text = trim(text);
  if (text.size() < 2 || text.front() != open || text.back() != close) return std::nullopt;
  const std::string_view inside = trim(text.substr(1, text.size() - 2));
  std::vector<std::string_view> parts;
  std::size_t begin = 0;
  while (!inside.empty() && begin <= inside.size()) {
    const std::size_t end = value_end(inside, begin);
    if (end == std::string_view::npos) return std::nullopt;
    parts.push_back(trim(inside.substr(begin, end - begin)));
    begin = end + 1;
  }
  return parts;
}

void add_member(JsonMembers& members, std::string_view text) {
  if (text.empty() || text.front() != '"') return;
  const std::size_t end = string_end(text, 0);
  if (end == std::string_view::npos) return;
  const auto name = parse_json(text.substr(0, end));
  const std::string_view rest = trim(text.substr(end));
  if (!name || rest.empty() || rest.front() != ':') return;
  members[name->get<std::string>()] = trim(rest.substr(1));
}

}  // namespace

tl::expected<json, std::string> parse_json(std::string_view text) {
  return parse(text, json::input_format_t::json, "not valid JSON");
}

tl::expected<json, std::string> parse_msgpack(std::string_view bytes) {
  return parse(bytes, json::input_format_t::msgpack, "not valid MessagePack");
}

void throw_out_of_range(const char* what) {
  constexpr int kNumberOverflow = 406;  // As for a number that the parser rejects.
  throw json::out_of_range::create(kNumberOverflow, what, nullptr);
}

std::optional<JsonMembers> split_json_object(std::string_view text) {
  const auto parts = split(text, '{', '}');
  if (!parts) return std::nullopt;
  JsonMembers members;
  for (const std::string_view part : *parts) add_member(members, part);
  return members;
}

std::optional<std::vector<std::string_view>> split_json_array(std::string_view text) {
  return split(text, '[', ']');
}

std::string_view find_member(const JsonMembers& members, std::string_view name) {
  const auto found = members.find(name);
  return found == members.end() ? std::string_view() : found->second;
}

}  // namespace shuntbank
