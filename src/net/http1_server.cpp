#include "net/http1_server.hpp"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <list>
#include <optional>
#include <unordered_set>
#include <utility>

#include "net/http1_parser.hpp"
#include "net/http_status.hpp"
#include "net/monotonic_timer.hpp"

namespace shuntbank {
namespace {

constexpr std::size_t kReadBufferSize = 16UL << 10U;

/// Pipelined bytes buffered until a reply has been sent; reading stops at this size.
constexpr std::size_t kMaxPipelinedBytes = 64UL << 10U;

constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string format_chunk(std::string_view piece) {
  std::array<char, 20> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
  std::string text(size.data(), static_cast<std::size_t>(length));
  text += piece;
  text += "\r\n";
  return text;
}

void append_fields(std::string& text, const HttpHeaders& headers) {
  for (const HttpHeader& field : headers.fields()) {
    text += field.name;
    text += ": ";
    text += field.value;
    text += "\r\n";
  }
}

}  // namespace

/// State shared by all connections of a server.
class Http1Server::Impl : public std::enable_shared_from_this<Http1Server::Impl> {
 public:
  Impl(asio::io_context& own_loop, const Http1ServerSettings& server_settings,
       ConnectionHandler connection_handler)
      : loop(own_loop),
        settings(server_settings),
        handler(std::move(connection_handler)),
        acceptor(own_loop),
        accept_retry_timer(own_loop) {
    acceptor.open(settings.listen.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(settings.listen);
    acceptor.listen();
  }

  void accept();
  /// Closes the connection that has rested for the longest time, if one rests.
  void close_longest_resting();
  bool full() const { return connections.size() >= settings.max_connections; }
  void on_connection_closed(const std::shared_ptr<Connection>& connection);
  void close();
  void drain();

  asio::io_context& loop;
  Http1ServerSettings settings;
  ConnectionHandler handler;
  CallerLimits limits;
  asio::ip::tcp::acceptor acceptor;
  MonotonicTimer accept_retry_timer;
  std::unordered_set<std::shared_ptr<Connection>> connections;
  /// Kept open after an answer, without a byte of the next request; the longest resting first.
  std::list<Connection*> resting;
  std::size_t buffered_bytes = 0;  ///< Total of all request bodies.
  std::function<bool()> gate;      ///< May be empty.
  bool shedding = false;
  bool accepting = false;
  bool keep_alive_disabled = false;
  Http1ServerStats stats;
};

/// One caller's connection: reads requests and writes replies, one exchange at a time.
class Http1Server::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> server, asio::ip::tcp::socket socket)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        timer_(server_->loop),
        parser_(HttpMessageKind::kRequest, server_->limits.max_header_bytes, handlers()) {
    std::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto caller = socket_.remote_endpoint(ignored);
    if (!ignored) caller_ = caller.address().to_string();
  }

  void start() {
    ++server_->stats.unread_connections;
    arm_timer(server_->limits.idle_timeout);
    read();
  }

  /// Closes now if no request is being read or answered, else after the answer.
  void close_when_idle() {
    close_after_answer_ = true;
    // A finished answer may still be in the write buffer; the connection closes once it is sent.
    const bool sending = reply_ended_ || pending_bytes() > 0;
    const bool receiving = parser_.inside_message() || !unparsed_.empty();
    if (!reply_pending_ && !sending && !receiving) close();
  }

  void close() {
    if (std::exchange(closed_, true)) return;
    std::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    on_first_request_ended();
    on_request_ended();
    end_rest();
    release_body();
    drained_handler_ = nullptr;
    const auto closed_handler = std::exchange(closed_handler_, nullptr);
    server_->on_connection_closed(shared_from_this());
    if (closed_handler) closed_handler();
  }

  // Called by the responder.
  void respond(const HttpReply& reply) {
    std::string text = format_head(reply.status, reply.headers);
    text += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n";
    if (!is_head_request_) text += reply.body;
    end_reply();
    send(text);
  }
  void begin_stream(int status, const HttpHeaders& headers) {
    send(format_head(status, headers) + "Transfer-Encoding: chunked\r\n\r\n");
  }
  void write_piece(std::string_view piece) {
    if (!piece.empty() && !is_head_request_) send(format_chunk(piece));
  }
  void finish_stream() {
    end_reply();
    send(is_head_request_ ? std::string() : std::string(kLastChunk));
  }
  std::size_t pending_bytes() const { return outgoing_.size() + write_buffer_.size(); }
  void on_drained(std::function<void()> handler) { drained_handler_ = std::move(handler); }
  void on_closed(std::function<void()> handler) { closed_handler_ = std::move(handler); }
  bool closed() const { return closed_; }

  /// @return whether the kernel has bytes of the caller that were not read yet.
  bool has_unread_bytes() const {
    std::error_code ignored;
    return socket_.available(ignored) > 0;
  }

