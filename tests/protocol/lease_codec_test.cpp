#include "protocol/lease_codec.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using nlohmann::json;

Test(lease_codec, round_trips) {
  const LeaseRecord record{NodeId("n"), 7, "w", std::chrono::seconds(8)};
  cr_assert(lease_from_json(json::parse(lease_to_json(record).dump())) == record);
}

Test(lease_codec, tolerates_malformed_records) {
  for (const char* text : {"null", "[]", "5", R"({"holder":1,"epoch":"x","length":{}})"}) {
    const LeaseRecord record = lease_from_json(json::parse(text));
    cr_assert_eq(record.epoch, 0, "%s", text);
    cr_assert_gt(record.duration.count(), 0, "%s", text);
  }
  cr_assert_eq(lease_from_json(json::parse(R"({"epoch":9,"holder":[]})")).epoch, 9);
}
