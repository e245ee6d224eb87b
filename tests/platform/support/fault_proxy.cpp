#include "platform/support/fault_proxy.hpp"

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <set>
#include <utility>

#include "net/address.hpp"

namespace shuntbank::testing {
namespace {

using Tcp = asio::ip::tcp;
using namespace std::chrono_literals;

/// How often a pump that holds bytes back looks whether it may go on.
constexpr std::chrono::milliseconds kLook{20};

/// Closes with a reset instead of an orderly end.
void reset(Tcp::socket& socket) {
  std::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

class FaultProxy::Impl : public std::enable_shared_from_this<FaultProxy::Impl> {
 public:
  /// One connection: two pumps. Keeps itself alive while one of them runs.
  class Link : public std::enable_shared_from_this<Link> {
   public:
    Link(std::shared_ptr<Impl> proxy, Tcp::socket accepted)
        : owner(std::move(proxy)), near(std::move(accepted)), far(this->owner->loop) {}

    void start() {
      auto self = this->shared_from_this();
      this->far.async_connect(this->owner->target, [self](const std::error_code& error) {
        if (error) return self->abort();
        self->pump(self->near, self->far, self->up, true);
        self->pump(self->far, self->near, self->down, false);
      });
    }

    void abort() {
      reset(this->near);
      reset(this->far);
      this->owner->links.erase(this->shared_from_this());
    }

   private:
    /// Bytes of one direction.
    struct Direction {
      std::array<char, 16384> bytes{};
      std::size_t size = 0;
      std::unique_ptr<asio::steady_timer> timer;
    };

    void pump(Tcp::socket& from, Tcp::socket& to, Direction& direction, bool upward) {
      auto self = this->shared_from_this();
      from.async_read_some(
          asio::buffer(direction.bytes),
          [self, &from, &to, &direction, upward](const std::error_code& error, std::size_t size) {
            if (error == asio::error::eof) return self->end(to);
            if (error) return self->abort();
            direction.size = size;
            const auto carried = upward ? 0ms : self->owner->time_on_link(size);
            self->hold(from, to, direction, upward, self->owner->state.delay + carried);
          });
    }

    /// Passes an orderly end on. The other direction may still have bytes.
    void end(Tcp::socket& to) {
      std::error_code ignored;
      to.shutdown(Tcp::socket::shutdown_send, ignored);
      if (std::exchange(this->half_closed, true)) this->abort();
    }

    void hold(Tcp::socket& from, Tcp::socket& to, Direction& direction, bool upward,
              std::chrono::milliseconds wait) {
      const LinkState& state = this->owner->state;
      const bool silent = upward ? state.silent_up : state.silent_down;
      if (!silent && wait.count() == 0) return this->pass(from, to, direction, upward);
      direction.timer =
          std::make_unique<asio::steady_timer>(this->owner->loop, wait.count() > 0 ? wait : kLook);
      auto self = this->shared_from_this();
      direction.timer->async_wait(
          [self, &from, &to, &direction, upward](const std::error_code& error) {
            if (!error) self->hold(from, to, direction, upward, std::chrono::milliseconds(0));
          });
    }

    void pass(Tcp::socket& from, Tcp::socket& to, Direction& direction, bool upward) {
      auto self = this->shared_from_this();
      asio::async_write(
          to, asio::buffer(direction.bytes.data(), direction.size),
          [self, &from, &to, &direction, upward](const std::error_code& error, std::size_t) {
            if (error) return self->abort();
            self->pump(from, to, direction, upward);
          });
    }

    std::shared_ptr<Impl> owner;
    Tcp::socket near;
    Tcp::socket far;
    Direction up;
    Direction down;
    bool half_closed = false;
  };

  Impl(asio::io_context& own_loop, Tcp::endpoint to)
      : loop(own_loop),
        target(std::move(to)),
        acceptor(own_loop, {asio::ip::make_address("127.0.0.1"), 0}) {}

  void accept() {
    auto self = this->shared_from_this();
    this->acceptor.async_accept([self](const std::error_code& error, Tcp::socket socket) {
      if (error) return;
      if (self->state.refusing) {
        reset(socket);
      } else {
        const auto link = std::make_shared<Link>(self, std::move(socket));
        self->links.insert(link);
        link->start();
      }
      self->accept();
    });
  }

  /// @return when the link will have carried so many bytes, after all that it has taken before.
  std::chrono::milliseconds time_on_link(std::size_t bytes) {
    if (this->rate_down == 0) return 0ms;
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::microseconds taken(1'000'000 * bytes / this->rate_down);
    this->free_at = std::max(now, this->free_at) + taken;
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->free_at - now);
  }

  asio::io_context& loop;
  Tcp::endpoint target;
  Tcp::acceptor acceptor;
  std::size_t rate_down = 0;  ///< Bytes a second.
  std::chrono::steady_clock::time_point free_at{};
  LinkState state;
  std::set<std::shared_ptr<Link>> links;
};

FaultProxy::FaultProxy(asio::io_context& loop, Tcp::endpoint target)
    : impl(std::make_shared<Impl>(loop, std::move(target))) {
  this->impl->accept();
}

FaultProxy::~FaultProxy() {
  std::error_code ignored;
  this->impl->acceptor.close(ignored);
  this->reset_all();
}

std::string FaultProxy::address() const {
  return format_endpoint(this->impl->acceptor.local_endpoint());
}

void FaultProxy::set(const LinkState& state) {
  this->impl->state = state;
}

void FaultProxy::set_rate_down(std::size_t bytes_per_second) {
  this->impl->rate_down = bytes_per_second;
}

void FaultProxy::reset_all() {
  const auto open = this->impl->links;
  for (const auto& link : open) link->abort();
}

void FaultProxy::set_target(const Tcp::endpoint& target) {
  this->impl->target = target;
}

}  // namespace shuntbank::testing
