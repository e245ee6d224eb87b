// Tests that malformed or later quota messages grant nothing, and that older nodes drop them.
#include "protocol/quota_message.hpp"

#include <criterion/criterion.h>

#include <limits>

#include "protocol/load_digest.hpp"
#include "protocol/load_message.hpp"
#include "protocol/permit_message.hpp"
#include "protocol/usage_message.hpp"

using namespace shuntbank;

namespace {

QuotaCall call() {
  return {NodeId("n1"), 7, 9, TenantName("t"), {12, 982686, 491343}, 12018, -845};
}

QuotaAnswer answer() {
  return {NodeId("n2"), 7, 9, TenantName("t"), 12018, QuotaVerdict::kGranted, 0};
}

}  // namespace

Test(quota_message, round_trips) {
  cr_assert(decode_quota_call(encode(call())).value() == call());
  cr_assert(decode_quota_answer(encode(answer())).value() == answer());
}

Test(quota_message, is_distinguished_from_other_messages) {
  for (const std::string& bytes : {encode(call()), encode(answer())}) {
    cr_assert_not(is_view(bytes) || is_digest(bytes));
    cr_assert_not(is_usage_call(bytes) || is_usage_counts(bytes));
    cr_assert_not(is_permit_call(bytes) || is_permit_answer(bytes));
    cr_assert_not(decode_load_message(bytes).has_value(), "older nodes must drop it");
  }
  cr_assert_not(is_quota_answer(encode(call())));
  cr_assert_not(is_quota_call(encode(answer())));
}

Test(quota_message, grants_nothing_when_malformed) {
  const std::string whole = encode(answer());
  for (std::size_t size = 1; size < whole.size(); ++size) {
    cr_assert_not(decode_quota_answer(whole.substr(0, size)).has_value());
  }
  QuotaAnswer later = answer();
  later.verdict = static_cast<QuotaVerdict>(7);
  cr_assert(decode_quota_answer(encode(later))->verdict == QuotaVerdict::kNotOwner);
}

Test(quota_message, rejects_amounts_out_of_range) {
  QuotaCall negative = call();
  negative.cost = -1;
  cr_assert_not(decode_quota_call(encode(negative)).has_value());
  QuotaCall infinite = call();
  infinite.unsettled = std::numeric_limits<double>::infinity();
  cr_assert_not(decode_quota_call(encode(infinite)).has_value());
  QuotaCall undefined = call();
  undefined.terms.per_second = std::numeric_limits<double>::quiet_NaN();
  cr_assert_not(decode_quota_call(encode(undefined)).has_value());
}
