/// @file
/// Framed messages over TCP between nodes: four bytes of length in network order, then the text.
/// Each call opens a connection, sends one frame and reads one frame.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "common/time.hpp"

namespace shuntbank {

/// Answers frames.
class FrameServer {
 public:
  /// Hands back the reply; empty text closes the connection without one.
  using Handler = std::function<void(std::string frame, std::function<void(std::string)> reply)>;

  /// Listens at once. @throw std::system_error when the address cannot be had.
  /// @param max_frame largest frame that is read, in bytes.
  FrameServer(asio::io_context& loop, const asio::ip::tcp::endpoint& listen, std::size_t max_frame,
              Handler handler);
  ~FrameServer();
  FrameServer(const FrameServer&) = delete;
  FrameServer& operator=(const FrameServer&) = delete;

  asio::ip::tcp::endpoint local_endpoint() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// Sends one frame and reads one frame.
/// @param timeout until the answer begins; from there on only silence ends it.
/// @param handler called once on the loop with the reply or what went wrong.
void call_frame(asio::io_context& loop, const asio::ip::tcp::endpoint& peer, std::string frame,
                std::size_t max_frame, Duration timeout,
                std::function<void(tl::expected<std::string, std::string>)> handler);

}  // namespace shuntbank
