#include "net/address.hpp"

#include <charconv>
#include <sstream>

namespace shuntbank {
namespace {

tl::unexpected<std::string> invalid_address(std::string_view text) {
  return tl::make_unexpected("'" + std::string(text) +
                             "' is not an address of the form IP:PORT with an IP number");
}

}  // namespace

tl::expected<asio::ip::tcp::endpoint, std::string> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  // The library reads the host up to its first null byte.
  const bool whole = text.find('\0') == std::string_view::npos;
  if (colon == std::string_view::npos || !whole) return invalid_address(text);
  std::string_view host = text.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::error_code error;
  const asio::ip::address address = asio::ip::make_address(std::string(host), error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, port_error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error || port_error != std::errc{} || rest != end) return invalid_address(text);
  return asio::ip::tcp::endpoint(address, port);
}

std::string format_endpoint(const asio::ip::tcp::endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

}  // namespace shuntbank
