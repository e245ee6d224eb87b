/// @file
/// Relays connections of other nodes to targets that only this node can reach.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "common/time.hpp"
#include "net/tunnel_protocol.hpp"

namespace shuntbank {

struct TunnelServerSettings {
  /// Each tunnel uses two descriptors.
  std::size_t max_tunnels = 512;
  /// Time for the opening message, and then for the connection to the target.
  Duration open_timeout = std::chrono::milliseconds(300);
  /// How long sent bytes may stay unacknowledged before a connection is closed.
  Duration peer_timeout = std::chrono::milliseconds(2500);
};

/// Counters since the start of the server.
struct TunnelServerStats {
  std::uint64_t opened = 0;
  std::uint64_t rejected = 0;
  std::size_t open = 0;  ///< Now.
};

/// Serves tunnels over accepted connections. Runs on the loop's thread.
class TunnelServer {
 public:
  /// Returns the address of a target, or why no tunnel to it is opened for the node at `client_ip`.
  using Resolver = std::function<tl::expected<std::string, TunnelStatus>(
      const std::string& target, const std::string& client_ip)>;

  /// Called when a target could not be connected to. Passes the status to answer to `reply`.
  using FailureHandler = std::function<void(const std::string& target, bool refused,
                                            std::function<void(TunnelStatus)> reply)>;

  TunnelServer(asio::io_context& loop, const TunnelServerSettings& settings, Resolver resolver,
               FailureHandler on_failure);
  ~TunnelServer();
  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;

  /// Serves a connection whose preface has been read.
  void serve(asio::ip::tcp::socket socket);

  /// Opens no more tunnels and asks the clients to finish with the open ones.
  void drain();

  const TunnelServerStats& stats() const;

 private:
  class Impl;
  class Tunnel;
  std::shared_ptr<Impl> impl;
};

}  // namespace shuntbank
