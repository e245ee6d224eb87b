/// @file
/// Derives the identity of a request from what its caller has sent.
#pragma once

#include "core/relay/request_identity.hpp"
#include "net/http_message.hpp"

namespace shuntbank::relay {

/// @return the identity of a request. The caller is the address that it comes from and, where it
/// sends one, its credential.
RequestIdentity identity_of(const HttpRequest& request);

}  // namespace shuntbank::relay
