/// @file
/// Usage messages between nodes: the node that reports usage polls all others, which answer with
/// their counts. Datagrams in MessagePack, identified by their first byte.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "core/usage/usage_ledger.hpp"

namespace shuntbank {

/// Poll by the node that reports usage, with true time if that node knows it.
struct UsageCall {
  NodeId reporter;
  std::uint64_t boot = 0;                  ///< Of the reporter's process.
  std::optional<usage::UnixMs> true_time;  ///< Send time by the median of the nodes' clocks.

  bool operator==(const UsageCall&) const = default;
};

std::string encode(const UsageCall& call);

/// @return one window's counts in as many datagrams as they need. Sets `part` and `parts`.
std::vector<std::string> encode_parts(const usage::UsageCounts& whole);

bool is_usage_call(std::string_view bytes);
bool is_usage_counts(std::string_view bytes);

/// @return the message, or what is wrong with the bytes.
tl::expected<UsageCall, std::string> decode_usage_call(std::string_view bytes);
tl::expected<usage::UsageCounts, std::string> decode_usage_counts(std::string_view bytes);

}  // namespace shuntbank
