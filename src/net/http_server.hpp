/// @file
/// HTTP towards callers and operators: RESTinio on an Asio loop behind a narrow interface.
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

/// Bounds of one listening address.
struct HttpServerSettings {
  asio::ip::tcp::endpoint listen;
  std::size_t max_connections = 4096;          ///< Further callers wait in the kernel's queue.
  std::size_t max_body = 8UL << 20U;           ///< Bytes; a larger body closes the connection.
  std::size_t max_header_value = 16UL << 10U;  ///< Bytes; a larger field closes the connection.
  std::size_t max_header_count = 100;          ///< Fields; more close the connection.
  Duration idle_timeout = std::chrono::seconds(60);  ///< Longest wait for a whole request.
  Duration write_timeout =
      std::chrono::seconds(30);  ///< Longest wait for a reader who takes nothing.
};

/// Answers one request. Owned by whoever answers; dropping it unanswered sends status 500.
/// Not thread safe: use it on the loop's thread only.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  /// Sends a whole reply. The last call.
  virtual void respond(HttpReply reply) = 0;

  /// Sends the status line and header fields of a reply whose body comes in pieces.
  virtual void begin_stream(int status, const HttpHeaders& headers) = 0;

  /// Sends a piece of the body. Pieces that come while the kernel takes nothing are joined.
  virtual void write(std::string_view piece) = 0;

  /// @return bytes that were written here and that the kernel has not yet taken.
  virtual std::size_t pending_bytes() const = 0;

  /// Sets what is called each time `pending_bytes` falls to zero.
  virtual void on_drained(std::function<void()> handler) = 0;

  /// Ends a streamed reply. The last call.
  virtual void finish() = 0;

  /// Sets what is called once if the caller goes away before the reply has ended.
  virtual void on_closed(std::function<void()> handler) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// A listening address. Runs on the loop that it is given; starts no thread.
class HttpServer {
 public:
  /// Listens at once. @throw std::system_error when the address cannot be had.
  HttpServer(asio::io_context& loop, const HttpServerSettings& settings, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return the address with the port that the kernel chose.
  asio::ip::tcp::endpoint local_endpoint() const;

  /// Closes the listening socket and all connections.
  void close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shuntbank
