/// @file
/// HTTP messages, independent of the libraries that send and receive them.
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

/// Ordered header fields with case-insensitive names.
class HttpHeaders {
 public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> fields) : fields_(fields) {}

  /// Appends a field.
  void add(std::string name, std::string value);

  /// Removes all fields of that name.
  void remove(std::string_view name);

  /// @return the number of fields of that name.
  std::size_t count(std::string_view name) const;

  /// @return the value of the first field of that name, or an empty string.
  std::string_view get(std::string_view name) const;

  const std::vector<HttpHeader>& fields() const { return fields_; }

 private:
  std::vector<HttpHeader> fields_;
};

/// A complete request as received by a server.
struct HttpRequest {
  std::string method;
  std::string path;    ///< Without the query.
  std::string query;   ///< After the `?`.
  std::string target;  ///< Path and query exactly as sent.
  HttpHeaders headers;
  std::string body;
  std::string caller;  ///< Remote address without port; empty if unknown.

  /// @return the value of a query parameter, still percent-encoded, or an empty string.
  std::string query_value(std::string_view name) const;
};

/// A complete reply.
struct HttpReply {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/// @return the fields without the hop-by-hop ones (RFC 9110, 7.6.1) and without framing, which each
/// hop sets itself.
HttpHeaders without_hop_by_hop_fields(HttpHeaders headers);

/// Compares two names, ignoring ASCII case.
bool equal_ignoring_case(std::string_view left, std::string_view right);

}  // namespace shuntbank
