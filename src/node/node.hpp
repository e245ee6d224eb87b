/// @file
/// A whole node: wires the services together. It knows no sockets; `node_server.hpp` gives it some,
/// and the simulation gives it others.
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

/// What a node does its input and output with. All of it outlives the node.
struct NodeIo {
  Runtime& runtime;
  HttpClient& http;
  PeerTransport& peers;
};

/// One node. All of it runs on one thread.
class Node {
 public:
  /// @param settings outlive the node.
  /// @param on_left called once the node has left, by a signal or an operator's word.
  Node(const NodeIo& io, const NodeSettings& settings, std::function<void()> on_left);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Handles a request of a caller.
  void handle_caller(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);

  /// Handles a request of an operator.
  void handle_operator(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);

  /// @return the revision of the configuration that is in force here.
  Revision revision() const;

  /// @return how many members this node takes for usable, itself included.
  std::size_t usable_members() const;

  /// Sets what closes the callers' interface to new connections, late in leaving.
  void on_close_callers(std::function<void()> handler);

  /// Leaves in order: tells others, gives duties away, ends what it has, then calls `on_left`.
  /// Further calls change nothing.
  void leave();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shuntbank
