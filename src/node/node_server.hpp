/// @file
/// A node with real sockets: what `shuntbankd` runs.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "common/findings.hpp"
#include "node/node.hpp"
#include "node/settings.hpp"

namespace shuntbank {

/// A node and its listening addresses, on one loop.
class NodeServer {
 public:
  /// Listens at once. @throw std::system_error when an address cannot be had.
  /// @pre `settings` were accepted by `check_node_settings`, and outlive the server.
  NodeServer(asio::io_context& loop, const NodeSettings& settings, std::function<void()> on_left);
  ~NodeServer();
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;

  /// As `Node::leave`.
  void leave();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Checks what the options alone cannot: that addresses are addresses.
Findings check_node_settings(const NodeSettings& settings);

}  // namespace shuntbank
