/// Guards against records of engines that change on their way between nodes.
#include "protocol/engine_list_message.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;

namespace {

relay::EngineRecord record() {
  relay::EngineRecord record;
  record.name = "i-7f3a91c2";
  record.started_unix_ms = 1'786'172'542'001;
  record.id = relay::incarnation_id(record.name, record.started_unix_ms);
  record.service = ServiceName("m");
  record.address = "10.1.64.9:8080";
  record.zone = ZoneName("z");
  record.slots = 64;
  record.draining = true;
  record.spot = true;
  record.stage = relay::EngineStage::kDecode;
  record.software_version = "v1.2";
  return record;
}

}  // namespace

Test(engine_list_message, round_trip_preserves_all_fields) {
  relay::EngineRecord other;
  other.id = EngineId("some id");
  relay::EngineListUpdate update;
  update.revision = 1ULL << 40U;
  update.newest_change = 77;
  update.complete = true;
  update.changed = {{"i-7f3a91c2", record()}, {"unreadable", std::nullopt}, {"plain", other}};
  update.removed = {"gone"};
  const auto decoded = decode_engine_list(encode(update));
  cr_assert(decoded.has_value(), "%s", decoded ? "" : decoded.error().c_str());
  cr_assert_eq(*decoded, update);
}

Test(engine_list_message, round_trip_preserves_the_call) {
  EngineListCall call;
  call.known_revision = 123;
  const std::string bytes = encode(call);
  cr_assert(is_engine_list_call(bytes));
  const auto decoded = decode_engine_list_call(bytes);
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->known_revision, 123);
}

Test(engine_list_message, rejects_malformed_bytes) {
  cr_assert_not(decode_engine_list("nothing of the kind").has_value());
  cr_assert_not(decode_engine_list("").has_value());
  cr_assert_not(decode_engine_list_call("engines?").has_value());
  cr_assert_not(is_engine_list_call("configuration?"));
  std::string bytes = encode(relay::EngineListUpdate{5, 5, false, {{"e", record()}}, {}});
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    cr_assert_not(decode_engine_list(bytes.substr(0, length)).has_value());
  }
}

Test(engine_list_message, takes_about_fifty_bytes_an_engine) {
  relay::EngineListUpdate update;
  for (int i = 0; i < 20'000; ++i) {
    relay::EngineRecord engine = record();
    engine.name = "i-" + std::to_string(1'000'000'000 + i);
    engine.id = relay::incarnation_id(engine.name, engine.started_unix_ms);
    update.changed.push_back({engine.name, engine});
  }
  cr_assert_leq(encode(update).size(), 20'000 * 60);
}
