/// @file
/// What nodes tell each other of usage: the node that reports it asks all others, and these answer
/// what they have counted. Datagrams in MessagePack, told apart from others by their first byte.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "core/usage/usage_ledger.hpp"

namespace shuntbank {

/// The node that reports usage asks for it, and tells true time where it knows it.
struct UsageCall {
  NodeId reporter;
  std::uint64_t boot = 0;               ///< Of the reporter's process.
  std::optional<usage::UnixMs> agreed;  ///< True time when the call was sent.

  bool operator==(const UsageCall&) const = default;
};

std::string encode(const UsageCall& call);

/// @return one window's counts in as many messages as they need, none larger than a datagram of the
/// usual links. `part` and `parts` are set here.
std::vector<std::string> encode_parts(const usage::UsageCounts& told);

bool is_usage_call(std::string_view bytes);
bool is_told_usage(std::string_view bytes);

/// @return the message, or what is wrong with the bytes.
tl::expected<UsageCall, std::string> decode_usage_call(std::string_view bytes);
tl::expected<usage::UsageCounts, std::string> decode_told_usage(std::string_view bytes);

}  // namespace shuntbank
