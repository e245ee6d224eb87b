/// @file
/// Derives the identity of a request from its content.
#pragma once

#include "core/relay/request_identity.hpp"
#include "net/http_message.hpp"

namespace shuntbank::relay {

/// @param tenant of the caller; empty where there are no tenants.
/// @return the identity of the request and the hash of the caller's address.
CallerRequest identity_of(const HttpRequest& request, std::string_view tenant);

}  // namespace shuntbank::relay
