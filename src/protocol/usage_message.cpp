#include "protocol/usage_message.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/json_parsing.hpp"
#include "protocol/marked_message.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;
using usage::TenantCounts;
using usage::UsageCounts;

/// First byte of a message, which identifies its type.
constexpr char kCallMark = 'U';
constexpr char kCountsMark = 'V';

/// Counts per message: 1,200 bytes at 20 bytes for a count and a name of 16.
constexpr std::size_t kCountsPerMessage = 60;

std::string encode_part(const UsageCounts& whole, const json& counts, std::size_t part,
                        std::size_t parts) {
  return encode_marked(
      kCountsMark, {whole.node.value(), whole.boot, whole.sequence, whole.clock,
                    whole.counted_until, whole.counting_since, whole.window, part, parts, counts});
}

}  // namespace

std::string encode(const UsageCall& call) {
  json document = {call.reporter.value(), call.boot};
  if (call.true_time) document.push_back(*call.true_time);
  return encode_marked(kCallMark, document);
}

std::vector<std::string> encode_parts(const UsageCounts& whole) {
  const std::size_t parts =
      std::max<std::size_t>(1, (whole.counts.size() + kCountsPerMessage - 1) / kCountsPerMessage);
  std::vector<std::string> messages;
  json counts = json::array();
  for (const auto& [tenant, count] : whole.counts) {
    counts.push_back(tenant.value());
    counts.push_back(count);
    if (counts.size() < 2 * kCountsPerMessage) continue;
    messages.push_back(
        encode_part(whole, std::exchange(counts, json::array()), messages.size(), parts));
  }
  if (messages.size() < parts) {
    messages.push_back(encode_part(whole, counts, messages.size(), parts));
  }
  return messages;
}

bool is_usage_call(std::string_view bytes) {
  return has_mark(bytes, kCallMark);
}

bool is_usage_counts(std::string_view bytes) {
  return has_mark(bytes, kCountsMark);
}

tl::expected<UsageCall, std::string> decode_usage_call(std::string_view bytes) {
  try {
    const json document = decode_marked(bytes);
    UsageCall call;
    call.reporter = NodeId(document.at(0).get<std::string>());
    call.boot = to_integer<std::uint64_t>(document.at(1));
    if (document.size() > 2) call.true_time = to_integer<usage::UnixMs>(document.at(2));
    return call;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

tl::expected<UsageCounts, std::string> decode_usage_counts(std::string_view bytes) {
  try {
    const json document = decode_marked(bytes);
    UsageCounts message;
    message.node = NodeId(document.at(0).get<std::string>());
    message.boot = to_integer<std::uint64_t>(document.at(1));
    message.sequence = to_integer<std::uint64_t>(document.at(2));
    message.clock = to_integer<usage::UnixMs>(document.at(3));
    message.counted_until = to_integer<usage::UnixMs>(document.at(4));
    message.counting_since = to_integer<usage::UnixMs>(document.at(5));
    message.window = to_integer<usage::WindowNumber>(document.at(6));
    message.part = to_integer<std::uint32_t>(document.at(7));
    message.parts = to_integer<std::uint32_t>(document.at(8));
    const json& counts = document.at(9);
    for (std::size_t i = 0; i + 1 < counts.size(); i += 2) {
      message.counts[TenantName(counts[i].get<std::string>())] =
          to_integer<std::uint64_t>(counts[i + 1]);
    }
    return message;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

}  // namespace shuntbank
