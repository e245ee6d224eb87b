#include "protocol/load_message.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using relay::EngineStage;

namespace {

LoadMessage full_message() {
  LoadMessage message;
  message.node = NodeId("n1");
  message.boot = 7;
  message.sequence = 9;
  message.load[EngineId("e1")] = {3, 4500, 700};
  message.reads = {{EngineId("e1"), {{0xabcdef0123456789, 800}, {2, 30}}}};
  message.troubles = {{EngineId("e2"), EngineStage::kPrefill, relay::TroubleKind::kMisdirected},
                      {EngineId("e3"), EngineStage::kNone, relay::TroubleKind::kDraining},
                      {EngineId("e4"), EngineStage::kDecode, relay::TroubleKind::kUnusable}};
  message.crashes = {{relay::CrashEvent::kCrashed, {~0ULL, 5}, 77, 78, 1500}};
  message.revisions = {41, 42};
  message.to_collector = true;
  message.wants_view = true;
  return message;
}

}  // namespace

Test(load_message, round_trips) {
  const auto decoded = decode_load_message(encode(full_message()));
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->node, NodeId("n1"));
  cr_assert_eq(decoded->load.at(EngineId("e1")).prefill_tokens, 4500);
  cr_assert_eq(decoded->load.at(EngineId("e1")).deferred_tokens, 700);
  cr_assert_eq(decoded->reads[0].parts[0].id, 0xabcdef0123456789);
  cr_assert(decoded->troubles == full_message().troubles);
  cr_assert(decoded->crashes == full_message().crashes);
  cr_assert(decoded->revisions == full_message().revisions);
  cr_assert(decoded->to_collector && decoded->wants_view);
}

Test(load_message, snapshot_round_trips) {
  const CacheSnapshot snapshot{{{EngineId("e1"), {{1, 10}, {2, 20}}}}};
  const auto decoded = decode_cache_snapshot(encode(snapshot));
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->cached_prompts.size(), 1);
  cr_assert_eq(decoded->cached_prompts[0].parts[1].tokens, 20);
  cr_assert_not(decode_cache_snapshot("").has_value());
}

Test(load_message, decoder_tolerates_corrupted_bytes) {
  const std::string good = encode(full_message());
  for (std::size_t length = 0; length < good.size(); ++length) {
    decode_load_message(good.substr(0, length));
  }
  for (std::size_t index = 0; index < good.size(); ++index) {
    for (const char value : {'\x00', '\x7f', '\xc0', '\xff'}) {
      std::string bad = good;
      bad[index] = value;
      decode_load_message(bad);
    }
  }
}
