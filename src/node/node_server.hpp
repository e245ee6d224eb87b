/// @file
/// A node on real sockets, as run by `shuntbankd`.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "common/findings.hpp"
#include "node/node.hpp"
#include "node/settings.hpp"

namespace shuntbank {

/// A node with its listeners, on one event loop.
class NodeServer {
 public:
  /// Starts listening. @throw std::system_error if an address cannot be bound.
  /// @pre `settings` passed `check_node_settings` and outlive the server.
  NodeServer(asio::io_context& loop, const NodeSettings& settings, std::function<void()> on_left);
  ~NodeServer();
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;

  /// Shuts down gracefully. See `Node::leave`.
  void leave();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Checks that the addresses are valid, which the option parser does not.
Findings check_node_settings(const NodeSettings& settings);

}  // namespace shuntbank
