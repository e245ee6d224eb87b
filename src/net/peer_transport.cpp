#include "net/peer_transport.hpp"

#include <asio/post.hpp>
#include <utility>

#include "net/address.hpp"
#include "net/datagram_channel.hpp"
#include "net/frame_channel.hpp"

namespace shuntbank {
namespace {

asio::ip::udp::endpoint to_udp(const asio::ip::tcp::endpoint& endpoint) {
  return {endpoint.address(), endpoint.port()};
}

class SocketTransport : public PeerTransport {
 public:
  SocketTransport(asio::io_context& loop, const asio::ip::tcp::endpoint& listen,
                  std::size_t max_frame)
      : loop_(loop),
        max_frame_(max_frame),
        frames_(loop, listen, max_frame,
                [this](std::string frame, std::function<void(std::string)> reply) {
                  on_call_(std::move(frame), std::move(reply));
                }),
        datagrams_(loop, to_udp(frames_.local_endpoint()),
                   [this](std::string_view text, const asio::ip::udp::endpoint& sender) {
                     on_datagram_(text, format_endpoint({sender.address(), sender.port()}));
                   }) {}

  void set_handlers(DatagramHandler on_datagram, CallHandler on_call) override {
    on_datagram_ = std::move(on_datagram);
    on_call_ = std::move(on_call);
  }

  void set_tunnel_handler(const TunnelHandler& handler) override {
    frames_.set_tunnel_handler(handler);
  }

  void send(const std::string& address, std::string_view text) override {
    const auto endpoint = parse_endpoint(address);
    if (endpoint) datagrams_.send(to_udp(*endpoint), text);
  }

  void call(const std::string& address, std::string text, Duration timeout,
            AnswerHandler handler) override {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
      // Never before this returns, as callers arm their timers after it.
      return asio::post(loop_, [handler = std::move(handler), error = endpoint.error()] {
        handler(tl::make_unexpected(error));
      });
    }
    call_frame(loop_, *endpoint, std::move(text), max_frame_, timeout, std::move(handler));
  }

  std::string local_address() const override { return format_endpoint(frames_.local_endpoint()); }
  std::uint64_t bytes_sent() const override { return datagrams_.bytes_sent(); }
  std::uint64_t bytes_received() const override { return datagrams_.bytes_received(); }

 private:
  asio::io_context& loop_;
  std::size_t max_frame_;
  DatagramHandler on_datagram_ = [](std::string_view, const std::string&) {};
  CallHandler on_call_ = [](const std::string&, const auto& reply) { reply({}); };
  FrameServer frames_;
  DatagramChannel datagrams_;
};

}  // namespace

std::unique_ptr<PeerTransport> make_peer_transport(asio::io_context& loop,
                                                   const asio::ip::tcp::endpoint& listen,
                                                   std::size_t max_frame) {
  return std::make_unique<SocketTransport>(loop, listen, max_frame);
}

}  // namespace shuntbank
