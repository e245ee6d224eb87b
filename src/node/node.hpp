/// @file
/// A whole node: wires the services together and runs them on one loop.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "node/settings.hpp"

namespace shuntbank {

/// One node. All of it runs on the thread of its loop.
class Node {
 public:
  /// Listens at once. @throw std::system_error when an address cannot be had.
  /// @pre `settings` were accepted by `check_node_settings`, and outlive the node.
  /// @param on_left called once the node has left, by a signal or an operator's word.
  Node(asio::io_context& loop, const NodeSettings& settings, std::function<void()> on_left);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Leaves in order: tells others, gives duties away, ends what it has, then calls `on_left`.
  /// A second call does not wait any longer.
  void leave();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Checks what the options alone cannot: that addresses are addresses.
Findings check_node_settings(const NodeSettings& settings);

}  // namespace shuntbank
