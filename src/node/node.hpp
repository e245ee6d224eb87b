/// @file
/// A complete node: wires the services together. I/O is injected, by `node_server.hpp` or by the
/// simulation.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "common/identifiers.hpp"
#include "common/runtime.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/peer_transport.hpp"
#include "node/settings.hpp"

namespace shuntbank {

/// I/O interfaces of a node. They must outlive it.
struct NodeIo {
  Runtime& runtime;
  HttpClient& http;
  PeerTransport& peers;
};

/// A cluster node. Not thread-safe: everything runs on one thread.
class Node {
 public:
  /// @param settings must outlive the node.
  /// @param on_left called once after shutdown, whether a signal or an operator started it.
  Node(const NodeIo& io, const NodeSettings& settings, std::function<void()> on_left);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Handles a request of a caller.
  void handle_caller(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);

  /// Handles a request of an operator.
  void handle_operator(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);

  /// @return the revision of the active configuration.
  Revision revision() const;

  /// @return the number of members that this node considers usable, itself included.
  std::size_t usable_members() const;

  /// Sets the handler that stops accepting callers' connections late in the shutdown.
  void on_close_callers(std::function<void()> handler);

  /// Shuts down gracefully: notifies peers, gives up duties, finishes open requests, then calls
  /// `on_left`. Further calls have no effect.
  void leave();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shuntbank
