#include "protocol/stream_message.hpp"

#include <nlohmann/json.hpp>

#include "common/json_parsing.hpp"
#include "protocol/marked_message.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;
using relay::StreamOrigin;

/// First byte of a message, which identifies its type.
constexpr char kRecordMark = 'R';
constexpr char kCallMark = 'S';
constexpr char kAnswerMark = 'X';

/// Versions in one answer; a service with more has no sole version either way.
constexpr std::size_t kMaxVersions = 8;

}  // namespace

std::string encode(const StreamRecord& record) {
  return encode_marked(kRecordMark, {record.node.value(), record.key, record.origin.service.value(),
                                     record.origin.version});
}

std::string encode(const StreamCall& call) {
  return encode_marked(kCallMark,
                       {call.node.value(), call.boot, call.number, call.key, call.service.value()});
}

std::string encode(const StreamAnswer& answer) {
  json versions = json::array();
  for (const std::string& version : answer.recent.versions) {
    if (versions.size() < kMaxVersions) versions.push_back(version);
  }
  json origin;
  if (answer.origin) origin = {answer.origin->service.value(), answer.origin->version};
  return encode_marked(kAnswerMark, {answer.node.value(), answer.boot, answer.number, origin,
                                     versions, answer.recent.complete});
}

bool is_stream_record(std::string_view bytes) {
  return has_mark(bytes, kRecordMark);
}

bool is_stream_call(std::string_view bytes) {
  return has_mark(bytes, kCallMark);
}

bool is_stream_answer(std::string_view bytes) {
  return has_mark(bytes, kAnswerMark);
}

tl::expected<StreamRecord, std::string> decode_stream_record(std::string_view bytes) {
  try {
    const json document = decode_marked(bytes);
    StreamRecord record;
    record.node = NodeId(document.at(0).get<std::string>());
    record.key = to_integer<relay::StreamKey>(document.at(1));
    record.origin.service = ServiceName(document.at(2).get<std::string>());
    record.origin.version = document.at(3).get<std::string>();
    return record;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

tl::expected<StreamCall, std::string> decode_stream_call(std::string_view bytes) {
  try {
    const json document = decode_marked(bytes);
    StreamCall call;
    call.node = NodeId(document.at(0).get<std::string>());
    call.boot = to_integer<std::uint64_t>(document.at(1));
    call.number = to_integer<std::uint64_t>(document.at(2));
    call.key = to_integer<relay::StreamKey>(document.at(3));
    call.service = ServiceName(document.at(4).get<std::string>());
    return call;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

tl::expected<StreamAnswer, std::string> decode_stream_answer(std::string_view bytes) {
  try {
    const json document = decode_marked(bytes);
    StreamAnswer answer;
    answer.node = NodeId(document.at(0).get<std::string>());
    answer.boot = to_integer<std::uint64_t>(document.at(1));
    answer.number = to_integer<std::uint64_t>(document.at(2));
    const json& origin = document.at(3);
    if (!origin.is_null()) {
      answer.origin = StreamOrigin{ServiceName(origin.at(0).get<std::string>()),
                                   origin.at(1).get<std::string>()};
    }
    for (const json& version : document.at(4)) {
      answer.recent.versions.insert(version.get<std::string>());
    }
    answer.recent.complete = document.at(5).get<bool>();
    return answer;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

}  // namespace shuntbank
