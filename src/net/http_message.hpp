/// @file
/// HTTP messages as the rest of the system sees them, free of any library's types.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace shuntbank {

/// One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// Header fields in order; names compare without regard to case.
class HttpHeaders {
 public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> fields) : fields_(fields) {}

  /// Appends a field.
  void add(std::string name, std::string value);

  /// Removes every field of that name.
  void remove(std::string_view name);

  /// @return how many fields have that name.
  std::size_t count(std::string_view name) const;

  /// @return the value of the first field of that name, or empty text.
  std::string_view get(std::string_view name) const;

  const std::vector<HttpHeader>& fields() const { return fields_; }

 private:
  std::vector<HttpHeader> fields_;
};

/// A request as a server receives it, whole.
struct HttpRequest {
  std::string method;
  std::string path;    ///< Without the query.
  std::string query;   ///< Behind `?`.
  std::string target;  ///< Path and query as they were sent, byte for byte.
  HttpHeaders headers;
  std::string body;
  std::string caller;  ///< Address of the other end, without its port; empty where it is not known.

  /// @return the value of a query parameter as sent, or empty text.
  std::string query_value(std::string_view name) const;
};

/// A whole reply.
struct HttpReply {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/// @return the fields without those that concern one connection only (RFC 9110, 7.6.1) and without
/// framing, which each hop sets itself.
HttpHeaders without_hop_by_hop_fields(HttpHeaders headers);

/// @return whether two names are equal without regard to ASCII case.
bool equal_ignoring_case(std::string_view left, std::string_view right);

}  // namespace shuntbank
