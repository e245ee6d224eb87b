/// @file
/// Derives the identity of a request from what its caller has sent.
#pragma once

#include "core/relay/request_identity.hpp"
#include "net/http_message.hpp"

namespace shuntbank::relay {

/// @param tenant whose request it is; empty where there are none.
/// @return the identity of a request, and the short name of the address that it comes from.
CallerRequest identity_of(const HttpRequest& request, std::string_view tenant);

}  // namespace shuntbank::relay
