#include "net/frame_channel.hpp"

#include <algorithm>
#include <array>
#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <utility>
#include <vector>

#include "net/answer_silence.hpp"
#include "net/monotonic_timer.hpp"
#include "net/tunnel_protocol.hpp"

namespace shuntbank {
namespace {

constexpr std::size_t kHeaderSize = 4;
constexpr Duration kServerTimeout = std::chrono::seconds(30);

std::array<unsigned char, kHeaderSize> encode_length(std::size_t length) {
  return {static_cast<unsigned char>(length >> 24U), static_cast<unsigned char>(length >> 16U),
          static_cast<unsigned char>(length >> 8U), static_cast<unsigned char>(length)};
}

std::size_t decode_length(const std::array<unsigned char, kHeaderSize>& header) {
  std::size_t length = 0;
  for (const unsigned char byte : header) length = length << 8U | byte;
  return length;
}

/// Client or server side of a connection. Stays alive while an operation is pending.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  using ReadHandler = std::function<void(tl::expected<std::string, std::string>)>;

  FrameConnection(asio::ip::tcp::socket socket, std::size_t max_frame)
      : socket_(std::move(socket)), timer_(socket_.get_executor()), max_frame_(max_frame) {}

  asio::ip::tcp::socket& socket() { return socket_; }

  void restart_timeout(Duration timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const std::error_code& error) {
      if (!error) self->close();
    });
  }

  void close() {
    std::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

  /// Passes the connection on instead of reading a frame, if it begins with `kTunnelPreface`.
  void set_tunnel_handler(std::function<void(asio::ip::tcp::socket)> handler) {
    tunnel_handler_ = std::move(handler);
  }

  void read(ReadHandler handler) {
    asio::async_read(socket_, asio::buffer(header_),
                     [self = shared_from_this(), handler = std::move(handler)](
                         const std::error_code& error, std::size_t) mutable {
                       if (error) return handler(tl::make_unexpected(error.message()));
                       if (self->is_tunnel()) return self->hand_over();
                       self->read_body(std::move(handler));
                     });
  }

  void write(std::string frame, std::function<void(const std::error_code&)> handler) {
    outgoing_ = std::move(frame);
    outgoing_header_ = encode_length(outgoing_.size());
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(outgoing_header_),
                                                    asio::buffer(outgoing_)};
    asio::async_write(socket_, buffers,
                      [self = shared_from_this(), handler = std::move(handler)](
                          const std::error_code& error, std::size_t) { handler(error); });
  }

 private:
  bool is_tunnel() const {
    return tunnel_handler_ &&
           std::equal(header_.begin(), header_.end(), kTunnelPreface.begin(), kTunnelPreface.end());
  }

  void hand_over() {
    timer_.cancel();
    tunnel_handler_(std::move(socket_));
  }

  void read_body(ReadHandler handler) {
    const std::size_t length = decode_length(header_);
    if (length > max_frame_) return handler(tl::make_unexpected(std::string("frame too large")));
    incoming_.resize(length);
    asio::async_read(
        socket_, asio::buffer(incoming_),
        [self = shared_from_this()](const std::error_code& error, std::size_t received) {
          return self->bytes_remaining(error, received);
        },
        [self = shared_from_this(), handler = std::move(handler)](const std::error_code& error,
                                                                  std::size_t) {
          if (error) return handler(tl::make_unexpected(error.message()));
          handler(std::move(self->incoming_));
        });
  }

  /// Completion condition of the body read. Restarts the idle timeout whenever bytes arrive: a
  /// total timeout could make every attempt at a large frame on a slow link fail.
  std::size_t bytes_remaining(const std::error_code& error, std::size_t received) {
    if (error) return 0;
    restart_timeout(kAnswerIdleTimeout);
    return incoming_.size() - received;
  }

  asio::ip::tcp::socket socket_;
  MonotonicTimer timer_;
  std::size_t max_frame_;
  std::array<unsigned char, kHeaderSize> header_{};
  std::array<unsigned char, kHeaderSize> outgoing_header_{};
  std::string incoming_;
  std::string outgoing_;
  std::function<void(asio::ip::tcp::socket)> tunnel_handler_;
};

}  // namespace

class FrameServer::Impl : public std::enable_shared_from_this<FrameServer::Impl> {
 public:
  Impl(asio::io_context& loop, const asio::ip::tcp::endpoint& listen, std::size_t max_frame,
       Handler handler)
      : acceptor_(loop, listen), max_frame_(max_frame), handler_(std::move(handler)) {}

  void accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const std::error_code& error, asio::ip::tcp::socket socket) {
          if (self->closed_) return;
          if (!error) self->serve(std::move(socket));
          self->accept();
        });
  }

  void close() {
    closed_ = true;
    std::error_code ignored;
    acceptor_.close(ignored);
  }

  asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  void set_tunnel_handler(std::function<void(asio::ip::tcp::socket)> handler) {
    tunnel_handler_ = std::move(handler);
  }

 private:
  void serve(asio::ip::tcp::socket socket) {
    auto connection = std::make_shared<FrameConnection>(std::move(socket), max_frame_);
    connection->restart_timeout(kServerTimeout);
    connection->set_tunnel_handler(tunnel_handler_);
    connection->read([self = shared_from_this(), connection](auto frame) {
      if (!frame || self->closed_) return connection->close();
      self->handler_(std::move(*frame), [connection](const std::string& reply) {
        if (reply.empty()) return connection->close();
        connection->write(reply, [connection](const std::error_code&) { connection->close(); });
      });
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::size_t max_frame_;
  Handler handler_;
  std::function<void(asio::ip::tcp::socket)> tunnel_handler_;
  bool closed_ = false;
};

FrameServer::FrameServer(asio::io_context& loop, const asio::ip::tcp::endpoint& listen,
                         std::size_t max_frame, Handler handler)
    : impl_(std::make_shared<Impl>(loop, listen, max_frame, std::move(handler))) {
  impl_->accept();
}

FrameServer::~FrameServer() {
  impl_->close();
}

void FrameServer::set_tunnel_handler(std::function<void(asio::ip::tcp::socket)> handler) {
  impl_->set_tunnel_handler(std::move(handler));
}

asio::ip::tcp::endpoint FrameServer::local_endpoint() const {
  return impl_->local_endpoint();
}

void call_frame(asio::io_context& loop, const asio::ip::tcp::endpoint& peer, std::string frame,
                std::size_t max_frame, Duration timeout,
                std::function<void(tl::expected<std::string, std::string>)> handler) {
  auto connection = std::make_shared<FrameConnection>(asio::ip::tcp::socket(loop), max_frame);
  connection->restart_timeout(timeout);
  auto finish = [connection,
                 handler = std::move(handler)](tl::expected<std::string, std::string> result) {
    connection->close();
    handler(std::move(result));
  };
  connection->socket().async_connect(
      peer, [connection, frame = std::move(frame), finish](const std::error_code& error) mutable {
        if (error) return finish(tl::make_unexpected(error.message()));
        connection->write(std::move(frame), [connection, finish](const std::error_code& failure) {
          if (failure) return finish(tl::make_unexpected(failure.message()));
          connection->read(finish);
        });
      });
}

}  // namespace shuntbank
