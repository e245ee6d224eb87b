/// @file
/// HTTP/1.1 towards callers for the relay: http_parser on an Asio loop. Unlike `HttpServer` it
/// answers bytes that are no HTTP, can end a reply as broken, sees a caller leave while a request
/// runs, and takes its bounds from the configuration in force.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "net/http_server.hpp"

namespace shuntbank {

/// What a caller may send and how long it may take. May change while the server runs.
struct CallerLimits {
  std::size_t max_header_bytes = 16UL << 10U;
  std::size_t max_body_bytes = 4UL << 20U;
  Duration header_timeout = std::chrono::seconds(3);  ///< From a request's first byte.
  Duration idle_timeout = std::chrono::seconds(15);   ///< Between requests, and within a body.
};

/// Bounds of the process, apart from the configuration.
struct Http1ServerSettings {
  asio::ip::tcp::endpoint listen;
  std::size_t max_connections = 2000;                 ///< More callers wait in the kernel's queue.
  std::size_t max_buffered_bytes = 48UL << 20U;       ///< Of all request bodies together.
  Duration write_timeout = std::chrono::seconds(20);  ///< For a caller who takes nothing.
  Duration linger_timeout = std::chrono::seconds(1);  ///< Reading on after a refusal.
};

/// Answers one request; may also end the reply as broken.
class ConnectionResponder : public HttpResponder {
 public:
  /// Closes the connection without the end of the reply, so that what was sent cannot be taken for
  /// a whole reply. The last call.
  virtual void abort() = 0;
};

using ConnectionHandler =
    std::function<void(HttpRequest request, std::shared_ptr<ConnectionResponder> responder)>;

/// Counts of what the server did by itself.
struct Http1ServerStats {
  std::uint64_t connections = 0;       ///< Accepted so far.
  std::uint64_t open_connections = 0;  ///< Now.
  std::uint64_t rejected = 0;          ///< Requests answered with a 4xx, or 503 for want of memory.
};

/// A listening address. Runs on the loop that it is given; starts no thread.
class Http1Server {
 public:
  /// Listens at once. @throw std::system_error when the address cannot be had.
  Http1Server(asio::io_context& loop, const Http1ServerSettings& settings,
              ConnectionHandler handler);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  /// @return the address with the port that the kernel chose.
  asio::ip::tcp::endpoint local_endpoint() const;

  /// Takes bounds for all requests that begin from now on.
  void set_limits(const CallerLimits& limits);

  /// From now on each answer ends its connection. Connections stay open until then.
  void disable_keep_alive();

  /// Stops listening and closes connections that rest; others close behind their answers.
  void drain();

  /// Closes the listening socket and all connections.
  void close();

  const Http1ServerStats& stats() const;

 private:
  class Impl;
  class Connection;
  class Responder;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shuntbank
