#include "net/http_server.hpp"

#include <algorithm>
#include <list>
#include <optional>
#include <restinio/all.hpp>
#include <unordered_map>
#include <utility>

#include "net/http_status.hpp"
#include "net/http_syntax.hpp"

namespace shuntbank {
namespace {

using ConnectionId = restinio::connection_id_t;
using StreamBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

/// Effectively disables RESTinio's handling timeout: the handlers enforce their own deadlines.
constexpr std::chrono::hours kHandlingTimeout{24};

/// Two, so that RESTinio keeps reading and detects a disconnect while a request is handled.
constexpr std::size_t kMaxPipelinedRequests = 2;

class ResponderImpl;

/// Notifies responders when their connection closes. Registered with RESTinio.
class ConnectionListener {
 public:
  void add(ConnectionId id, const std::shared_ptr<ResponderImpl>& responder) {
    open_responders_[id].push_back(responder);
  }
  void remove(ConnectionId id, const ResponderImpl* responder);
  void state_changed(const restinio::connection_state::notice_t& notice) noexcept;

 private:
  std::unordered_map<ConnectionId, std::list<std::weak_ptr<ResponderImpl>>> open_responders_;
};

struct ServerTraits : restinio::default_single_thread_traits_t {
  using connection_state_listener_t = ConnectionListener;
  static constexpr bool use_connection_count_limiter = true;  // NOLINT: RESTinio's name
};

class ResponderImpl : public HttpResponder, public std::enable_shared_from_this<ResponderImpl> {
 public:
  ResponderImpl(restinio::request_handle_t request, std::shared_ptr<ConnectionListener> listener)
      : request_(std::move(request)), connection_listener_(std::move(listener)) {}

  ~ResponderImpl() override {
    if (!ended_ && !stream_) respond({500, {}, ""});
    if (!ended_ && stream_) finish();
  }
  ResponderImpl(const ResponderImpl&) = delete;
  ResponderImpl& operator=(const ResponderImpl&) = delete;

  void respond(HttpReply reply) override {
    if (!mark_ended()) return;
    auto response = request_->create_response(status_line(reply.status));
    for (const HttpHeader& field : reply.headers.fields()) {
      response.append_header(field.name, field.value);
    }
    response.set_body(std::move(reply.body));
    response.done();
  }

  void begin_stream(int status, const HttpHeaders& headers) override {
    stream_.emplace(request_->create_response<restinio::chunked_output_t>(status_line(status)));
    for (const HttpHeader& field : headers.fields())
      stream_->append_header(field.name, field.value);
    stream_->flush();
  }

  void write(std::string_view piece) override {
    if (ended_) return;
    buffered_ += piece;
    if (in_flight_bytes_ == 0) flush();
  }

  std::size_t pending_bytes() const override { return in_flight_bytes_ + buffered_.size(); }

  void on_drained(std::function<void()> handler) override { drained_handler_ = std::move(handler); }

  void finish() override {
    if (!mark_ended()) return;
    if (!buffered_.empty()) stream_->append_chunk(std::exchange(buffered_, {}));
    stream_->done();
  }

  void on_closed(std::function<void()> handler) override { closed_handler_ = std::move(handler); }

  /// Called when the connection closes before the reply has ended.
  void on_connection_closed() {
    if (std::exchange(ended_, true)) return;
    drained_handler_ = nullptr;
    const auto handler = std::exchange(closed_handler_, nullptr);
    if (handler) handler();
  }

 private:
  static restinio::http_status_line_t status_line(int status) {
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            http_status::reason(status)};
  }

  /// Marks the reply as ended. @return false if it had already ended.
  bool mark_ended() {
    if (std::exchange(ended_, true)) return false;
    connection_listener_->remove(request_->connection_id(), this);
    closed_handler_ = nullptr;
    drained_handler_ = nullptr;
    return true;
  }

  void flush() {
    in_flight_bytes_ = buffered_.size();
    stream_->append_chunk(std::exchange(buffered_, {}));
    stream_->flush([weak = weak_from_this()](const std::error_code& error) {
      const auto self = weak.lock();
      if (self) self->on_written(!error);
    });
  }

  void on_written(bool success) {
    in_flight_bytes_ = 0;
    if (ended_ || !success) return;
    if (!buffered_.empty()) {
      flush();
      return;
    }
    const auto handler = drained_handler_;
    if (handler) handler();
  }

