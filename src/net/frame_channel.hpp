/// @file
/// Length-prefixed messages over TCP between nodes: a four-byte length in network byte order, then
/// the payload. Each call opens a connection, sends one frame and reads one frame.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "common/time.hpp"

namespace shuntbank {

/// Accepts connections and answers one frame on each.
class FrameServer {
 public:
  /// Calls `reply` with the answer; an empty one closes the connection without an answer.
  using Handler = std::function<void(std::string frame, std::function<void(std::string)> reply)>;

  /// Listens immediately. @throw std::system_error if the address cannot be bound.
  /// @param max_frame largest accepted frame, in bytes.
  FrameServer(asio::io_context& loop, const asio::ip::tcp::endpoint& listen, std::size_t max_frame,
              Handler handler);
  ~FrameServer();
  FrameServer(const FrameServer&) = delete;
  FrameServer& operator=(const FrameServer&) = delete;

  /// Sets the handler that takes over connections which begin with `kTunnelPreface`.
  void set_tunnel_handler(std::function<void(asio::ip::tcp::socket)> handler);

  asio::ip::tcp::endpoint local_endpoint() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// Sends one frame and reads one frame.
/// @param timeout until the first byte of the answer; after it only the idle timeout applies.
/// @param handler called once on the loop with the reply or an error message.
void call_frame(asio::io_context& loop, const asio::ip::tcp::endpoint& peer, std::string frame,
                std::size_t max_frame, Duration timeout,
                std::function<void(tl::expected<std::string, std::string>)> handler);

}  // namespace shuntbank
