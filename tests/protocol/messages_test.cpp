#include "protocol/messages.hpp"

#include <nlohmann/json.hpp>

#include "support/property.hpp"

using namespace shuntbank;

namespace {

Heartbeat full_heartbeat() {
  Heartbeat heartbeat;
  heartbeat.from = NodeId("node-ba-palermo-117");
  heartbeat.revision = 1'234'567;
  heartbeat.engines_digest = UINT64_MAX;
  for (int i = 0; i < 4; ++i) {
    heartbeat.members.push_back({NodeId("node-ba-palermo-117"), 1'790'000'000'000,
                                 1'790'000'000'000, MemberState::kLeaving, "10.100.100.100:18082",
                                 ZoneName("ba-barracas"), RegionName("ba-central")});
  }
  return heartbeat;
}

}  // namespace

Test(messages, round_trip) {
  const auto decoded = decode(encode(full_heartbeat()));
  cr_assert(decoded.has_value(), "%s", decoded.error().c_str());
  cr_assert(std::get<Heartbeat>(*decoded).members == full_heartbeat().members);
  cr_assert_eq(std::get<ConfigPull>(*decode(encode(ConfigPull{7}))).have, 7);
}

Test(messages, largest_heartbeat_fits_a_datagram) {
  Heartbeat heartbeat = full_heartbeat();
  EngineFact fact;
  fact.engine = EngineId("oraculo-large-640");
  fact.stamp = {123'456, 0};
  fact.version = 123'456;
  fact.role = EngineRole::kPrefill;
  fact.availability = Availability::kDraining;
  heartbeat.engines.assign(3, fact);
  cr_assert_leq(encode(heartbeat).size(), kMaxHeartbeat, "%zu", encode(heartbeat).size());
}

Test(messages, unknown_fields_are_ignored_and_other_versions_refused) {
  auto json = nlohmann::json::parse(encode(ConfigPull{7}));
  json["later_field"] = {1, 2, 3};
  cr_assert(decode(json.dump()).has_value());
  json["v"] = kProtocolVersion + 1;
  cr_assert(!decode(json.dump()).has_value());
}

Test(messages, decoder_tolerates_corrupted_text) {
  const std::string good = encode(full_heartbeat());
  SHUNTBANK_PROPERTY("mutated messages decode or are refused", [&good] {
    std::string text = good;
    const int edits = *rc::gen::inRange(1, 10);
    for (int i = 0; i < edits; ++i) {
      text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
    decode(text);
  });
  cr_assert(!decode(std::string(100'000, '[')).has_value());
}
