/// @file
/// HTTP API for operators to list and release quarantined requests.
#pragma once

#include <string_view>

#include "net/http_message.hpp"
#include "relay/quarantine.hpp"

namespace shuntbank::relay {

/// @return whether a path on the operators' address belongs to this API.
bool is_quarantine_path(std::string_view path);

/// `GET /quarantine` lists quarantined requests as JSON. `DELETE /quarantine/IDENTITY` releases one
/// on all nodes, with 404 if it is not quarantined.
HttpReply answer_quarantine(const HttpRequest& request, Quarantine& quarantine);

}  // namespace shuntbank::relay