  restinio::request_handle_t request_;
  std::shared_ptr<ConnectionListener> connection_listener_;
  std::optional<StreamBuilder> stream_;
  std::string buffered_;             ///< Data written while the previous piece is being sent.
  std::size_t in_flight_bytes_ = 0;  ///< Size of the piece that is being sent.
  std::function<void()> drained_handler_;
  std::function<void()> closed_handler_;
  bool ended_ = false;
};

void ConnectionListener::remove(ConnectionId id, const ResponderImpl* responder) {
  const auto found = open_responders_.find(id);
  if (found == open_responders_.end()) return;
  found->second.remove_if([responder](const std::weak_ptr<ResponderImpl>& entry) {
    const auto other = entry.lock();
    return !other || other.get() == responder;
  });
  if (found->second.empty()) open_responders_.erase(found);
}

void ConnectionListener::state_changed(
    const restinio::connection_state::notice_t& notice) noexcept {
  if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) return;
  const auto found = open_responders_.find(notice.connection_id());
  if (found == open_responders_.end()) return;
  const auto responders = std::move(found->second);
  open_responders_.erase(found);
  for (const auto& entry : responders) {
    if (const auto responder = entry.lock()) responder->on_connection_closed();
  }
}

HttpRequest to_request(const restinio::request_t& received) {
  HttpRequest request;
  const auto& header = received.header();
  request.method = std::string(header.method().c_str());
  request.path = std::string(header.path().data(), header.path().size());
  request.query = std::string(header.query().data(), header.query().size());
  request.target = header.request_target();
  header.for_each_field(
      [&request](const auto& field) { request.headers.add(field.name(), field.value()); });
  request.body = received.body();
  return request;
}

/// RESTinio's parser accepts more.
bool is_sound(const HttpHeaders& headers) {
  const auto& fields = headers.fields();
  return has_known_framing(headers) &&
         std::all_of(fields.begin(), fields.end(), [](const HttpHeader& field) {
           return is_field_name(field.name) && is_field_value(field.value);
         });
}

/// What follows a malformed request cannot be told apart from its body.
restinio::request_handling_status_t reject(restinio::request_t& received) {
  received.create_response(restinio::status_bad_request()).connection_close().done();
  return restinio::request_accepted();
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(asio::io_context& loop, const HttpServerSettings& settings, HttpHandler handler)
      : connection_listener_(std::make_shared<ConnectionListener>()),
        server_(restinio::external_io_context(loop), [&](auto& restinio_settings) {
          configure(restinio_settings, settings, std::move(handler));
        }) {
    server_.open_sync();
  }

  ~Impl() { close(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void close() {
    if (std::exchange(closed_, true)) return;
    server_.close_sync();
  }

  asio::ip::tcp::endpoint local_endpoint() const { return local_endpoint_; }

 private:
  template <typename RestinioSettings>
  void configure(RestinioSettings& target, const HttpServerSettings& settings,
                 HttpHandler handler) {
    target.address(settings.listen.address())
        .port(settings.listen.port())
        .protocol(settings.listen.protocol())
        .buffer_size(8UL << 10U)
        .read_next_http_message_timelimit(settings.idle_timeout)
        .write_http_response_timelimit(settings.write_timeout)
        .handle_request_timeout(kHandlingTimeout)
        .max_pipelined_requests(kMaxPipelinedRequests)
        .max_parallel_connections(settings.max_connections)
        .connection_state_listener(connection_listener_)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(settings.max_header_value)
                                      .max_field_name_size(settings.max_header_value)
                                      .max_field_value_size(settings.max_header_value)
                                      .max_field_count(settings.max_header_count)
                                      .max_body_size(settings.max_body))
        .socket_options_setter(
            [](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
          local_endpoint_ = acceptor.local_endpoint();
        })
        .request_handler(
            [this, handler = std::move(handler)](const restinio::request_handle_t& received) {
              HttpRequest request = to_request(*received);
              if (!is_sound(request.headers)) return reject(*received);
              auto responder = std::make_shared<ResponderImpl>(received, connection_listener_);
              connection_listener_->add(received->connection_id(), responder);
              handler(std::move(request), responder);
              return restinio::request_accepted();
            });
  }

  std::shared_ptr<ConnectionListener> connection_listener_;
  asio::ip::tcp::endpoint local_endpoint_;
  restinio::http_server_t<ServerTraits> server_;
  bool closed_ = false;
};

HttpServer::HttpServer(asio::io_context& loop, const HttpServerSettings& settings,
                       HttpHandler handler)
    : impl_(std::make_unique<Impl>(loop, settings, std::move(handler))) {}

HttpServer::~HttpServer() = default;

asio::ip::tcp::endpoint HttpServer::local_endpoint() const {
  return impl_->local_endpoint();
}

void HttpServer::close() {
  impl_->close();
}

}  // namespace shuntbank
