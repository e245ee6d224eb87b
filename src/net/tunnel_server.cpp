#include "net/tunnel_server.hpp"

#include <array>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <optional>
#include <set>
#include <utility>

#include "net/address.hpp"
#include "net/dead_peer.hpp"
#include "net/monotonic_timer.hpp"
#include "net/write_outcome.hpp"

namespace shuntbank {
namespace {

constexpr std::size_t kChunkSize = 16UL << 10U;

using Tcp = asio::ip::tcp;

}  // namespace

class TunnelServer::Impl : public std::enable_shared_from_this<TunnelServer::Impl> {
 public:
  Impl(asio::io_context& own_loop, const TunnelServerSettings& own_settings, Resolver own_resolver,
       FailureHandler own_failure_handler)
      : loop(own_loop),
        settings(own_settings),
        resolver(std::move(own_resolver)),
        failure_handler(std::move(own_failure_handler)) {}

  asio::io_context& loop;
  TunnelServerSettings settings;
  Resolver resolver;
  FailureHandler failure_handler;
  TunnelServerStats stats;
  std::set<std::shared_ptr<Tunnel>> tunnels;
  bool draining = false;
};

/// One tunnel. Registered with the server until it is closed.
class TunnelServer::Tunnel : public std::enable_shared_from_this<Tunnel> {
 public:
  Tunnel(std::shared_ptr<Impl> own_server, Tcp::socket accepted)
      : server(std::move(own_server)),
        client(std::move(accepted)),
        target(this->server->loop),
        timer(this->server->loop) {}

  void start() {
    this->arm_timer([self = this->shared_from_this()] { self->close(); });
    asio::async_read(this->client, asio::buffer(this->name_length),
                     [self = this->shared_from_this()](const std::error_code& error, std::size_t) {
                       if (error || self->closed) return self->close();
                       self->read_name();
                     });
  }

  void close() {
    if (std::exchange(this->closed, true)) return;
    std::error_code ignored;
    this->timer.cancel();
    this->client.close(ignored);
    this->target.close(ignored);
    this->server->tunnels.erase(this->shared_from_this());
    this->server->stats.open = this->server->tunnels.size();
  }

  void announce_closing() {
    this->closing_announced = true;
    if (this->open && !this->writing_down) this->write_closing();
  }

 private:
  void arm_timer(std::function<void()> on_timeout) {
    this->timer.expires_after(this->server->settings.open_timeout);
    this->timer.async_wait([weak = this->weak_from_this(),
                            on_timeout = std::move(on_timeout)](const std::error_code& error) {
      if (!error && weak.lock()) on_timeout();
    });
  }

  void read_name() {
    this->name.resize(this->name_length[0]);
    asio::async_read(this->client, asio::buffer(this->name),
                     [self = this->shared_from_this()](const std::error_code& error, std::size_t) {
                       if (error || self->closed) return self->close();
                       self->connect();
                     });
  }

  void connect() {
    std::error_code failure;
    const Tcp::endpoint remote = this->client.remote_endpoint(failure);
    if (failure) return this->close();
    Impl& owner = *this->server;
    if (owner.draining || owner.tunnels.size() > owner.settings.max_tunnels) {
      return this->reject(TunnelStatus::kUnavailable);
    }
    const auto address = owner.resolver(this->name, remote.address().to_string());
    if (!address) return this->reject(address.error());
    const auto endpoint = parse_endpoint(*address);
    if (!endpoint) return this->reject(TunnelStatus::kTargetUnknown);
    this->arm_timer([self = this->shared_from_this()] { self->on_connect_failed(false); });
    this->target.async_connect(
        *endpoint, [self = this->shared_from_this()](const std::error_code& error) {
          if (self->closed || self->connect_failed) return;
          if (error) return self->on_connect_failed(error == asio::error::connection_refused);
          self->on_connected();
        });
  }

  void on_connect_failed(bool refused) {
    if (this->closed || std::exchange(this->connect_failed, true)) return;
    this->timer.cancel();
    this->server->failure_handler(this->name, refused,
                                  [self = this->shared_from_this()](TunnelStatus status) {
                                    if (!self->closed) self->reject(status);
                                  });
  }

  void reject(TunnelStatus status) {
    ++this->server->stats.rejected;
    this->status_byte[0] = static_cast<unsigned char>(status);
    asio::async_write(
        this->client, asio::buffer(this->status_byte),
        [self = this->shared_from_this()](const std::error_code&, std::size_t) { self->close(); });
  }

