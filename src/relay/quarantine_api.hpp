/// @file
/// What operators see of the quarantine, and how they let a request go.
#pragma once

#include <string_view>

#include "net/http_message.hpp"
#include "relay/quarantine.hpp"

namespace shuntbank::relay {

/// @return whether a call on the operators' address is for the quarantine.
bool is_quarantine_path(std::string_view path);

/// `GET /quarantine` lists what is held back, as JSON. `DELETE /quarantine/IDENTITY` lets one go,
/// at all nodes; 404 when it is not held back.
HttpReply answer_quarantine(const HttpRequest& request, Quarantine& quarantine);

}  // namespace shuntbank::relay
