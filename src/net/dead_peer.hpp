/// @file
/// Detection of unreachable peers on idle or silent connections.
#pragma once

#include <asio/ip/tcp.hpp>

#include "common/time.hpp"

namespace shuntbank {

/// Makes the kernel close a connection whose peer has been unreachable for about `bound`.
void detect_dead_peer(asio::ip::tcp::socket& socket, Duration bound);

}  // namespace shuntbank
