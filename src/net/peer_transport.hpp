/// @file
/// Messages between nodes as text: small ones that may be lost, and calls with an answer.
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

/// What one node sends to others and gets from them.
class PeerTransport {
 public:
  using DatagramHandler = std::function<void(std::string_view text, const std::string& sender)>;
  using CallHandler = std::function<void(std::string text, std::function<void(std::string)> reply)>;
  using AnswerHandler = std::function<void(tl::expected<std::string, std::string>)>;

  PeerTransport() = default;
  virtual ~PeerTransport() = default;
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Sets who is told of what arrives. Called once, before anything arrives.
  virtual void set_handlers(DatagramHandler on_datagram, CallHandler on_call) = 0;

  /// Sends a small message; it may be lost, doubled or late.
  virtual void send(const std::string& address, std::string_view text) = 0;

  /// Sends a message and hands back its answer, or what went wrong. The answer must begin within
  /// `timeout`; from there on only silence ends it.
  virtual void call(const std::string& address, std::string text, Duration timeout,
                    AnswerHandler handler) = 0;

  /// @return the address that others reach this node at, as `IP:PORT`.
  virtual std::string local_address() const = 0;

  /// @return bytes of small messages so far, without the headers below them.
  virtual std::uint64_t bytes_sent() const = 0;
  virtual std::uint64_t bytes_received() const = 0;
};

/// Makes the transport of real processes: UDP for small messages, framed TCP for calls, on one
/// port.
/// @throw std::system_error when the address cannot be had.
std::unique_ptr<PeerTransport> make_peer_transport(asio::io_context& loop,
                                                   const asio::ip::tcp::endpoint& listen,
                                                   std::size_t max_frame);

}  // namespace shuntbank