 private:
  HttpParserHandlers handlers() {
    HttpParserHandlers handlers;
    handlers.on_head = [this](HttpHead head) { on_head(std::move(head)); };
    handlers.on_body = [this](std::string_view piece) { return on_body(piece); };
    handlers.on_end = [this] { on_request(); };
    return handlers;
  }

  void read() {
    if (closed_ || reading_) return;
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](const std::error_code& error, std::size_t size) {
          self->reading_ = false;
          if (self->closed_) return;
          if (error) return self->close();
          self->on_received(std::string_view(self->read_buffer_.data(), size));
        });
  }

  void on_received(std::string_view bytes) {
    end_rest();
    if (lingering_) return read();
    unparsed_ += bytes;
    parse();
    if (closed_) return;
    if (!replying() || unparsed_.size() < kMaxPipelinedBytes) read();
  }

  /// @return whether a request is being handled or its reply is being sent.
  bool replying() const { return reply_pending_ || reply_ended_; }

  /// Parses received bytes up to the end of one request.
  void parse() {
    while (!closed_ && !replying() && !lingering_ && !unparsed_.empty()) {
      const bool message_started = parser_.inside_message();
      const std::string bytes = std::exchange(unparsed_, {});
      const std::size_t consumed = parser_.feed(bytes);
      if (closed_) return;
      unparsed_ = bytes.substr(std::min(consumed, bytes.size())) + unparsed_;
      if (parser_.failure() != HttpParseFailure::kNone) return reject_parse_failure();
      if (rejection_status_ != 0) return reject(rejection_status_);
      if (replying()) return;
      if (!message_started && parser_.inside_message() && !head_parsed_) {
        arm_timer(server_->limits.header_timeout);
      }
      if (consumed == 0) return;
    }
  }

  void on_head(HttpHead head) {
    head_parsed_ = true;
    request_ = HttpRequest();
    request_.method = std::move(head.method);
    request_.target = std::move(head.target);
    const std::size_t query_mark = request_.target.find('?');
    request_.path = request_.target.substr(0, query_mark);
    if (query_mark != std::string::npos) request_.query = request_.target.substr(query_mark + 1);
    request_.headers = std::move(head.headers);
    request_.caller = caller_;
    keep_alive_ = head.keep_alive;
    is_head_request_ = request_.method == "HEAD";
    arm_timer(server_->limits.idle_timeout);
    if (head.content_length > server_->limits.max_body_bytes) {
      rejection_status_ = http_status::kContentTooLarge;
      return;
    }
    if (equal_ignoring_case(request_.headers.get("Expect"), "100-continue")) {
      send("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  bool on_body(std::string_view piece) {
    if (rejection_status_ != 0) return false;
    if (request_.body.size() + piece.size() > server_->limits.max_body_bytes) {
      rejection_status_ = http_status::kContentTooLarge;
      return false;
    }
    if (server_->buffered_bytes + piece.size() > server_->settings.max_buffered_bytes) {
      rejection_status_ = http_status::kServiceUnavailable;
      return false;
    }
    request_.body += piece;
    body_bytes_ += piece.size();
    server_->buffered_bytes += piece.size();
    arm_timer(server_->limits.idle_timeout);
    return true;
  }

  void on_request();

  void reject_parse_failure() {
    const bool large = parser_.failure() == HttpParseFailure::kHeaderTooLarge;
    reject(large ? http_status::kHeadersTooLarge : http_status::kBadRequest);
  }

  /// Answers with an error status, then reads for a while before closing, since an early close
  /// could reset the connection and lose the answer.
  void reject(int status) {
    ++server_->stats.rejected;
    close_after_answer_ = true;
    lingering_ = true;
    unparsed_.clear();
    std::string text = format_head(status, {});
    text += "Content-Length: 0\r\n\r\n";
    outgoing_ += text;
    shutdown_when_sent_ = true;
    flush();
    arm_timer(server_->settings.linger_timeout);
  }

  std::string format_head(int status, const HttpHeaders& headers) {
    const bool closes =
        close_after_answer_ || server_->keep_alive_disabled || server_->shedding || !keep_alive_;
    if (closes) close_after_answer_ = true;
    close_announced_ = closes;
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text += http_status::reason(status);
    text += "\r\n";
    append_fields(text, headers);
    if (closes) text += "Connection: close\r\n";
    return text;
  }

  void end_reply() {
    on_request_ended();
    closed_handler_ = nullptr;
    drained_handler_ = nullptr;
    release_body();
    reply_ended_ = true;
  }

  void on_request_ended() {
    if (std::exchange(reply_pending_, false)) --server_->stats.pending_requests;
  }

  /// The first request has been read, or never will be.
  void on_first_request_ended() {
    if (!std::exchange(first_request_awaited_, false)) return;
    --server_->stats.unread_connections;
  }

  void release_body() { server_->buffered_bytes -= std::exchange(body_bytes_, 0); }

  void send(const std::string& text) {
    if (closed_) return;
    outgoing_ += text;
    flush();
  }

  void flush() {
    if (closed_ || !write_buffer_.empty()) return;
    if (outgoing_.empty()) return on_all_sent();
    write_buffer_ = std::exchange(outgoing_, {});
    server_->stats.bytes_sent += write_buffer_.size();
    if (!write_deadline_armed_) {
      write_deadline_armed_ = true;
      arm_timer(server_->settings.write_timeout);
    }
    asio::async_write(socket_, asio::buffer(write_buffer_),
                      [self = shared_from_this()](const std::error_code& error, std::size_t) {
                        self->write_buffer_.clear();
                        self->write_deadline_armed_ = false;
                        if (self->closed_) return;
                        if (error) return self->close();
                        self->on_written();
                      });
  }

  void on_written() {
    if (reply_pending_) {
      timer_.cancel();
    } else {
      arm_timer(server_->limits.idle_timeout);
    }
    flush();
  }

  void on_all_sent() {
    if (shutdown_when_sent_) return linger();
    if (std::exchange(reply_ended_, false)) return next_request();
    const auto handler = drained_handler_;
    if (handler) handler();
  }

  void next_request() {
    // A request that was read is answered unless the last answer has announced the close.
    if (close_announced_) return linger();
    arm_timer(server_->limits.idle_timeout);
    head_parsed_ = false;
    parser_.set_max_header_bytes(server_->limits.max_header_bytes);
    parse();
    if (closed_) return;
    const bool idle = !replying() && !parser_.inside_message() && unparsed_.empty();
    if (idle && close_after_answer_) return linger();
    read();
    if (idle && !lingering_) begin_rest();
  }

  void begin_rest() {
    rest_ = server_->resting.insert(server_->resting.end(), this);
    server_->accept();
  }

  void end_rest() {
    if (rest_) server_->resting.erase(*std::exchange(rest_, std::nullopt));
  }

  /// Shuts down sending, then reads until the caller closes or `linger_timeout` expires.
  void linger() {
    std::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    lingering_ = true;
    unparsed_.clear();
    arm_timer(server_->settings.linger_timeout);
    read();
  }

  void arm_timer(Duration duration) {
    const std::uint64_t generation = ++timer_generation_;
    timer_.expires_after(duration);
    timer_.async_wait([weak = weak_from_this(), generation](const std::error_code& error) {
      const auto self = weak.lock();
      if (error || !self || self->closed_ || self->timer_generation_ != generation) return;
      self->on_timeout();
    });
  }

  void on_timeout() {
    if (!write_buffer_.empty() || lingering_) return close();
    if (reply_pending_) return;
    if (parser_.inside_message()) return reject(http_status::kRequestTimeout);
    close();
  }

  std::shared_ptr<Impl> server_;
  asio::ip::tcp::socket socket_;
  std::string caller_;  ///< The caller's IP address, without port.
  MonotonicTimer timer_;
  std::uint64_t timer_generation_ = 0;
  Http1Parser parser_;
  std::array<char, kReadBufferSize> read_buffer_{};
  std::string unparsed_;      ///< Received, not yet parsed.
  std::string outgoing_;      ///< Queued to be sent after `write_buffer_`.
  std::string write_buffer_;  ///< Being written to the socket.
  HttpRequest request_;
  std::size_t body_bytes_ = 0;
  int rejection_status_ = 0;  ///< Status for rejecting the request; 0 for none.
  std::function<void()> drained_handler_;
  std::function<void()> closed_handler_;
  std::optional<std::list<Connection*>::iterator> rest_;
  bool first_request_awaited_ = true;
  bool reading_ = false;
  bool closed_ = false;
  bool head_parsed_ = false;
  bool keep_alive_ = true;
  bool is_head_request_ = false;
  bool reply_pending_ = false;  ///< The handler has a request and its reply has not ended.
  bool reply_ended_ = false;    ///< The reply has ended and is being sent.
  bool close_after_answer_ = false;
  bool close_announced_ = false;  ///< By the head of the last reply.
  bool shutdown_when_sent_ = false;
  bool lingering_ = false;
  bool write_deadline_armed_ = false;
};

/// The reply to one request. If dropped unfinished, sends status 500 or aborts a stream.
class Http1Server::Responder : public ConnectionResponder {
 public:
  explicit Responder(const std::shared_ptr<Connection>& connection) : connection_(connection) {}
  ~Responder() override {
    if (ended_) return;
    if (streaming_) {
      abort();
    } else {
      respond({http_status::kInternalError, {}, ""});
    }
  }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  void respond(HttpReply reply) override {
    if (const auto connection = end_reply()) connection->respond(reply);
  }
  void begin_stream(int status, const HttpHeaders& headers) override {
    streaming_ = true;
    if (const auto connection = active_connection()) connection->begin_stream(status, headers);
  }
  void write(std::string_view piece) override {
    if (const auto connection = active_connection()) connection->write_piece(piece);
  }
  std::size_t pending_bytes() const override {
    const auto connection = connection_.lock();
    return connection && !ended_ ? connection->pending_bytes() : 0;
  }
  void on_drained(std::function<void()> handler) override {
    if (const auto connection = active_connection()) connection->on_drained(std::move(handler));
  }
  void finish() override {
    if (const auto connection = end_reply()) connection->finish_stream();
  }
  void on_closed(std::function<void()> handler) override {
    if (const auto connection = active_connection()) connection->on_closed(std::move(handler));
  }
  void abort() override {
    const auto connection = end_reply();
    if (!connection) return;
    connection->on_closed(nullptr);
    connection->close();
  }

 private:
  std::shared_ptr<Connection> active_connection() const {
    auto connection = connection_.lock();
    return ended_ || !connection || connection->closed() ? nullptr : connection;
  }
  std::shared_ptr<Connection> end_reply() {
    auto connection = active_connection();
    ended_ = true;
    return connection;
  }

  std::weak_ptr<Connection> connection_;
  bool streaming_ = false;
  bool ended_ = false;
};

void Http1Server::Connection::on_request() {
  if (rejection_status_ != 0) return;
  reply_pending_ = true;
  on_first_request_ended();
  ++server_->stats.requests;
  ++server_->stats.pending_requests;
  timer_.cancel();
  ++timer_generation_;
  server_->handler(std::move(request_), std::make_shared<Responder>(shared_from_this()));
}

void Http1Server::Impl::close_longest_resting() {
  const auto found = std::find_if(resting.begin(), resting.end(), [](const Connection* connection) {
    return !connection->has_unread_bytes();
  });
  if (found != resting.end()) (*found)->close();
}

void Http1Server::Impl::accept() {
  if (accepting || !acceptor.is_open() || (full() && resting.empty())) return;
  accepting = true;
  acceptor.async_accept(
      [self = shared_from_this()](const std::error_code& error, asio::ip::tcp::socket socket) {
        self->accepting = false;
        if (!self->acceptor.is_open()) return;
        if (!error && self->gate && !self->gate()) {
          std::error_code ignored;
          socket.close(ignored);
          return self->accept();
        }
        if (!error) {
          if (self->full()) self->close_longest_resting();
          auto connection = std::make_shared<Connection>(self, std::move(socket));
          self->connections.insert(connection);
          ++self->stats.connections;
          self->stats.open_connections = self->connections.size();
          connection->start();
          return self->accept();
        }
        // Without free descriptors accept fails at once; a delay avoids a busy loop.
        self->accept_retry_timer.expires_after(std::chrono::milliseconds(50));
        self->accept_retry_timer.async_wait([self](const std::error_code&) { self->accept(); });
      });
}

void Http1Server::Impl::on_connection_closed(const std::shared_ptr<Connection>& connection) {
  connections.erase(connection);
  stats.open_connections = connections.size();
  accept();
}

void Http1Server::Impl::close() {
  std::error_code ignored;
  acceptor.close(ignored);
  const auto open = connections;
  for (const auto& connection : open) connection->close();
}

void Http1Server::Impl::drain() {
  std::error_code ignored;
  acceptor.close(ignored);
  const auto open = connections;
  for (const auto& connection : open) connection->close_when_idle();
}

Http1Server::Http1Server(asio::io_context& loop, const Http1ServerSettings& settings,
                         ConnectionHandler handler)
    : impl_(std::make_shared<Impl>(loop, settings, std::move(handler))) {
  impl_->accept();
}

Http1Server::~Http1Server() {
  impl_->handler = [](const HttpRequest&, const std::shared_ptr<ConnectionResponder>&) {};
  impl_->close();
}

asio::ip::tcp::endpoint Http1Server::local_endpoint() const {
  return impl_->acceptor.local_endpoint();
}

void Http1Server::set_limits(const CallerLimits& limits) {
  impl_->limits = limits;
}

void Http1Server::set_gate(std::function<bool()> admit) {
  impl_->gate = std::move(admit);
}

void Http1Server::set_shedding(bool shedding) {
  impl_->shedding = shedding;
}

void Http1Server::disable_keep_alive() {
  impl_->keep_alive_disabled = true;
}

void Http1Server::drain() {
  impl_->drain();
}

void Http1Server::close() {
  impl_->close();
}

const Http1ServerStats& Http1Server::stats() const {
  return impl_->stats;
}

}  // namespace shuntbank
