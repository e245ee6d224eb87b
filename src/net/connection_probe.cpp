#include "net/connection_probe.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <memory>
#include <utility>

#include "net/address.hpp"
#include "net/monotonic_timer.hpp"

namespace shuntbank {
namespace {

struct Probe {
  explicit Probe(asio::io_context& loop) : socket(loop), timer(loop) {}

  void finish(bool connected) {
    std::error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
    const auto done = std::exchange(this->handler, nullptr);
    if (done) done(connected);
  }

  asio::ip::tcp::socket socket;
  MonotonicTimer timer;
  ConnectionProbe::Handler handler;
};

}  // namespace

void SocketProbe::probe(const std::string& address, Duration timeout, Handler handler) {
  const auto endpoint = parse_endpoint(address);
  if (!endpoint) return asio::post(this->loop, [handler = std::move(handler)] { handler(false); });
  const auto probe = std::make_shared<Probe>(this->loop);
  probe->handler = std::move(handler);
  probe->timer.expires_after(timeout);
  probe->timer.async_wait([probe](const std::error_code& error) {
    if (!error) probe->finish(false);
  });
  probe->socket.async_connect(*endpoint,
                              [probe](const std::error_code& error) { probe->finish(!error); });
}

}  // namespace shuntbank
