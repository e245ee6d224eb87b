#include "net/datagram_channel.hpp"

#include <asio/buffer.hpp>
#include <utility>

namespace shuntbank {

DatagramChannel::DatagramChannel(asio::io_context& loop, const asio::ip::udp::endpoint& listen,
                                 Handler handler)
    : socket_(loop, listen), handler_(std::move(handler)) {
  socket_.non_blocking(true);
  receive();
}

void DatagramChannel::send(const asio::ip::udp::endpoint& target, std::string_view text) {
  std::error_code ignored;
  bytes_sent_ += socket_.send_to(asio::buffer(text.data(), text.size()), target, 0, ignored);
}

void DatagramChannel::receive() {
  socket_.async_receive_from(asio::buffer(buffer_), sender_,
                             [this](const std::error_code& error, std::size_t size) {
                               if (error == asio::error::operation_aborted) return;
                               if (!error) {
                                 bytes_received_ += size;
                                 handler_(std::string_view(buffer_.data(), size), sender_);
                               }
                               receive();
                             });
}

}  // namespace shuntbank
