/// @file
/// Parsing and formatting of numeric IP addresses with a port.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace shuntbank {

/// Parses `IP:PORT`, with IPv6 addresses in brackets. Host names are rejected: there is no DNS
/// lookup. @return the endpoint, or an error message that names the accepted form.
tl::expected<asio::ip::tcp::endpoint, std::string> parse_endpoint(std::string_view text);

/// @return `endpoint` as `IP:PORT`.
std::string format_endpoint(const asio::ip::tcp::endpoint& endpoint);

}  // namespace shuntbank
