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
                      {EngineId("e3"), EngineStage::kNone, relay::TroubleKind::kLeaving},
                      {EngineId("e4"), EngineStage::kDecode, relay::TroubleKind::kUnusable}};
  message.crashes = {{relay::CrashNews::kEnded, {~0ULL, 5}, 77, 78, 1500}};
  message.seen = {41, 42};
  message.to_collector = true;
  message.wants_view = true;
  return message;
}

}  // namespace

Test(load_message, survives_the_wire) {
  const auto read = decode_load_message(encode(full_message()));
  cr_assert(read.has_value());
  cr_assert_eq(read->node, NodeId("n1"));
  cr_assert_eq(read->load.at(EngineId("e1")).prefill_tokens, 4500);
  cr_assert_eq(read->load.at(EngineId("e1")).deferred_tokens, 700);
  cr_assert_eq(read->reads[0].parts[0].id, 0xabcdef0123456789);
  cr_assert(read->troubles == full_message().troubles);
  cr_assert(read->crashes == full_message().crashes);
  cr_assert(read->seen == full_message().seen);
  cr_assert(read->to_collector && read->wants_view);
}

Test(load_message, reads_a_snapshot_back) {
  const CacheSnapshot snapshot{{{EngineId("e1"), {{1, 10}, {2, 20}}}}};
  const auto read = decode_cache_snapshot(encode(snapshot));
  cr_assert(read.has_value());
  cr_assert_eq(read->kept.size(), 1);
  cr_assert_eq(read->kept[0].parts[1].tokens, 20);
  cr_assert_not(decode_cache_snapshot("").has_value());
}

Test(load_message, no_bytes_make_the_decoder_fail_badly) {
  const std::string good = encode(full_message());
  for (std::size_t length = 0; length < good.size(); ++length) {
    decode_load_message(good.substr(0, length));
  }
  for (std::size_t place = 0; place < good.size(); ++place) {
    for (const char value : {'\x00', '\x7f', '\xc0', '\xff'}) {
      std::string bad = good;
      bad[place] = value;
      decode_load_message(bad);
    }
  }
}
