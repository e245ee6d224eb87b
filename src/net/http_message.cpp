#include "net/http_message.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace shuntbank {
namespace {

constexpr std::string_view kHopByHopFields[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};

}  // namespace

bool equal_ignoring_case(std::string_view left, std::string_view right) {
  const auto same = [](unsigned char a, unsigned char b) {
    return std::tolower(a) == std::tolower(b);
  };
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), same);
}

void HttpHeaders::add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

void HttpHeaders::remove(std::string_view name) {
  std::erase_if(fields_,
                [&](const HttpHeader& field) { return equal_ignoring_case(field.name, name); });
}

std::size_t HttpHeaders::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields_.begin(), fields_.end(),
      [&](const HttpHeader& field) { return equal_ignoring_case(field.name, name); }));
}

std::string_view HttpHeaders::get(std::string_view name) const {
  for (const HttpHeader& field : fields_) {
    if (equal_ignoring_case(field.name, name)) return field.value;
  }
  return {};
}

std::string HttpRequest::query_value(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return std::string(pair.substr(equals + 1));
    }
  }
  return {};
}

HttpHeaders without_hop_by_hop_fields(HttpHeaders headers) {
  std::string named(headers.get("Connection"));
  while (!named.empty()) {
    const std::size_t comma = std::min(named.find(','), named.size());
    std::string name = named.substr(0, comma);
    named.erase(0, comma + 1);
    std::erase_if(name, [](char c) { return c == ' ' || c == '\t'; });
    if (!name.empty()) headers.remove(name);
  }
  for (const std::string_view name : kHopByHopFields) headers.remove(name);
  return headers;
}

}  // namespace shuntbank
