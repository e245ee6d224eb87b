/// @file
/// One HTTP call for command line tools: runs a loop of its own until the reply is there.
#pragma once

#include <tl/expected.hpp>

#include "net/http_client.hpp"

namespace shuntbank {

/// Sends a request and waits for the whole reply.
tl::expected<HttpReply, TransferError> fetch_blocking(OutgoingRequest request);

}  // namespace shuntbank
