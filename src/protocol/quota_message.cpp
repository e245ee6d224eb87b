#include "protocol/quota_message.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

#include "common/json_parsing.hpp"
#include "protocol/marked_message.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;

/// First byte of a message, which identifies its type.
constexpr char kCallMark = 'T';
constexpr char kAnswerMark = 'W';

/// Unknown verdicts of later versions grant nothing.
QuotaVerdict verdict_from_number(int value) {
  if (value == static_cast<int>(QuotaVerdict::kGranted)) return QuotaVerdict::kGranted;
  if (value == static_cast<int>(QuotaVerdict::kExceeded)) return QuotaVerdict::kExceeded;
  return QuotaVerdict::kNotOwner;
}

bool is_amount(double value) {
  return std::isfinite(value) && value >= 0;
}

}  // namespace

std::string encode(const QuotaCall& call) {
  return encode_marked(kCallMark, {call.node.value(), call.boot, call.number, call.tenant.value(),
                                   call.terms.configuration, call.terms.per_second,
                                   call.terms.burst, call.cost, call.unsettled});
}

std::string encode(const QuotaAnswer& answer) {
  return encode_marked(kAnswerMark,
                       {answer.node.value(), answer.boot, answer.number, answer.tenant.value(),
                        answer.cost, static_cast<int>(answer.verdict), answer.retry_in_ms});
}

bool is_quota_call(std::string_view bytes) {
  return has_mark(bytes, kCallMark);
}

bool is_quota_answer(std::string_view bytes) {
  return has_mark(bytes, kAnswerMark);
}

tl::expected<QuotaCall, std::string> decode_quota_call(std::string_view bytes) {
  try {
    const json document = decode_marked(bytes);
    QuotaCall call;
    call.node = NodeId(document.at(0).get<std::string>());
    call.boot = to_integer<std::uint64_t>(document.at(1));
    call.number = to_integer<std::uint64_t>(document.at(2));
    call.tenant = TenantName(document.at(3).get<std::string>());
    call.terms.configuration = to_integer<std::uint64_t>(document.at(4));
    call.terms.per_second = document.at(5).get<double>();
    call.terms.burst = document.at(6).get<double>();
    call.cost = document.at(7).get<double>();
    call.unsettled = document.at(8).get<double>();
    const bool valid = is_amount(call.terms.per_second) && is_amount(call.terms.burst) &&
                       is_amount(call.cost) && std::isfinite(call.unsettled);
    if (!valid) return tl::make_unexpected(std::string("an amount is out of range"));
    return call;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

tl::expected<QuotaAnswer, std::string> decode_quota_answer(std::string_view bytes) {
  try {
    const json document = decode_marked(bytes);
    QuotaAnswer answer;
    answer.node = NodeId(document.at(0).get<std::string>());
    answer.boot = to_integer<std::uint64_t>(document.at(1));
    answer.number = to_integer<std::uint64_t>(document.at(2));
    answer.tenant = TenantName(document.at(3).get<std::string>());
    answer.cost = document.at(4).get<double>();
    answer.verdict = verdict_from_number(to_integer<int>(document.at(5)));
    answer.retry_in_ms = to_integer<std::uint32_t>(document.at(6));
    if (!is_amount(answer.cost)) return tl::make_unexpected(std::string("the cost is negative"));
    return answer;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

}  // namespace shuntbank
