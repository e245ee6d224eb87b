// Guards compatibility during rolling upgrades. These bytes were encoded before engine limits
// existed, those of engine lists by their first version; the current version must decode them and
// may only add what earlier versions ignore.
#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "protocol/engine_list_message.hpp"
#include "protocol/load_digest.hpp"
#include "protocol/load_message.hpp"
#include "protocol/usage_message.hpp"

using namespace shuntbank;
using nlohmann::json;

namespace {

constexpr const char* kLoadHex =
    "8aa3616765cd0190a4626f6f7407a763726173686573919604000005001ea46c6f61649194a2653102cd012c28a4"
    "6e6f6465a26e31a572656164739192a2653192920bcd0384920c50a47365656e921516a373657109a373756dc3a8"
    "74726f75626c65739293a2653102c394a2653200c2c3";
constexpr const char* kDigestHex =
    "9aa26e320304a27a31059200ceffffffff944d01ccc8039391934d0bcd038491934d01c2919604000005001e9215"
    "16cd0190";
constexpr const char* kViewHex =
    "c100000000000000429aa26e320304a27a31059200ceffffffff944d01ccc8039391934d0bcd038491934d01c291"
    "9604000005001e921516cd0190";
constexpr const char* kUsageCallHex = "5593a26e3107ce0001e240";
constexpr const char* kUsageCountsHex = "569aa26e310702cd03e8cd03846403000192a1740c";
constexpr const char* kEngineListCallHex = "656e67696e65733f81a56b6e6f776eccc8";
constexpr const char* kEngineListHex =
    "86a76368616e676564929ba3692d31c0c0cd03e800ae31302e312e36342e393a38303830014001020291a3692d32"
    "a8636f6d706c657465c2a66e6577657374cd0122a772656d6f76656491a3692d33a87265766973696f6ecd012ca5"
    "776f72647393a16da17aa27631";
constexpr const char* kSnapshotHex = "81a46b6570749192a2653191920bcd0384";

std::string from_hexadecimal(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(std::string(text.substr(i, 2)), nullptr, 16));
  }
  return bytes;
}

relay::CrashReport crash() {
  relay::CrashReport report;
  report.event = relay::CrashEvent::kAlive;
  report.engine = 5;
  report.age_ms = 30;
  return report;
}

LoadMessage load_message() {
  LoadMessage message;
  message.node = NodeId("n1");
  message.boot = 7;
  message.sequence = 9;
  message.load[EngineId("e1")] = {2, 300, 40};
  message.reads = {{EngineId("e1"), {{11, 900}, {12, 80}}}};
  message.troubles = {
      {EngineId("e1"), relay::EngineStage::kDecode, relay::TroubleKind::kMisdirected},
      {EngineId("e2"), relay::EngineStage::kNone, relay::TroubleKind::kDraining}};
  message.crashes = {crash()};
  message.revisions = {21, 22};
  message.store_age_ms = 400;
  message.to_collector = true;
  message.wants_view = true;
  return message;
}

LoadDigest load_digest() {
  LoadDigest sum;
  sum.collector = NodeId("n2");
  sum.number = {3, 4};
  sum.zone = ZoneName("z1");
  sum.node_count = 5;
  sum.range.load[77] = {1, 200, 3};
  sum.updates.reads = {{77, {{11, 900}}}};
  sum.updates.troubles = {{77, relay::EngineStage::kPrefill, relay::TroubleKind::kUnusable}};
  sum.updates.crashes = {crash()};
  sum.revisions = {21, 22};
  sum.store_age_ms = 400;
  return sum;
}

UsageCall usage_call() {
  return {NodeId("n1"), 7, 123456};
}

json parsed(const std::string& bytes) {
  return json::from_msgpack(bytes.begin(), bytes.end());
}

}  // namespace

