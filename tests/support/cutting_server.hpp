/// @file
/// A server on a real socket whose answers break off.
#pragma once

#include <array>
#include <asio.hpp>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/address.hpp"
#include "net/http1_parser.hpp"

namespace shuntbank::testing {

enum class ConnectionEnd { kClose, kReset };

/// Answers a request on each connection with the beginning of a text, then ends the connection.
class CuttingServer {
 public:
  /// Returns the whole answer to a request.
  using Handler = std::function<std::string(const HttpHead& request, const std::string& body)>;

  CuttingServer(asio::io_context& loop, Handler own_handler)
      : handler(std::move(own_handler)), acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->accept();
  }

  std::string address() const { return format_endpoint(this->acceptor.local_endpoint()); }

  std::size_t cut = std::string::npos;  ///< Bytes that are sent of an answer.
  ConnectionEnd end = ConnectionEnd::kClose;
  std::size_t whole_answers = 0;  ///< On each connection, before the one that is cut.
  std::size_t requests = 0;       ///< Received.

 private:
  struct Connection {
    Connection(asio::ip::tcp::socket accepted, HttpParserHandlers handlers)
        : socket(std::move(accepted)),
          parser(HttpMessageKind::kRequest, 64UL << 10U, std::move(handlers)) {}

    asio::ip::tcp::socket socket;
    Http1Parser parser;
    std::array<char, 4096> buffer{};
    HttpHead head;
    std::string body;
    std::size_t answered = 0;
    bool ended = false;
  };

  void accept() {
    this->acceptor.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      auto owner = std::make_shared<std::weak_ptr<Connection>>();
      HttpParserHandlers handlers;
      handlers.on_head = [owner](HttpHead head) { owner->lock()->head = std::move(head); };
      handlers.on_body = [owner](std::string_view piece) {
        owner->lock()->body += piece;
        return true;
      };
      handlers.on_end = [this, owner] { this->answer(*owner->lock()); };
      auto connection = std::make_shared<Connection>(std::move(socket), std::move(handlers));
      *owner = connection;
      read(connection);
      this->accept();
    });
  }

  static void read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [connection](const std::error_code& error, std::size_t size) {
          if (error) return;
          std::string_view bytes(connection->buffer.data(), size);
          while (!bytes.empty()) {
            const std::size_t consumed = connection->parser.feed(bytes);
            if (connection->ended || consumed == 0) return;
            bytes.remove_prefix(consumed);
          }
          read(connection);
        });
  }

  void answer(Connection& connection) {
    ++this->requests;
    std::string text = this->handler(connection.head, connection.body);
    connection.body.clear();
    const bool whole = connection.answered++ < this->whole_answers;
    if (!whole) text.resize(std::min(text.size(), this->cut));
    std::error_code ignored;
    asio::write(connection.socket, asio::buffer(text), ignored);
    if (whole) return;
    connection.ended = true;
    if (this->end == ConnectionEnd::kReset) {
      connection.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    connection.socket.close(ignored);
  }

  Handler handler;
  asio::ip::tcp::acceptor acceptor;
};

/// One way to send an answer.
struct FramedAnswer {
  std::string name;
  std::string head;  ///< Up to the blank line of the final head.
  std::string rest;
  std::string body;
  bool ends_with_connection = false;
  std::size_t tail = 0;  ///< Bytes after the last chunk.

  std::string text() const { return this->head + this->rest; }

  /// @return whether the first `cut` bytes are an answer that is complete once the connection ends.
  bool is_whole(std::size_t cut, ConnectionEnd end) const {
    if (!this->ends_with_connection) return cut >= this->text().size();
    return cut >= this->head.size() && end == ConnectionEnd::kClose;
  }

  /// @return whether that answer lacks at most what follows the last chunk; RFC 9112 calls it
  /// complete then.
  bool may_be_whole(std::size_t cut, ConnectionEnd end) const {
    return this->is_whole(cut, end) || (this->tail > 0 && cut + this->tail >= this->text().size());
  }
};

/// @param fields of the final head, each with its line break.
/// @param body is sent in two chunks where it is chunked.
inline std::vector<FramedAnswer> framed_answers(const std::string& fields,
                                                const std::string& body) {
  const auto chunk = [](const std::string& piece) {
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", piece.size());
    return std::string(size.data()) + "\r\n" + piece + "\r\n";
  };
  const std::size_t half = body.size() / 2;
  const std::string chunks = chunk(body.substr(0, half)) + chunk(body.substr(half));
  const std::string begin = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  return {{"length", begin + length, body, body, false},
          {"chunked", begin + chunked, chunks + "0\r\n\r\n", body, false, 2},
          {"chunked with a trailer", begin + chunked, chunks + "0\r\nt: 1\r\n\r\n", body, false, 8},
          {"no length", begin + "\r\n", body, body, true},
          {"interim, length", "HTTP/1.1 100 Continue\r\n\r\n" + begin + length, body, body, false},
          {"interim, no length", "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n" + begin + "\r\n", body,
           body, true}};
}

}  // namespace shuntbank::testing
