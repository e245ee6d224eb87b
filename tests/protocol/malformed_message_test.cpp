// Guards against bytes from the network that end the process: messages that are nested deeply, and
// malformed ones whose exception escapes.
#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "protocol/configuration_message.hpp"
#include "protocol/engine_list_message.hpp"
#include "protocol/load_digest.hpp"
#include "protocol/load_message.hpp"
#include "protocol/messages.hpp"
#include "protocol/permit_message.hpp"
#include "protocol/quota_message.hpp"
#include "protocol/stream_message.hpp"
#include "protocol/usage_message.hpp"
#include "support/property.hpp"

using namespace shuntbank;

namespace {

struct Decoder {
  std::string start;  ///< First bytes of its messages.
  std::function<bool(std::string_view)> accepts;
};

const std::vector<Decoder>& decoders() {
  static const std::vector<Decoder> all = {
      {"configuration?", [](auto bytes) { return decode_configuration_call(bytes).has_value(); }},
      {"", [](auto bytes) { return decode_configuration(bytes).has_value(); }},
      {"engines?", [](auto bytes) { return decode_engine_list_call(bytes).has_value(); }},
      {"", [](auto bytes) { return decode_engine_list(bytes).has_value(); }},
      {"", [](auto bytes) { return decode_digest(bytes).has_value(); }},
      {"\xc1"
       "12345678",
       [](auto bytes) { return decode_view(bytes).has_value(); }},
      {"", [](auto bytes) { return decode_load_message(bytes).has_value(); }},
      {"", [](auto bytes) { return decode_cache_snapshot(bytes).has_value(); }},
      {"", [](auto bytes) { return decode(bytes).has_value(); }},
      {"P", [](auto bytes) { return decode_permit_call(bytes).has_value(); }},
      {"Q", [](auto bytes) { return decode_permit_answer(bytes).has_value(); }},
      {"T", [](auto bytes) { return decode_quota_call(bytes).has_value(); }},
      {"W", [](auto bytes) { return decode_quota_answer(bytes).has_value(); }},
      {"R", [](auto bytes) { return decode_stream_record(bytes).has_value(); }},
      {"S", [](auto bytes) { return decode_stream_call(bytes).has_value(); }},
      {"X", [](auto bytes) { return decode_stream_answer(bytes).has_value(); }},
      {"U", [](auto bytes) { return decode_usage_call(bytes).has_value(); }},
      {"V", [](auto bytes) { return decode_usage_counts(bytes).has_value(); }}};
  return all;
}

/// Arrays, or maps with an empty key, of one element.
std::string nested(const std::string& opening, std::size_t levels) {
  std::string bytes;
  for (std::size_t i = 0; i < levels; ++i) bytes += opening;
  return bytes + '\xc0';
}

}  // namespace

Test(malformed_message, is_rejected_if_it_is_nested_deeply) {
  for (const std::size_t levels : {1'000, 60'000, 2'000'000}) {
    for (const char* opening : {"\x91", "\x81\xa0"}) {
      for (const Decoder& decoder : decoders()) {
        cr_expect_not(decoder.accepts(decoder.start + nested(opening, levels)), "%s, %zu",
                      decoder.start.c_str(), levels);
      }
    }
    const std::string text = std::string(levels, '[') + std::string(levels, ']');
    cr_expect_not(decode(text).has_value());
  }
}

// Without a check, such a number wraps round, or its conversion is undefined.
Test(malformed_message, is_rejected_if_a_count_is_out_of_range) {
  LoadMessage message;
  message.node = NodeId("n");
  message.load[EngineId("e")] = {3, 4000};
  message.store_age_ms = 5;
  const std::string bytes = encode(message);
  const auto valid = nlohmann::json::from_msgpack(bytes.begin(), bytes.end());
  for (const char* field : {"/boot", "/seq", "/age", "/seen/0", "/load/0/1", "/load/0/2"}) {
    for (const nlohmann::json& number :
         {nlohmann::json(-1), nlohmann::json(1e300),
          nlohmann::json(std::numeric_limits<double>::quiet_NaN())}) {
      nlohmann::json odd = valid;
      odd[nlohmann::json::json_pointer(field)] = number;
      std::string changed;
      nlohmann::json::to_msgpack(odd, changed);
      cr_expect_not(decode_load_message(changed).has_value(), "%s", field);
    }
  }
}

Test(malformed_message, never_throws) {
  SHUNTBANK_PROPERTY("arbitrary bytes are decoded or rejected", [] {
    const Decoder decoder = *rc::gen::elementOf(decoders());
    const auto bytes = *rc::gen::container<std::string>(rc::gen::oneOf(
        rc::gen::arbitrary<char>(),
        rc::gen::elementOf(std::string("\x91\x92\x9a\x81\x82\xc0\xc2\xc3\xcb\xa1\xa4nodeboot"))));
    decoder.accepts(decoder.start + bytes);
  });
}