Test(earlier_messages, are_decoded) {
  const auto message = decode_load_message(from_hexadecimal(kLoadHex));
  cr_assert(message.has_value());
  cr_assert(message->load == load_message().load);
  cr_assert(message->troubles == load_message().troubles);
  cr_assert(message->crashes == load_message().crashes);
  cr_assert(message->limits.empty());
  cr_assert(decode_digest(from_hexadecimal(kDigestHex)).value() == load_digest());
  const auto fleet_view = decode_view(from_hexadecimal(kViewHex));
  cr_assert(fleet_view->digest == load_digest());
  cr_assert_eq(fleet_view->last_sequence, 66);
  cr_assert(decode_usage_call(from_hexadecimal(kUsageCallHex)).value() == usage_call());
  cr_assert_eq(decode_usage_counts(from_hexadecimal(kUsageCountsHex))->counts.at(TenantName("t")),
               12);
  cr_assert_eq(
      decode_cache_snapshot(from_hexadecimal(kSnapshotHex))->cached_prompts.at(0).parts.at(0).id,
      11);
}

Test(earlier_messages, match_the_encoding_without_new_fields) {
  cr_assert(encode(load_message()) == from_hexadecimal(kLoadHex));
  const std::string sum = encode_parts(load_digest()).front();
  cr_assert(sum == from_hexadecimal(kDigestHex));
  cr_assert(encode_view(66, sum) == from_hexadecimal(kViewHex));
  cr_assert(encode(usage_call()) == from_hexadecimal(kUsageCallHex));
  const CacheSnapshot snapshot{{{EngineId("e1"), {{11, 900}}}}};
  cr_assert(encode(snapshot) == from_hexadecimal(kSnapshotHex));
}

Test(earlier_messages, are_contained_in_messages_with_limits) {
  LoadMessage message = load_message();
  message.limits = {{EngineId("e1"), {1.3, 20}}, {EngineId("e2"), {std::nullopt, 0}}};
  json document = parsed(encode(message));
  document.erase("limits");
  cr_assert(document == parsed(from_hexadecimal(kLoadHex)));
  cr_assert(decode_load_message(encode(message))->limits == message.limits);
  LoadDigest sum = load_digest();
  sum.updates.limits = {{77, {1.3, 20}}};
  const std::string bytes = encode_parts(sum).front();
  cr_assert(is_digest(bytes));
  cr_assert(decode_digest(bytes).value() == sum);
  json lists = parsed(bytes);
  lists[7].erase(3);
  cr_assert(lists == parsed(from_hexadecimal(kDigestHex)));
}

Test(earlier_messages, are_contained_in_messages_with_engine_facts) {
  const relay::StageNotice notice{relay::EngineStage::kPrefill, 12, std::chrono::milliseconds(900)};
  const relay::EngineSamples samples{1, 130, 2, 70, 400, 1, 250};
  LoadMessage message = load_message();
  message.stage_notices = {{EngineId("e1"), notice}};
  message.samples[EngineId("e2")] = samples;
  const auto decoded = decode_load_message(encode(message));
  cr_assert(decoded->stage_notices == message.stage_notices);
  cr_assert(decoded->samples == message.samples);
  json document = parsed(encode(message));
  document.erase("stages");
  document.erase("samples");
  cr_assert(document == parsed(from_hexadecimal(kLoadHex)));
  LoadDigest sum = load_digest();
  sum.updates.stage_notices = {{77, notice}};
  sum.updates.samples[77] = samples;
  const std::string bytes = encode_parts(sum).front();
  cr_assert(is_digest(bytes));
  cr_assert(decode_digest(bytes).value() == sum);
  json lists = parsed(bytes);
  for (int added = 0; added < 3; ++added) lists[7].erase(3);
  cr_assert(lists == parsed(from_hexadecimal(kDigestHex)));
}

// Earlier versions must read messages with served tokens, and these must arrive whole.
Test(earlier_messages, are_contained_in_messages_with_served_tokens) {
  const relay::ServedByTenant served{{TenantName("t1"), 12000}, {TenantName("t 2/\xc3\xa9"), 7}};
  LoadMessage message = load_message();
  message.served = served;
  cr_assert(decode_load_message(encode(message))->served == served);
  json document = parsed(encode(message));
  document.erase("served");
  cr_assert(document == parsed(from_hexadecimal(kLoadHex)));
  LoadDigest sum = load_digest();
  sum.updates.served = served;
  const std::string bytes = encode_parts(sum).front();
  cr_assert(is_digest(bytes));
  cr_assert(decode_digest(bytes).value() == sum);
  json lists = parsed(bytes);
  for (int added = 0; added < 4; ++added) lists[7].erase(3);
  cr_assert(lists == parsed(from_hexadecimal(kDigestHex)));
}

