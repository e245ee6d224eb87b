#include "protocol/permit_message.hpp"

#include <nlohmann/json.hpp>

#include "common/json_parsing.hpp"
#include "protocol/limit_codec.hpp"
#include "protocol/marked_message.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;

/// First byte of a message, which identifies its type.
constexpr char kCallMark = 'P';
constexpr char kAnswerMark = 'Q';

/// Unknown verdicts of later versions grant nothing.
PermitVerdict verdict_from_number(int value) {
  if (value == static_cast<int>(PermitVerdict::kGranted)) return PermitVerdict::kGranted;
  if (value == static_cast<int>(PermitVerdict::kWaitExceeded)) return PermitVerdict::kWaitExceeded;
  return PermitVerdict::kNotOwner;
}

}  // namespace

std::string encode(const PermitCall& call) {
  json document = {call.node.value(),   call.boot,         call.number,
                   call.engine.value(), call.wants_permit, call.earliest_send_ms,
                   call.max_wait_ms};
  append_limit(document, call.limit);
  return encode_marked(kCallMark, document);
}

std::string encode(const PermitAnswer& answer) {
  json document = {answer.node.value(),
                   answer.boot,
                   answer.number,
                   answer.engine.value(),
                   static_cast<int>(answer.verdict),
                   answer.send_in_ms,
                   answer.next_permit_in_ms};
  append_limit(document, answer.limit);
  return encode_marked(kAnswerMark, document);
}

bool is_permit_call(std::string_view bytes) {
  return has_mark(bytes, kCallMark);
}

bool is_permit_answer(std::string_view bytes) {
  return has_mark(bytes, kAnswerMark);
}

tl::expected<PermitCall, std::string> decode_permit_call(std::string_view bytes) {
  try {
    const json document = decode_marked(bytes);
    PermitCall call;
    call.node = NodeId(document.at(0).get<std::string>());
    call.boot = to_integer<std::uint64_t>(document.at(1));
    call.number = to_integer<std::uint64_t>(document.at(2));
    call.engine = EngineId(document.at(3).get<std::string>());
    call.wants_permit = document.at(4).get<bool>();
    call.earliest_send_ms = to_integer<std::uint32_t>(document.at(5));
    call.max_wait_ms = to_integer<std::uint32_t>(document.at(6));
    call.limit = limit_at(document, 7);
    return call;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

tl::expected<PermitAnswer, std::string> decode_permit_answer(std::string_view bytes) {
  try {
    const json document = decode_marked(bytes);
    PermitAnswer answer;
    answer.node = NodeId(document.at(0).get<std::string>());
    answer.boot = to_integer<std::uint64_t>(document.at(1));
    answer.number = to_integer<std::uint64_t>(document.at(2));
    answer.engine = EngineId(document.at(3).get<std::string>());
    answer.verdict = verdict_from_number(to_integer<int>(document.at(4)));
    answer.send_in_ms = to_integer<std::uint32_t>(document.at(5));
    answer.next_permit_in_ms = to_integer<std::uint32_t>(document.at(6));
    answer.limit = limit_at(document, 7);
    return answer;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

}  // namespace shuntbank
