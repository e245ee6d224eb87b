// Guards against documents that overflow the stack, and against a malformed value that makes those
// beside it unreadable.
#include "common/json_parsing.hpp"

#include "support/property.hpp"

using namespace shuntbank;
using nlohmann::json;

namespace {

std::string nested_arrays(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

/// Arrays of one element, around a null.
std::string nested_msgpack(std::size_t levels) {
  return std::string(levels, '\x91') + '\xc0';
}

}  // namespace

Test(json_parsing, bounds_the_depth) {
  for (const std::size_t levels : {kMaxJsonDepth + 1, std::size_t{1'000'000}}) {
    cr_expect_eq(parse_json(nested_arrays(levels)).error(), "nested too deeply");
    cr_expect_eq(parse_json(std::string(levels, '[')).error(), "nested too deeply");
    cr_expect_eq(parse_msgpack(nested_msgpack(levels)).error(), "nested too deeply");
  }
  cr_assert(parse_json(nested_arrays(kMaxJsonDepth)).has_value());
  cr_assert(parse_msgpack(nested_msgpack(kMaxJsonDepth)).has_value());
  cr_assert(parse_json(R"({"a":[[1],[2],[{"b":[]}]]})").has_value());
}

Test(json_parsing, rejects_what_cannot_be_represented) {
  for (const char* text :
       {"", " ", "1e400", "-1e400", "[1,1e999]", "\"\xff\"", "{\"a\":1", "1 2"}) {
    cr_expect_not(parse_json(text).has_value(), "%s", text);
  }
  cr_expect_not(parse_msgpack("").has_value());
  cr_expect_not(parse_msgpack("\xdd\xff\xff\xff\xff").has_value(), "an array without its elements");
}

Test(json_parsing, converts_only_numbers_in_range) {
  const auto fits = [](const char* text) {
    try {
      to_integer<std::uint32_t>(parse_json(text).value());
      return true;
    } catch (const json::exception&) {
      return false;
    }
  };
  for (const char* text : {"0", "4294967295", "4294967295.9", "-0.5"})
    cr_expect(fits(text), "%s", text);
  for (const char* text : {"-1", "4294967296", "4294967296.0", "1e300", "-1e300", "true", "\"1\"",
                           "null", "[]", "1234567890123456789012345678901234567890"}) {
    cr_expect_not(fits(text), "%s", text);
  }
  cr_assert_eq(to_integer<std::int64_t>(json(-9.3e18 / 2)), static_cast<std::int64_t>(-9.3e18 / 2));
  cr_assert_eq(integer_or(json{{"a", 3}}, "a", 7U), 3);
  cr_assert_eq(integer_or(json{{"a", 3}}, "b", 7U), 7);
}

Test(json_parsing, splits_without_reading_the_values) {
  const auto members = split_json_object(
      R"( {"a" : [1, {"b":"],}"}] , "n":1e400,"a\u0062":"\"", "x":nothing, 5:6, "a":2 } )");
  cr_assert(members.has_value());
  cr_assert_eq(members->size(), 4);
  cr_assert_eq(find_member(*members, "a"), "2", "the last one counts");
  cr_assert_eq(find_member(*members, "n"), "1e400");
  cr_assert_eq(find_member(*members, "ab"), R"("\"")");
  cr_assert_eq(find_member(*members, "x"), "nothing");
  cr_assert_eq(find_member(*members, "b"), "");
  const auto elements = split_json_array(R"([{"a":[1,2]}, "," ,[}, 3])");
  cr_assert(elements.has_value());
  cr_assert_eq(elements->size(), 4);
  cr_assert_eq(elements->at(0), R"({"a":[1,2]})");
  cr_assert_eq(elements->at(3), "3");
  cr_assert(split_json_array("[]")->empty());
  cr_assert(split_json_object(" { } ")->empty());
  for (const char* text : {"", "[", "]", "{}", "[[]", "[]]", "[1],[2]", "[\"]", "5"}) {
    cr_expect_not(split_json_array(text).has_value(), "%s", text);
  }
}

Test(json_parsing, splits_as_the_parser_does) {
  SHUNTBANK_PROPERTY("the elements of an array are those that the parser finds", [] {
    const auto texts = *rc::gen::arbitrary<std::vector<std::string>>();
    json array = json::array();
    for (const std::string& text : texts) {
      array.push_back(json{{text, {text, array.size()}}});
    }
    const auto ignore = json::error_handler_t::replace;
    const std::string text = array.dump(*rc::gen::inRange(-1, 3), ' ', false, ignore);
    const auto elements = split_json_array(text);
    RC_ASSERT(elements.has_value());
    const json parsed = json::parse(text);
    RC_ASSERT(elements->size() == parsed.size());
    for (std::size_t i = 0; i < parsed.size(); ++i) {
      RC_ASSERT(parse_json(elements->at(i)).value() == parsed.at(i));
    }
  });
  SHUNTBANK_PROPERTY("arbitrary bytes are split and parsed without a crash", [] {
    const auto bytes = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("[]{}\",:\\ae1 \x91\xdc\xff\x81\xc1")));
    split_json_array(bytes);
    split_json_object(bytes);
    parse_json(bytes);
    parse_msgpack(bytes);
  });
}
