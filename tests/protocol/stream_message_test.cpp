// Guards against origins of streams that change on the way between nodes, or malformed messages
// that are taken for one.
#include "protocol/stream_message.hpp"

#include <criterion/criterion.h>

#include "protocol/load_message.hpp"

using namespace shuntbank;
using relay::StreamOrigin;

Test(stream_message, messages_round_trip) {
  const StreamOrigin origin{ServiceName("s"), "v1.1"};
  const StreamRecord record{NodeId("n1"), 0xfedcba9876543210, origin};
  cr_assert(decode_stream_record(encode(record)) == record);
  const StreamCall call{NodeId("n1"), 7, 8, 0xfedcba9876543210, ServiceName("s")};
  cr_assert(decode_stream_call(encode(call)) == call);
  const StreamAnswer known{NodeId("n2"), 7, 8, origin, {{"v1", "v1.1"}, true}};
  cr_assert(decode_stream_answer(encode(known)) == known);
  const StreamAnswer unknown{NodeId("n2"), 7, 8, std::nullopt, {}};
  cr_assert(decode_stream_answer(encode(unknown)) == unknown);
}

Test(stream_message, rejects_malformed_messages) {
  const std::string record = encode(StreamRecord{NodeId("n1"), 1, {ServiceName("s"), "v1"}});
  cr_assert_not(decode_stream_record(record.substr(0, record.size() - 1)).has_value());
  cr_assert_not(decode_stream_call(record).has_value());
  cr_assert_not(decode_stream_answer(record).has_value());
  cr_assert_not(is_stream_record(""));
}

Test(stream_message, versions_travel_with_the_cache_snapshot) {
  CacheSnapshot snapshot;
  cr_assert_not(decode_cache_snapshot(encode(snapshot))->versions.has_value());
  snapshot.versions = {{ServiceName("s"), "v1", 1500}};
  cr_assert(decode_cache_snapshot(encode(snapshot))->versions == snapshot.versions);
}