// A digest with the tenants of all zones must keep within one datagram a part.
Test(earlier_messages, digests_with_many_tenants_are_split) {
  LoadDigest sum = load_digest();
  for (int i = 0; i < 100; ++i) {
    sum.updates.served[TenantName("a-tenant-with-a-long-name-" + std::to_string(i))] =
        std::uint64_t{1} << 40U;
  }
  relay::EngineUpdates received;
  for (const std::string& part : encode_parts(sum)) {
    cr_assert_leq(part.size(), kMaxLoadMessage);
    received.append(decode_digest(part)->updates);
  }
  cr_assert_eq(received.served.size(), 100);
}

// A malformed entry is reported, not taken for something else.
Test(earlier_messages, malformed_served_tokens_are_rejected) {
  json document = parsed(encode(load_message()));
  document["served"] = {{"t1", "many"}};
  std::string bytes;
  json::to_msgpack(document, bytes);
  cr_assert_not(decode_load_message(bytes).has_value());
}

// A digest larger than one datagram must not lose the facts that do not fit into the first part.
Test(earlier_messages, digests_with_many_engine_facts_are_split) {
  constexpr relay::EngineKey kEngines = 200;
  LoadDigest sum = load_digest();
  for (relay::EngineKey key = 1; key <= kEngines; ++key) {
    sum.updates.samples[key] = {1, 100, 1, 60, 90, 0, 100};
    sum.updates.stage_notices.push_back({key, {relay::EngineStage::kDecode, 5, Duration::zero()}});
  }
  relay::EngineUpdates received;
  for (const std::string& part : encode_parts(sum)) {
    cr_assert_leq(part.size(), kMaxLoadMessage);
    received.append(decode_digest(part)->updates);
  }
  cr_assert(received == sum.updates);
}

Test(earlier_messages, are_contained_in_messages_with_unshared_tokens) {
  LoadMessage message = load_message();
  message.reads.front().unshared_tokens = 6600;
  cr_assert(decode_load_message(encode(message))->reads.front().unshared_tokens == 6600);
  json document = parsed(encode(message));
  document["reads"][0].erase(2);
  cr_assert(document == parsed(from_hexadecimal(kLoadHex)));
  LoadDigest sum = load_digest();
  sum.updates.reads.front().unshared_tokens = 6600;
  const std::string bytes = encode_parts(sum).front();
  cr_assert(decode_digest(bytes).value() == sum);
  json lists = parsed(bytes);
  lists[7][0][0].erase(3);
  cr_assert(lists == parsed(from_hexadecimal(kDigestHex)));
}

Test(earlier_messages, engine_lists_are_decoded_and_encoded_as_before) {
  const std::string call = from_hexadecimal(kEngineListCallHex);
  cr_assert(is_engine_list_call(call));
  cr_assert_eq(decode_engine_list_call(call)->known_revision, 200);
  const std::string bytes = from_hexadecimal(kEngineListHex);
  const auto update = decode_engine_list(bytes);
  cr_assert(update.has_value());
  cr_assert_eq(update->revision, 300);
  cr_assert_eq(update->newest_change, 290);
  cr_assert_not(update->complete);
  cr_assert_eq(update->changed.size(), 2);
  const relay::EngineRecord& record = *update->changed.front().record;
  cr_assert_eq(record.id, relay::incarnation_id("i-1", 1000));
  cr_assert_eq(record.address, "10.1.64.9:8080");
  cr_assert(record.draining);
  cr_assert_eq(record.stage, relay::EngineStage::kDecode);
  cr_assert_not(update->changed.back().record.has_value());
  cr_assert_eq(update->removed, std::vector<std::string>{"i-3"});
  cr_assert_eq(encode(*update), bytes);
}
