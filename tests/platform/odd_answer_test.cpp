// Guards against answers of engines and objects of the store whose numbers wrap round to others, or
// whose conversion is undefined.
#include "platform/codec.hpp"
#include "platform/dialect.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace shuntbank::platform_adapter;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

std::string nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

const std::vector<std::string>& odd_numbers() {
  static const std::vector<std::string> all = {"-1",    "-9223372036854775808",
                                               "1e300", "-1e300",
                                               "1e400", "1234567890123456789012345678901234567890"};
  return all;
}

json configuration(const std::string& route_field, const std::string& service_field) {
  return json::parse(R"({"version":7,"routes":[{"host":"h","path_prefix":"/","service":"m",)" +
                     route_field + R"(}],"services":[{"name":"m",)" + service_field + "}]}");
}

}  // namespace

Test(odd_answer, is_rejected) {
  const PlatformDialect dialect;
  for (const std::string& number : odd_numbers()) {
    const char* text = number.c_str();
    cr_expect_not(dialect.parse_report(R"({"stage":"decode","sequence":)" + number + "}"), "%s",
                  text);
    cr_expect_not(dialect.parse_report(R"({"stage":"decode","sequence":1,"born":)" + number + "}"),
                  "%s", text);
    cr_expect_not(dialect.parse_prefill_answer(R"({"kv_handle":"h","tokens":)" + number + "}"),
                  "%s", text);
  }
  for (const std::size_t levels : {1'000, 100'000}) {
    cr_expect_not(
        dialect.parse_report(R"({"stage":"decode","sequence":1,"more":)" + nested(levels) + "}"));
    cr_expect_not(
        dialect.parse_prefill_answer(R"({"kv_handle":"h","more":)" + nested(levels) + "}"));
  }
  cr_expect(dialect.parse_report(R"({"stage":"decode","sequence":1,"more":[[]]})").has_value());
  cr_expect(dialect.parse_prefill_answer(R"({"kv_handle":"h","tokens":5})").has_value());
}

Test(odd_answer, is_a_configuration_with_counts_out_of_range) {
  const ObjectCodec codec;
  for (const std::string number : {"-1", "1e300", "4294967296"}) {
    const char* text = number.c_str();
    const auto route = configuration("\"max_attempts\":" + number, "\"max_conns\":1");
    cr_expect_not(codec.configuration(route).has_value(), "%s", text);
    const auto service = configuration("\"priority\":1", "\"max_conns\":" + number);
    cr_expect_not(codec.configuration(service).has_value(), "%s", text);
  }
  const auto whole = codec.configuration(configuration("\"max_attempts\":2.0", "\"max_conns\":8"));
  cr_assert(whole.has_value());
  cr_assert_eq(whole->routes.front().max_attempts, 2);
}

Test(odd_answer, bounds_durations) {
  const auto parsed =
      ObjectCodec().configuration(configuration("\"timeout_ms\":1e300", "\"max_conns\":1"));
  cr_assert(parsed.has_value());
  cr_assert(parsed->routes.front().timeout == kMaxSecondsDuration);
}

// An engine listens neither on port 0 nor at an address with more bytes after the number.
Test(odd_answer, is_an_engine_without_a_usable_address) {
  const ObjectCodec codec;
  for (const std::string& address : {std::string("10.1.1.1:0"), std::string("10.1.1.1\0x:80", 13),
                                     std::string("10.1.1.1:70000"), std::string("10.1.1.1:")}) {
    const json content = {
        {"service", "m"}, {"addr", address}, {"zone", "z"}, {"slots", 8U}, {"state", "ready"}};
    cr_expect_not(codec.engine({"e", 1, content}).has_value(), "%s", address.c_str());
  }
}
