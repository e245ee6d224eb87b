#include "net/dead_peer.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>

namespace shuntbank {

void detect_dead_peer(asio::ip::tcp::socket& socket, Duration bound) {
  const auto milliseconds =
      static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(bound).count());
  const int socket_fd = socket.native_handle();
  const int on = 1;
  const int interval = 1;  // Seconds; the kernel's minimum.
  const int probes = std::max(1, milliseconds / 1000);
  setsockopt(socket_fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket_fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof(interval));
  setsockopt(socket_fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
  setsockopt(socket_fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  setsockopt(socket_fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

}  // namespace shuntbank
