/// @file
/// A TCP relay on the loopback that hurts what passes through it.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace shuntbank::testing {

/// What the relay does to the bytes.
struct LinkState {
  bool stalled_up = false;             ///< Bytes towards the target are held back.
  bool stalled_down = false;           ///< Bytes from the target are held back.
  bool refusing = false;               ///< New connections are reset.
  std::chrono::milliseconds delay{0};  ///< For each piece, in both directions.

  bool operator==(const LinkState&) const = default;
};

/// Passes connections on to one target.
class FaultProxy {
 public:
  FaultProxy(asio::io_context& loop, asio::ip::tcp::endpoint target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// @return where it listens, as IP:PORT.
  std::string address() const;

  void set(const LinkState& state);

  /// Bounds what all connections together get from the target; 0: no bound.
  void set_rate_down(std::size_t bytes_per_second);

  /// Resets all connections that are open.
  void reset_all();

  /// Later connections go to another target.
  void set_target(const asio::ip::tcp::endpoint& target);

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace shuntbank::testing
