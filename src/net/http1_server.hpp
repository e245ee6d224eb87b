/// @file
/// HTTP/1.1 server of the relay for callers: http_parser on an Asio loop. Unlike `HttpServer` it
/// answers malformed requests, can abort a reply, detects a caller that disconnects while its
/// request runs, and has limits that can change at run time.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "net/http_server.hpp"

namespace shuntbank {

/// Limits on requests, which may change while the server runs.
struct CallerLimits {
  std::size_t max_header_bytes = 16UL << 10U;
  std::size_t max_body_bytes = 4UL << 20U;
  Duration header_timeout = std::chrono::seconds(3);  ///< Since a request's first byte.
  Duration idle_timeout = std::chrono::seconds(15);   ///< Between requests, and within a body.
};

/// Settings that are fixed when the server starts.
struct Http1ServerSettings {
  asio::ip::tcp::endpoint listen;
  /// A further one takes the place of the connection that has been idle between two requests for
  /// the longest time. Without such a connection it waits in the listen backlog.
  std::size_t max_connections = 2000;
  std::size_t max_buffered_bytes = 48UL << 20U;       ///< Total of all request bodies.
  Duration write_timeout = std::chrono::seconds(20);  ///< For a caller that does not read.
  Duration linger_timeout = std::chrono::seconds(1);  ///< Reads this long before closing.
};

/// Answers one request; can also abort the reply.
class ConnectionResponder : public HttpResponder {
 public:
  /// Closes the connection without the end of the reply, so that the caller can see that the reply
  /// is truncated. The last call.
  virtual void abort() = 0;
};

using ConnectionHandler =
    std::function<void(HttpRequest request, std::shared_ptr<ConnectionResponder> responder)>;

/// Counters and gauges of a server.
struct Http1ServerStats {
  std::uint64_t connections = 0;         ///< Accepted since the start.
  std::uint64_t open_connections = 0;    ///< Currently.
  std::uint64_t rejected = 0;            ///< Answered with a 4xx, or 503 at `max_buffered_bytes`.
  std::uint64_t unread_connections = 0;  ///< Currently open ones whose first request is awaited.
  std::uint64_t pending_requests = 0;    ///< Currently read and not fully answered.
  std::uint64_t requests = 0;            ///< Read since the start.
  std::uint64_t bytes_sent = 0;          ///< Since the start.
};

/// Listens on one address. Runs on the given loop; starts no thread.
class Http1Server {
 public:
  /// Starts listening. @throw std::system_error when the address cannot be bound.
  Http1Server(asio::io_context& loop, const Http1ServerSettings& settings,
              ConnectionHandler handler);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  /// @return the bound address, with the port that the kernel chose if it was 0.
  asio::ip::tcp::endpoint local_endpoint() const;

  /// Sets the limits for requests that start from now on.
  void set_limits(const CallerLimits& limits);

  /// Sets what decides whether a new connection is taken in. Others are closed unread.
  void set_gate(std::function<bool()> admit);

  /// Sets whether connections close after their next answer, so that their callers come elsewhere.
  void set_shedding(bool shedding);

  /// Closes each connection after its next answer. Idle connections stay open until then.
  void disable_keep_alive();

  /// Stops listening and closes idle connections; others close after their answers.
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