  void on_connected() {
    this->timer.cancel();
    ++this->server->stats.opened;
    std::error_code ignored;
    for (Tcp::socket* socket : {&this->client, &this->target}) {
      socket->set_option(Tcp::no_delay(true), ignored);
      detect_dead_peer(*socket, this->server->settings.peer_timeout);
    }
    this->status_byte[0] = static_cast<unsigned char>(TunnelStatus::kOpen);
    asio::async_write(this->client, asio::buffer(this->status_byte),
                      [self = this->shared_from_this()](const std::error_code& error, std::size_t) {
                        if (error || self->closed) return self->close();
                        self->open = true;
                        self->read_client();
                        self->read_target();
                      });
  }

  void read_client() {
    this->client.async_read_some(
        asio::buffer(this->up),
        [self = this->shared_from_this()](const std::error_code& error, std::size_t size) {
          if (error || self->closed) return self->close();
          self->write_target(size);
        });
  }

  void write_target(std::size_t size) {
    this->target_write = WriteOutcome::kPending;
    asio::async_write(this->target, asio::buffer(this->up.data(), size),
                      [self = this->shared_from_this()](const std::error_code& error, std::size_t) {
                        self->target_write = write_outcome(error);
                        // After a failed write, bytes of the target may still be read.
                        if (!error && !self->closed) self->read_client();
                      });
  }

  void read_target() {
    this->target.async_read_some(
        asio::buffer(this->down),
        [self = this->shared_from_this()](const std::error_code& error, std::size_t size) {
          if (self->closed) return;
          if (!error) return self->write_frame(static_cast<std::uint32_t>(size));
          if (error != asio::error::eof) return self->close();
          // A write to the target may have failed, and its handler be queued.
          asio::post(self->server->loop, [self] { self->on_target_ended(); });
        });
  }

  /// Passes the end on, if the target has ended its side in order.
  void on_target_ended() {
    if (this->closed) return;
    if (this->target_write == WriteOutcome::kBroken) return this->close();
    this->write_frame(kTunnelEnd);
  }

  void write_frame(std::uint32_t length) {
    if (this->writing_down) {
      this->waiting_frame = length;
      return;
    }
    this->frame_header = encode_tunnel_frame_header(length);
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(this->frame_header),
                                                    asio::buffer(this->down.data(), length)};
    this->writing_down = true;
    asio::async_write(
        this->client, buffers,
        [self = this->shared_from_this(), length](const std::error_code& error, std::size_t) {
          self->writing_down = false;
          if (error || self->closed || length == kTunnelEnd) return self->close();
          if (self->closing_announced) self->write_closing();
          self->read_target();
        });
  }

  /// Written between two frames, once.
  void write_closing() {
    if (std::exchange(this->closing_written, true)) return;
    this->closing_header = encode_tunnel_frame_header(kTunnelClosing);
    this->writing_down = true;
    asio::async_write(this->client, asio::buffer(this->closing_header),
                      [self = this->shared_from_this()](const std::error_code& error, std::size_t) {
                        self->writing_down = false;
                        if (error || self->closed) return self->close();
                        const auto frame = std::exchange(self->waiting_frame, std::nullopt);
                        if (frame) self->write_frame(*frame);
                      });
  }

  std::shared_ptr<Impl> server;
  Tcp::socket client;
  Tcp::socket target;
  MonotonicTimer timer;
  std::array<unsigned char, 1> name_length{};
  std::array<unsigned char, 1> status_byte{};
  std::string name;
  std::string frame_header;
  std::string closing_header;
  std::optional<std::uint32_t> waiting_frame;
  WriteOutcome target_write = WriteOutcome::kWritten;
  std::array<char, kChunkSize> up{};
  std::array<char, kChunkSize> down{};
  bool open = false;
  bool connect_failed = false;
  bool closed = false;
  bool writing_down = false;
  bool closing_announced = false;
  bool closing_written = false;
};

TunnelServer::TunnelServer(asio::io_context& loop, const TunnelServerSettings& settings,
                           Resolver resolver, FailureHandler on_failure)
    : impl(std::make_shared<Impl>(loop, settings, std::move(resolver), std::move(on_failure))) {}

TunnelServer::~TunnelServer() {
  const auto open = this->impl->tunnels;
  for (const auto& tunnel : open) tunnel->close();
}

void TunnelServer::serve(asio::ip::tcp::socket socket) {
  const auto tunnel = std::make_shared<Tunnel>(this->impl, std::move(socket));
  this->impl->tunnels.insert(tunnel);
  this->impl->stats.open = this->impl->tunnels.size();
  tunnel->start();
}

void TunnelServer::drain() {
  this->impl->draining = true;
  const auto open = this->impl->tunnels;
  for (const auto& tunnel : open) tunnel->announce_closing();
}

const TunnelServerStats& TunnelServer::stats() const {
  return this->impl->stats;
}

}  // namespace shuntbank
