#include "relay/stream_progress.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};

RawEvent event(std::uint64_t id, std::string_view text) {
  return {"", id, text};
}

}  // namespace

Test(stream_progress, rejects_events_up_to_the_resume_position) {
  StreamProgress stream;
  stream.resume_after(12);
  cr_assert_not(stream.in_order(event(12, "12")));
  cr_assert(stream.in_order(event(13, "13")));
  cr_assert(stream.in_order({}));
  cr_assert(stream.last_id_text().empty(), "the caller's own last event id is forwarded unchanged");
  stream.on_forwarded(kNow, event(20, "020"));
  cr_assert_eq(stream.last_id_text(), "020");
  cr_assert_not(stream.in_order(event(19, "19")));
}

Test(stream_progress, measures_first_event_delay_and_gaps) {
  StreamProgress stream;
  cr_assert_eq(stream.first_event_delay(kNow).count(), 0);
  cr_assert_not(stream.on_forwarded(kNow + 5ms, {}).has_value());
  cr_assert_not(stream.mean_gap().has_value());
  cr_assert(stream.on_forwarded(kNow + 15ms, {}) == Duration(10ms));
  cr_assert(stream.on_forwarded(kNow + 45ms, {}) == Duration(30ms));
  cr_assert(stream.first_event_delay(kNow) == Duration(5ms));
  cr_assert(stream.longest_gap() == Duration(30ms));
  cr_assert(stream.mean_gap() == Duration(20ms));
  cr_assert_eq(stream.event_count(), 3);
}
