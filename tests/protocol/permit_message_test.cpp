#include "protocol/permit_message.hpp"

#include <criterion/criterion.h>

#include "protocol/load_digest.hpp"
#include "protocol/load_message.hpp"
#include "protocol/usage_message.hpp"

using namespace shuntbank;

namespace {

PermitCall call() {
  return {NodeId("n1"), 7, 9, EngineId("e.1"), true, 30, 250, {1.3, 40}};
}

PermitAnswer answer() {
  return {NodeId("n2"), 7, 9, EngineId("e.1"), PermitVerdict::kGranted, 120, 890, {{}, 3}};
}

}  // namespace

Test(permit_message, round_trips) {
  cr_assert(decode_permit_call(encode(call())).value() == call());
  cr_assert(decode_permit_answer(encode(answer())).value() == answer());
}

Test(permit_message, is_distinguished_from_other_messages) {
  for (const std::string& bytes : {encode(call()), encode(answer())}) {
    cr_assert_not(is_view(bytes) || is_digest(bytes));
    cr_assert_not(is_usage_call(bytes) || is_usage_counts(bytes));
    cr_assert_not(decode_load_message(bytes).has_value(), "older nodes must drop it");
  }
  cr_assert_not(is_permit_answer(encode(call())));
  cr_assert_not(is_permit_call(encode(answer())));
}

Test(permit_message, grants_nothing_when_malformed) {
  const std::string whole = encode(answer());
  for (std::size_t size = 1; size < whole.size(); ++size) {
    cr_assert_not(decode_permit_answer(whole.substr(0, size)).has_value());
  }
  PermitAnswer later = answer();
  later.verdict = static_cast<PermitVerdict>(7);
  const auto decoded = decode_permit_answer(encode(later));
  cr_assert(decoded->verdict == PermitVerdict::kNotOwner);
}
