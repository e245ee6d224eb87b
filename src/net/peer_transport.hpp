/// @file
/// Messages between nodes: unreliable datagrams, and calls with an answer.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "common/time.hpp"

namespace shuntbank {

/// Sends messages to other nodes and receives theirs.
class PeerTransport {
 public:
  using DatagramHandler = std::function<void(std::string_view text, const std::string& sender)>;
  using CallHandler = std::function<void(std::string text, std::function<void(std::string)> reply)>;
  using TunnelHandler = std::function<void(asio::ip::tcp::socket)>;
  using AnswerHandler = std::function<void(tl::expected<std::string, std::string>)>;

  PeerTransport() = default;
  virtual ~PeerTransport() = default;
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Sets the handlers of incoming messages. Called once, before any message arrives.
  virtual void set_handlers(DatagramHandler on_datagram, CallHandler on_call) = 0;

  /// Sets the handler of tunnels that other nodes open. Without it, tunnels are rejected.
  virtual void set_tunnel_handler(const TunnelHandler& /*handler*/) {}

  /// Sends a small message; it may be lost, duplicated or delayed.
  virtual void send(const std::string& address, std::string_view text) = 0;

  /// Sends a message and passes its answer or an error message to `handler`. The answer must begin
  /// within `timeout`; after that only an idle timeout applies. `handler` never runs before this
  /// returns.
  virtual void call(const std::string& address, std::string text, Duration timeout,
                    AnswerHandler handler) = 0;

  /// @return the address at which other nodes reach this one, as `IP:PORT`.
  virtual std::string local_address() const = 0;

  /// @return payload bytes of datagrams sent and received so far.
  virtual std::uint64_t bytes_sent() const = 0;
  virtual std::uint64_t bytes_received() const = 0;
};

/// Creates the socket transport: UDP for small messages and framed TCP for calls, on the same port.
/// @throw std::system_error if the address cannot be bound.
std::unique_ptr<PeerTransport> make_peer_transport(asio::io_context& loop,
                                                   const asio::ip::tcp::endpoint& listen,
                                                   std::size_t max_frame);

}  // namespace shuntbank
