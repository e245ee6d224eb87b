#include "protocol/usage_message.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "protocol/marked_message.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;
using usage::TenantCounts;
using usage::UsageCounts;

constexpr char kCallMark = 'U';
constexpr char kToldMark = 'V';

/// Counts that one message holds: at 20 bytes each, a name of 16 among them, 1,200 bytes.
constexpr std::size_t kCountsAMessage = 60;

std::string encode_part(const UsageCounts& told, const json& counts, std::size_t part,
                        std::size_t parts) {
  return marked(kToldMark,
                {told.node.value(), told.boot, told.sequence, told.clock, told.counted_until,
                 told.counting_since, told.window, part, parts, counts});
}

}  // namespace

std::string encode(const UsageCall& call) {
  json document = {call.reporter.value(), call.boot};
  if (call.agreed) document.push_back(*call.agreed);
  return marked(kCallMark, document);
}

std::vector<std::string> encode_parts(const UsageCounts& told) {
  const std::size_t parts =
      std::max<std::size_t>(1, (told.counts.size() + kCountsAMessage - 1) / kCountsAMessage);
  std::vector<std::string> messages;
  json counts = json::array();
  for (const auto& [tenant, count] : told.counts) {
    counts.push_back(tenant.value());
    counts.push_back(count);
    if (counts.size() < 2 * kCountsAMessage) continue;
    messages.push_back(
        encode_part(told, std::exchange(counts, json::array()), messages.size(), parts));
  }
  if (messages.size() < parts) {
    messages.push_back(encode_part(told, counts, messages.size(), parts));
  }
  return messages;
}

bool is_usage_call(std::string_view bytes) {
  return begins_with(bytes, kCallMark);
}

bool is_told_usage(std::string_view bytes) {
  return begins_with(bytes, kToldMark);
}

tl::expected<UsageCall, std::string> decode_usage_call(std::string_view bytes) {
  try {
    const json document = from_marked(bytes);
    UsageCall call;
    call.reporter = NodeId(document.at(0).get<std::string>());
    call.boot = document.at(1).get<std::uint64_t>();
    if (document.size() > 2) call.agreed = document.at(2).get<usage::UnixMs>();
    return call;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

tl::expected<UsageCounts, std::string> decode_told_usage(std::string_view bytes) {
  try {
    const json document = from_marked(bytes);
    UsageCounts told;
    told.node = NodeId(document.at(0).get<std::string>());
    told.boot = document.at(1).get<std::uint64_t>();
    told.sequence = document.at(2).get<std::uint64_t>();
    told.clock = document.at(3).get<usage::UnixMs>();
    told.counted_until = document.at(4).get<usage::UnixMs>();
    told.counting_since = document.at(5).get<usage::UnixMs>();
    told.window = document.at(6).get<usage::WindowNumber>();
    told.part = document.at(7).get<std::uint32_t>();
    told.parts = document.at(8).get<std::uint32_t>();
    const json& counts = document.at(9);
    for (std::size_t i = 0; i + 1 < counts.size(); i += 2) {
      told.counts[TenantName(counts[i].get<std::string>())] = counts[i + 1].get<std::uint64_t>();
    }
    return told;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

}  // namespace shuntbank
