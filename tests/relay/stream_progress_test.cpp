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

Test(stream_progress, takes_no_event_that_comes_before_its_place) {
  StreamProgress stream;
  stream.resume_behind(12);
  cr_assert_not(stream.may_follow(event(12, "12")));
  cr_assert(stream.may_follow(event(13, "13")));
  cr_assert(stream.may_follow({}));
  cr_assert(stream.last_id_text().empty(), "what the caller said itself goes on as it was");
  stream.pass_on(kNow, event(20, "020"));
  cr_assert_eq(stream.last_id_text(), "020");
  cr_assert_not(stream.may_follow(event(19, "19")));
}

Test(stream_progress, measures_first_event_and_pauses) {
  StreamProgress stream;
  cr_assert_eq(stream.first_event_after(kNow).count(), 0);
  cr_assert_not(stream.pass_on(kNow + 5ms, {}).has_value());
  cr_assert_not(stream.mean_pause().has_value());
  cr_assert(stream.pass_on(kNow + 15ms, {}) == Duration(10ms));
  cr_assert(stream.pass_on(kNow + 45ms, {}) == Duration(30ms));
  cr_assert(stream.first_event_after(kNow) == Duration(5ms));
  cr_assert(stream.longest_pause() == Duration(30ms));
  cr_assert(stream.mean_pause() == Duration(20ms));
  cr_assert_eq(stream.events(), 3);
}
