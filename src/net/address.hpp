/// @file
/// Network addresses by IP number, as settings and declared objects give them.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace shuntbank {

/// Parses `IP:PORT`; IPv6 numbers stand in brackets. Names are refused: nothing is looked up.
/// @return the endpoint, or a message that says what is accepted.
tl::expected<asio::ip::tcp::endpoint, std::string> parse_endpoint(std::string_view text);

/// @return `endpoint` as `IP:PORT`.
std::string format_endpoint(const asio::ip::tcp::endpoint& endpoint);

}  // namespace shuntbank
