/// @file
/// Blocking HTTP call for command line tools, on an event loop of its own.
#pragma once

#include <tl/expected.hpp>

#include "net/http_client.hpp"

namespace shuntbank {

/// Sends a request and blocks until the whole reply has arrived or the transfer has failed.
tl::expected<HttpReply, TransferError> fetch_blocking(OutgoingRequest request);

}  // namespace shuntbank
