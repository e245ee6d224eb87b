/// @file
/// HTTP server interface and its implementation with RESTinio on an Asio loop.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/time.hpp"
#include "net/http_message.hpp"

namespace shuntbank {

/// Listening address and limits of a server.
struct HttpServerSettings {
  asio::ip::tcp::endpoint listen;
  std::size_t max_connections = 4096;          ///< Further ones wait in the listen backlog.
  std::size_t max_body = 8UL << 20U;           ///< In bytes; a larger body closes the connection.
  std::size_t max_header_value = 16UL << 10U;  ///< In bytes; a longer field closes the connection.
  std::size_t max_header_count = 100;          ///< More fields close the connection.
  /// From the connect or the previous reply until the next request has been received completely.
  Duration idle_timeout = std::chrono::seconds(60);
  Duration write_timeout =
      std::chrono::seconds(30);  ///< Longest wait for a client that reads nothing.
};

/// Sends the reply to one request. Destroying it unanswered sends status 500.
/// Not thread safe: use it on the loop's thread only.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  /// Sends a complete reply. Must be the last call.
  virtual void respond(HttpReply reply) = 0;

  /// Sends the status line and header fields of a streamed reply.
  virtual void begin_stream(int status, const HttpHeaders& headers) = 0;

  /// Sends a piece of the body. Pieces written while another one is being sent are joined.
  virtual void write(std::string_view piece) = 0;

  /// @return written bytes that the kernel has not yet accepted.
  virtual std::size_t pending_bytes() const = 0;

  /// Sets the handler that is called whenever `pending_bytes` falls to zero.
  virtual void on_drained(std::function<void()> handler) = 0;

  /// Ends a streamed reply. Must be the last call.
  virtual void finish() = 0;

  /// Sets the handler that is called once if the client disconnects before the reply has ended.
  virtual void on_closed(std::function<void()> handler) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// HTTP server at one listening address. Runs on the given loop and starts no thread.
class HttpServer {
 public:
  /// Listens immediately. @throw std::system_error if the address cannot be bound.
  HttpServer(asio::io_context& loop, const HttpServerSettings& settings, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return the bound address, with the actual port if port 0 was requested.
  asio::ip::tcp::endpoint local_endpoint() const;

  /// Closes the listening socket and all connections.
  void close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shuntbank
