#include "core/relay/slot_wait.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;
using namespace shuntbank::relay;

namespace {

constexpr double kSlots = 16;

double wait_ms(const SlotWaitModel& model, double requests) {
  return model.wait_ms({requests, kSlots});
}

void train(SlotWaitModel& model, double requests, double waited_ms, int count) {
  for (int i = 0; i < count; ++i) model.observe({requests, kSlots}, waited_ms);
}

void assert_not_decreasing(const SlotWaitModel& model) {
  for (double requests = 0; requests < 3 * kSlots; requests += 0.25)
    cr_assert_leq(wait_ms(model, requests), wait_ms(model, requests + 0.25) + 1e-9, "%f", requests);
}

}  // namespace

// Guards against plans that expect a full engine to answer at once.
Test(slot_wait, expects_a_wait_by_default_only_where_slots_are_taken) {
  const SlotWaitModel model;
  cr_assert_eq(wait_ms(model, 0), 0);
  cr_assert_eq(wait_ms(model, 8), 0);
  cr_assert_lt(wait_ms(model, 12), 20);
  cr_assert_gt(wait_ms(model, 16), 100);
  cr_assert_gt(wait_ms(model, 20), wait_ms(model, 17) + 100);
  assert_not_decreasing(model);
}

Test(slot_wait, learns_by_occupancy) {
  SlotWaitModel model;
  train(model, 13, 90, 100);
  train(model, 16, 300, 100);
  cr_assert_float_eq(wait_ms(model, 13), 90, 10);
  cr_assert_float_eq(wait_ms(model, 16), 300, 10);
  cr_assert_lt(wait_ms(model, 9), 10);
  assert_not_decreasing(model);
}

// Guards against waits of one deployment that stay in another whose engines have room.
Test(slot_wait, forgets_the_defaults_where_nothing_waits) {
  SlotWaitModel model;
  for (const double requests : {13.0, 14.0, 15.0, 16.0, 17.0}) train(model, requests, 0, 150);
  cr_assert_lt(wait_ms(model, 16), 10);
  assert_not_decreasing(model);
}

// Guards against an emptier engine that seems slower by chance and drives requests to a full one.
Test(slot_wait, does_not_decrease_with_the_occupancy) {
  SlotWaitModel model;
  train(model, 11, 800, 3);
  train(model, 15, 20, 100);
  assert_not_decreasing(model);
  cr_assert_lt(wait_ms(model, 11), 100);
}

Test(slot_wait, depends_on_the_share_of_the_slots) {
  const SlotWaitModel model;
  cr_assert_float_eq(model.wait_ms({24, 24}), model.wait_ms({16, 16}), 1e-9);
  cr_assert_eq(model.wait_ms({0, 0}), 0);
}

Test(slot_wait, requests_beyond_the_slots_wait_for_as_many_streams) {
  SlotWaitModel model;
  for (int i = 0; i < 300; ++i) model.on_slot_released(400);
  cr_assert_float_eq(wait_ms(model, 33) - wait_ms(model, 17), 400, 5);
  // What waits beyond the slots is no property of the class.
  train(model, 33, wait_ms(model, 33), 100);
  cr_assert_float_eq(wait_ms(model, 33) - wait_ms(model, 17), 400, 5);
}

Test(slot_wait, bounds_a_single_observation) {
  SlotWaitModel model;
  train(model, 16, 60000, 1);
  cr_assert_lt(wait_ms(model, 16), 1000);
}
