#include "core/relay/link_model.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(100)};
constexpr std::size_t kBody = 18000;

}  // namespace

Test(link_model, tells_how_long_bytes_take_on_a_link) {
  cr_assert_float_eq(LinkModel(10).send_ms(kBody), 14.4, 0.01);
  cr_assert_float_eq(LinkModel(1000).send_ms(kBody), 0.144, 0.001);
}

Test(link_model, empties_as_time_passes) {
  LinkModel link(10);
  cr_assert_eq(link.wait_ms(kNow), 0);
  link.on_sent(kNow, kBody);
  link.on_sent(kNow, kBody);
  cr_assert_float_eq(link.wait_ms(kNow), 28.8, 0.01);
  cr_assert_float_eq(link.wait_ms(kNow + 20ms), 8.8, 0.01);
  cr_assert_eq(link.wait_ms(kNow + 1s), 0);
}

Test(link_model, lets_nothing_wait_on_a_link_of_unknown_width) {
  LinkModel link(0);
  link.on_sent(kNow, kBody);
  cr_assert_eq(link.wait_ms(kNow), 0);
}
