/// @file
/// Checks whether connections to an address can be made.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <string>

#include "common/time.hpp"

namespace shuntbank {

class ConnectionProbe {
 public:
  using Handler = std::function<void(bool connected)>;

  ConnectionProbe() = default;
  virtual ~ConnectionProbe() = default;
  ConnectionProbe(const ConnectionProbe&) = delete;
  ConnectionProbe& operator=(const ConnectionProbe&) = delete;

  /// Opens a connection to `IP:PORT` and closes it without sending anything.
  /// @param handler called once, never before this returns.
  virtual void probe(const std::string& address, Duration timeout, Handler handler) = 0;
};

/// Implementation with sockets.
class SocketProbe : public ConnectionProbe {
 public:
  explicit SocketProbe(asio::io_context& own_loop) : loop(own_loop) {}

  void probe(const std::string& address, Duration timeout, Handler handler) override;

 private:
  asio::io_context& loop;
};

}  // namespace shuntbank
