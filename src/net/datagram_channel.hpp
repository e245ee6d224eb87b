/// @file
/// Small messages between nodes over UDP. They may be lost, duplicated or reordered.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace shuntbank {

/// Sends and receives datagrams on one socket.
class DatagramChannel {
 public:
  using Handler = std::function<void(std::string_view text, const asio::ip::udp::endpoint& sender)>;

  /// Binds immediately. @throw std::system_error if the address cannot be bound.
  DatagramChannel(asio::io_context& loop, const asio::ip::udp::endpoint& listen, Handler handler);

  /// Sends without blocking; a datagram that cannot be sent immediately is dropped.
  void send(const asio::ip::udp::endpoint& target, std::string_view text);

  asio::ip::udp::endpoint local_endpoint() const { return socket_.local_endpoint(); }

  /// @return UDP payload bytes sent and received so far.
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t bytes_received() const { return bytes_received_; }

 private:
  void receive();

  static constexpr std::size_t kBufferSize = 65536;

  asio::ip::udp::socket socket_;
  Handler handler_;
  std::array<char, kBufferSize> buffer_{};
  asio::ip::udp::endpoint sender_;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

}  // namespace shuntbank
