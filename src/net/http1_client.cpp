#include "net/http1_client.hpp"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/hash.hpp"
#include "net/address.hpp"
#include "net/connect_delay.hpp"
#include "net/dead_peer.hpp"
#include "net/http1_parser.hpp"
#include "net/monotonic_timer.hpp"

namespace shuntbank {
namespace {

constexpr std::size_t kReadBufferSize = 16UL << 10U;
constexpr std::string_view kScheme = "http://";

/// Idle connections close this long before the peer's timeout; a shorter one prevents reuse.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(500);

/// Requests with an answer id that a connection carries before it is closed. Bounds the ids that it
/// remembers.
constexpr std::size_t kMaxAnswerIds = 1000;

/// Bytes of framing that a byte of a body may take beyond `max_surplus_bytes`. A chunk of one byte
/// takes five.
constexpr std::size_t kMaxFramingPerByte = 8;

struct Target {
  std::string address;
  std::string path;
};

Target split_url(const std::string& url) {
  const std::size_t begin = url.rfind(kScheme, 0) == 0 ? kScheme.size() : 0;
  const std::size_t slash = std::min(url.find('/', begin), url.size());
  return {url.substr(begin, slash - begin), slash < url.size() ? url.substr(slash) : "/"};
}

/// @return the timeout of the `Keep-Alive` field, or nothing when it is absent or malformed.
std::optional<Duration> parse_keep_alive_timeout(const HttpHeaders& headers) {
  const std::string_view field = headers.get("Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = field.find(kName);
  if (at == std::string_view::npos) return std::nullopt;
  unsigned seconds = 0;
  const char* begin = field.data() + at + kName.size();
  const auto parsed = std::from_chars(begin, field.data() + field.size(), seconds);
  if (parsed.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

/// Separates the peer from the relaying node in a key of the pool; in no address.
constexpr char kTunnelKeySeparator = ' ';

/// @return the key of idle connections that a request can use.
std::string pool_key(const OutgoingRequest& request) {
  std::string key = split_url(request.url).address;
  if (request.tunnel) key += kTunnelKeySeparator + request.tunnel->address;
  return key;
}

bool is_tunnel_key(const std::string& key) {
  return key.find(kTunnelKeySeparator) != std::string::npos;
}

/// One request in flight.
struct Exchange {
  TransferId id = 0;
  OutgoingRequest request;
  TransferHandlers handlers;
  bool bytes_sent = false;  ///< Some bytes may have been sent.
  bool written = false;     ///< All bytes were handed to the kernel.
};

}  // namespace

class PooledHttpClient::Impl : public std::enable_shared_from_this<PooledHttpClient::Impl> {
 public:
  Impl(asio::io_context& own_loop, const PooledHttpClientSettings& pool_settings)
      : loop(own_loop), settings(pool_settings) {}

  TransferId start(OutgoingRequest request, TransferHandlers handlers);
  void cancel(TransferId id);
  void resume(TransferId id);
  std::shared_ptr<Connection> take_idle(const std::string& key, const OutgoingRequest& request);
  void add_idle(const std::shared_ptr<Connection>& connection);
  void remove_idle(const Connection* connection);
  void close_idle_connections(const std::string& address);
  void close_idle_direct_connections();
  void close_idle(const std::string& key);
  void close();

  asio::io_context& loop;
  PooledHttpClientSettings settings;
  PooledHttpClientStats stats;
  ConnectDelay connect_delay;
  std::unordered_map<TransferId, std::shared_ptr<Connection>> in_flight;
  std::unordered_map<std::string, std::vector<std::shared_ptr<Connection>>> idle;
  TransferId last_id = 0;
};

/// One connection: at most one request at a time.
class PooledHttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> client, std::string key)
      : client_(std::move(client)),
        key_(std::move(key)),
        socket_(client_->loop),
        timer_(client_->loop),
        parser_(HttpMessageKind::kResponse, client_->settings.max_header_bytes, handlers()) {}

  const std::string& key() const { return key_; }

  /// @return whether an answer to a request that was sent here could name `request`.
  bool has_carried_id_of(const OutgoingRequest& request) const {
    if (!request.answer_id) return false;
    const auto& ids = answer_id_hashes_;
    return std::find(ids.begin(), ids.end(), hash64(*request.answer_id)) != ids.end();
  }

  void begin(std::unique_ptr<Exchange> exchange) {
    exchange_ = std::move(exchange);
    const auto& answer_id = exchange_->request.answer_id;
    if (answer_id) answer_id_hashes_.push_back(hash64(*answer_id));
    answer_complete_ = false;
    received_bytes_ = 0;
    body_bytes_ = 0;
    answer_began_at_.reset();
    parser_.set_without_body(exchange_->request.method == "HEAD");
    started_at_ = monotonic_now();
    if (!connected_) return connect();
    write();
  }

  /// Closes the connection without calling any handler.
  void close() {
    if (std::exchange(closed_, true)) return;
    // close() may run inside one of the exchange's handlers; destroy them after it has returned.
    if (exchange_) {
      asio::post(client_->loop, [ended = std::shared_ptr<Exchange>(std::move(exchange_))] {});
    }
    std::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    client_->remove_idle(this);
  }

  void resume() {
    if (closed_ || !std::exchange(paused_, false)) return;
    if (!undelivered_piece_.empty()) {
      const std::string piece = std::exchange(undelivered_piece_, {});
      if (!deliver(piece)) return;
    }
    parse();
    if (closed_ || paused_ || !exchange_) return;
    if (tunnel_ && tunnel_->ended()) return on_read_error(asio::error::eof);
    read();
  }

 private:
  HttpParserHandlers handlers() {
    HttpParserHandlers handlers;
    handlers.on_head = [this](const HttpHead& head) { on_head(head); };
    handlers.on_body = [this](std::string_view piece) { return on_body(piece); };
    handlers.on_end = [this] { on_end(); };
    return handlers;
  }

  void connect() {
    const auto& tunnel = exchange_->request.tunnel;
    const auto endpoint =
        parse_endpoint(tunnel ? tunnel->address : split_url(exchange_->request.url).address);
    if (!endpoint) {
      asio::post(client_->loop,
                 [self = shared_from_this(), message = endpoint.error()] { self->fail(message); });
      return;
    }
    ++client_->stats.opened;
    arm_timer(exchange_->request.connect_timeout, "the connection could not be made in time");
    connecting_since_ = monotonic_now();
    bind_local_address(*endpoint);
    socket_.async_connect(*endpoint, [self = shared_from_this()](const std::error_code& error) {
      if (self->closed_) return;
      const bool tunneled = self->exchange_->request.tunnel.has_value();
      if (error) {
        return self->fail(error.message(), !tunneled && error == asio::error::connection_refused);
      }
      std::error_code ignored;
      self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
      detect_dead_peer(self->socket_, self->client_->settings.peer_timeout);
      if (tunneled) return self->open_tunnel();
      const MonotonicTime now = monotonic_now();
      self->client_->connect_delay.on_connected(
          now, split_url(self->exchange_->request.url).address, now - self->connecting_since_);
      self->on_connected();
    });
  }

  /// If the address cannot be bound, the system chooses one.
  void bind_local_address(const asio::ip::tcp::endpoint& peer) {
    const auto& local = client_->settings.local_address;
    if (!local || local->is_v4() != peer.address().is_v4()) return;
    std::error_code ignored;
    socket_.open(peer.protocol(), ignored);
    // A closed connection must not keep its port from a listener on this address.
    socket_.set_option(asio::socket_base::reuse_address(true), ignored);
    socket_.bind({*local, 0}, ignored);
  }

  void open_tunnel() {
    const TunnelRoute& tunnel = *exchange_->request.tunnel;
    write_buffer_ = encode_tunnel_request(tunnel.target);
    if (write_buffer_.empty()) return fail("the name of the tunnel's target is too long");
    asio::async_write(
        socket_, asio::buffer(write_buffer_),
        [self = shared_from_this()](const std::error_code& error, std::size_t) {
          if (self->closed_) return;
          if (error) return self->fail("the relaying node: " + error.message());
          asio::async_read(
              self->socket_, asio::buffer(self->tunnel_status_),
              [self](const std::error_code& failure, std::size_t) {
                if (self->closed_) return;
                if (failure) return self->fail("the relaying node: " + failure.message());
                self->on_tunnel_status(static_cast<TunnelStatus>(self->tunnel_status_[0]));
              });
        });
  }

  void on_tunnel_status(TunnelStatus status) {
    if (status != TunnelStatus::kOpen) {
      return finish_with_error({TransferFailure::kNothingSent,
                                "the relaying node opened no connection",
                                status == TunnelStatus::kRefused, status});
    }
    ++client_->stats.tunnels_opened;
    tunnel_.emplace();
    on_connected();
  }

  void on_connected() {
    connected_ = true;
    const auto& still_wanted = exchange_->request.still_wanted;
    if (still_wanted && !still_wanted()) return withdraw();
    write();
    read();
  }

  void write() {
    const OutgoingRequest& request = exchange_->request;
    const Target target = split_url(request.url);
    write_buffer_ = request.method + " " + target.path + " HTTP/1.1\r\n";
    if (request.headers.count("Host") == 0) write_buffer_ += "Host: " + target.address + "\r\n";
    for (const HttpHeader& field : request.headers.fields()) {
      write_buffer_ += field.name + ": " + field.value + "\r\n";
    }
    const bool needs_length =
        !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
    if (needs_length)
      write_buffer_ += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    write_buffer_ += "\r\n";
    write_buffer_ += request.body;
    client_->stats.bytes_sent += write_buffer_.size();
    exchange_->request.body.clear();
    exchange_->bytes_sent = true;
    arm_total_timeout();
    asio::async_write(
        socket_, asio::buffer(write_buffer_),
        [self = shared_from_this(), id = exchange_->id](const std::error_code& error, std::size_t) {
          if (self->closed_ || !self->exchange_ || self->exchange_->id != id) return;
          // The pending read reports a failed write; it may still deliver an answer.
          if (!error) self->exchange_->written = true;
        });
  }

  void arm_total_timeout() {
    const Duration total = exchange_->request.total_timeout;
    if (total <= Duration::zero()) {
      timer_.cancel();
      ++timer_generation_;
      return;
    }
    const Duration elapsed = monotonic_now() - started_at_;
    const auto left = total - elapsed;
    arm_timer(std::max(left, Duration::zero()), "no whole answer in time");
  }

  /// Restarts the silence timeout after bytes of the answer have arrived.
  void arm_silence_timeout() {
    const OutgoingRequest& request = exchange_->request;
    const Duration silence = request.answer_idle_timeout;
    if (silence <= Duration::zero()) return;
    const MonotonicTime now = monotonic_now();
    if (!answer_began_at_) answer_began_at_ = now;
    const Duration left = *answer_began_at_ + request.answer_timeout - now;
    if (request.answer_timeout > Duration::zero() && left < silence) {
      return arm_timer(std::max(left, Duration::zero()), "no whole answer in time");
    }
    arm_timer(silence, "the answer broke off");
  }

  void arm_timer(Duration delay, const char* message) {
    const std::uint64_t generation = ++timer_generation_;
    timer_.expires_after(delay);
    timer_.async_wait([weak = weak_from_this(), generation, message](const std::error_code& error) {
      const auto self = weak.lock();
      if (error || !self || self->closed_ || self->timer_generation_ != generation) return;
      self->fail(message);
    });
  }

  void read() {
    if (closed_ || reading_) return;
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](const std::error_code& error, std::size_t size) {
          self->reading_ = false;
          if (self->closed_) return;
          if (error) return self->on_read_error(error);
          const bool ended = self->append_received(size);
          if (!self->exchange_) {
            if (self->tunnel_ && self->unparsed_.empty()) return self->close();
            // Bytes on an idle connection match no request.
            ++self->client_->stats.surplus_answers;
            return self->close();
          }
          self->arm_silence_timeout();
          self->parse();
          if (self->closed_) return;
          if (self->exchange_ && self->has_surplus_bytes()) {
            return self->fail_answer(AnswerDefect::kSurplusBytes, "too many surplus bytes");
          }
          if (self->paused_) return;
          if (ended) return self->on_read_error(asio::error::eof);
          self->read();
        });
  }

  /// @return whether the peer's end of a tunneled connection was among the bytes.
  bool append_received(std::size_t size) {
    const std::string_view received(read_buffer_.data(), size);
    received_bytes_ += size;
    if (!tunnel_) {
      unparsed_.append(received);
      return false;
    }
    unparsed_.append(tunnel_->feed(received));
    return tunnel_->ended();
  }

  bool has_surplus_bytes() const {
    const std::size_t allowed =
        client_->settings.max_surplus_bytes + kMaxFramingPerByte * body_bytes_;
    return received_bytes_ - body_bytes_ > allowed;
  }

  void parse() {
    while (!closed_ && !paused_ && exchange_ && !answer_complete_ && !unparsed_.empty()) {
      const std::string bytes = std::exchange(unparsed_, {});
      const std::size_t consumed = parser_.feed(bytes);
      if (closed_) return;
      unparsed_ = bytes.substr(std::min(consumed, bytes.size())) + unparsed_;
      if (parser_.failure() != HttpParseFailure::kNone) {
        const bool large = parser_.failure() == HttpParseFailure::kHeaderTooLarge;
        return fail_answer(large ? AnswerDefect::kHeadTooLarge : AnswerDefect::kMalformed,
                           "the answer is no HTTP");
      }
      if (consumed == 0) break;
    }
    if (!closed_ && exchange_ && answer_complete_) complete();
  }

  void on_head(const HttpHead& head) {
    keep_alive_ = head.keep_alive;
    idle_timeout_ = parse_keep_alive_timeout(head.headers).value_or(client_->settings.idle_timeout);
    const bool interim = head.status < 200;
    const OutgoingRequest& request = exchange_->request;
    const bool unmatched =
        request.accepts_answer && !request.accepts_answer(head.status, head.headers);
    skipping_ = interim || unmatched;
    if (unmatched && !interim) ++client_->stats.surplus_answers;
    if (skipping_) return;
    if (exchange_->handlers.on_headers) exchange_->handlers.on_headers(head.status, head.headers);
  }

  bool on_body(std::string_view piece) {
    if (closed_) return false;
    if (skipping_) return true;
    body_bytes_ += piece.size();
    return deliver(piece);
  }

  /// Passes a piece to the handler; stores it and pauses when refused. @return whether to go on.
  bool deliver(std::string_view piece) {
    if (exchange_->handlers.on_data(piece)) return !closed_;
    if (closed_) return false;
    undelivered_piece_ = piece;
    paused_ = true;
    return false;
  }

  void on_end() {
    if (closed_) return;
    if (skipping_) {
      skipping_ = false;
      return;
    }
    answer_complete_ = true;
  }

  /// Returns the connection to the pool or closes it, then reports the complete answer.
  void complete() {
    if (paused_) return;
    const std::unique_ptr<Exchange> exchange = std::move(exchange_);
    answer_complete_ = false;
    client_->in_flight.erase(exchange->id);
    timer_.cancel();
    ++timer_generation_;
    const bool tunnel_closing = tunnel_ && (tunnel_->closing() || tunnel_->ended());
    // Surplus bytes would be taken for the beginning of the next answer.
    const bool surplus_bytes = !unparsed_.empty();
    if (surplus_bytes) ++client_->stats.surplus_answers;
    const bool not_reusable = !exchange->written || exchange->request.fresh_connection ||
                              tunnel_closing || surplus_bytes ||
                              answer_id_hashes_.size() >= kMaxAnswerIds;
    if (keep_alive_ && !not_reusable && idle_timeout_ > kKeepAliveMargin) {
      return_to_pool();
    } else {
      close();
    }
    exchange->handlers.on_done({});
  }

  void return_to_pool() {
    arm_timer(idle_timeout_ - kKeepAliveMargin, "");
    client_->add_idle(shared_from_this());
    // The current handler may be about to read.
    asio::post(client_->loop, [self = shared_from_this()] { self->read(); });
  }

  /// Handles the end of the connection or a read error.
  void on_read_error(const std::error_code& error) {
    if (!exchange_) return close();
    const bool tunnel_broken = tunnel_ && !tunnel_->ended();
    const bool clean = error == asio::error::eof && !tunnel_broken;
    if (clean && !skipping_ && parser_.inside_message() && parser_.feed_end()) return complete();
    if (closed_ || !exchange_) return;
    fail(clean ? "the peer closed the connection" : error.message());
  }

  void fail(const std::string& message, bool connection_refused = false) {
    if (!exchange_) return close();
    const auto failure =
        exchange_->bytes_sent ? TransferFailure::kUncertain : TransferFailure::kNothingSent;
    finish_with_error({failure, message, connection_refused});
  }

  void fail_answer(AnswerDefect defect, const std::string& message) {
    TransferError error{TransferFailure::kUncertain, message};
    error.defect = defect;
    finish_with_error(std::move(error));
  }

  void withdraw() {
    finish_with_error({TransferFailure::kWithdrawn, "no longer wanted there", false});
  }

  void finish_with_error(TransferError error) {
    const std::unique_ptr<Exchange> exchange = std::move(exchange_);
    client_->in_flight.erase(exchange->id);
    close();
    exchange->handlers.on_done(tl::make_unexpected(std::move(error)));
  }

  std::shared_ptr<Impl> client_;
  std::string key_;  ///< In the pool.
  asio::ip::tcp::socket socket_;
  MonotonicTimer timer_;
  std::uint64_t timer_generation_ = 0;
  MonotonicTime started_at_;
  Http1Parser parser_;
  std::array<char, kReadBufferSize> read_buffer_{};
  MonotonicTime connecting_since_{};
  std::string write_buffer_;
  std::string unparsed_;                          ///< Received, not yet parsed.
  std::size_t received_bytes_ = 0;                ///< Since the current request began.
  std::size_t body_bytes_ = 0;                    ///< Of these, in the body of its answer.
  std::optional<MonotonicTime> answer_began_at_;  ///< Set with `answer_idle_timeout` only.
  std::string undelivered_piece_;  ///< Parsed, but refused by `on_data` until `resume`.
  std::unique_ptr<Exchange> exchange_;
  std::vector<std::uint64_t> answer_id_hashes_;  ///< Of the requests sent here.
  std::optional<TunnelDecoder> tunnel_;          ///< Set if another node relays the connection.
  std::array<unsigned char, 1> tunnel_status_{};
  Duration idle_timeout_{};
  bool connected_ = false;
  bool closed_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool keep_alive_ = false;
  bool skipping_ = false;         ///< Inside an interim answer or one to another request.
  bool answer_complete_ = false;  ///< The answer has ended, and is to be reported.
};

TransferId PooledHttpClient::Impl::start(OutgoingRequest request, TransferHandlers handlers) {
  auto exchange = std::make_unique<Exchange>();
  exchange->id = ++last_id;
  const TransferId id = exchange->id;
  const std::string key = pool_key(request);
  const bool fresh = request.fresh_connection;
  exchange->request = std::move(request);
  exchange->handlers = std::move(handlers);
  std::shared_ptr<Connection> connection;
  if (!fresh) connection = take_idle(key, exchange->request);
  if (connection) {
    ++stats.reused;
  } else {
    connection = std::make_shared<Connection>(shared_from_this(), key);
  }
  in_flight.emplace(id, connection);
  connection->begin(std::move(exchange));
  return id;
}

void PooledHttpClient::Impl::cancel(TransferId id) {
  const auto found = in_flight.find(id);
  if (found == in_flight.end()) return;
  const auto connection = found->second;
  in_flight.erase(found);
  connection->close();
}

void PooledHttpClient::Impl::resume(TransferId id) {
  asio::post(loop, [self = shared_from_this(), id] {
    const auto found = self->in_flight.find(id);
    if (found == self->in_flight.end()) return;
    const auto connection = found->second;
    connection->resume();
  });
}

/// @return the newest idle connection that the request can use; null: none.
std::shared_ptr<PooledHttpClient::Connection> PooledHttpClient::Impl::take_idle(
    const std::string& key, const OutgoingRequest& request) {
  const auto found = idle.find(key);
  if (found == idle.end()) return nullptr;
  auto& connections = found->second;
  const auto newest = std::find_if(
      connections.rbegin(), connections.rend(),
      [&request](const auto& candidate) { return !candidate->has_carried_id_of(request); });
  if (newest == connections.rend()) return nullptr;
  std::shared_ptr<Connection> connection = *newest;
  connections.erase(std::next(newest).base());
  return connection;
}

void PooledHttpClient::Impl::add_idle(const std::shared_ptr<Connection>& connection) {
  auto& idle_connections = idle[connection->key()];
  idle_connections.push_back(connection);
  if (idle_connections.size() <= settings.max_idle_per_peer) return;
  const auto oldest = idle_connections.front();
  oldest->close();
}

void PooledHttpClient::Impl::remove_idle(const Connection* connection) {
  const auto found = idle.find(connection->key());
  if (found == idle.end()) return;
  std::erase_if(found->second,
                [&](const auto& candidate) { return candidate.get() == connection; });
  if (found->second.empty()) idle.erase(found);
}

void PooledHttpClient::Impl::close_idle(const std::string& key) {
  const auto found = idle.find(key);
  if (found == idle.end()) return;
  const auto idle_connections = found->second;
  for (const auto& connection : idle_connections) connection->close();
}

void PooledHttpClient::Impl::close_idle_connections(const std::string& address) {
  const std::string tunnel_prefix = address + kTunnelKeySeparator;
  std::vector<std::string> keys{address};
  for (const auto& [key, connections] : idle) {
    if (key.rfind(tunnel_prefix, 0) == 0) keys.push_back(key);
  }
  for (const std::string& key : keys) close_idle(key);
}

void PooledHttpClient::Impl::close_idle_direct_connections() {
  std::vector<std::string> keys;
  for (const auto& [key, connections] : idle) {
    if (!is_tunnel_key(key)) keys.push_back(key);
  }
  for (const std::string& key : keys) close_idle(key);
}

void PooledHttpClient::Impl::close() {
  const auto active = std::exchange(in_flight, {});
  for (const auto& [id, connection] : active) connection->close();
  const auto idle_connections = std::exchange(idle, {});
  for (const auto& [address, connections] : idle_connections) {
    for (const auto& connection : connections) connection->close();
  }
}

PooledHttpClient::PooledHttpClient(asio::io_context& loop, const PooledHttpClientSettings& settings)
    : impl_(std::make_shared<Impl>(loop, settings)) {}

PooledHttpClient::~PooledHttpClient() {
  impl_->close();
}

TransferId PooledHttpClient::start(OutgoingRequest request, TransferHandlers handlers) {
  return impl_->start(std::move(request), std::move(handlers));
}

void PooledHttpClient::cancel(TransferId id) {
  impl_->cancel(id);
}

void PooledHttpClient::resume(TransferId id) {
  impl_->resume(id);
}

void PooledHttpClient::close_idle_connections(const std::string& address) {
  impl_->close_idle_connections(address);
}

void PooledHttpClient::close_idle_direct_connections() {
  impl_->close_idle_direct_connections();
}

void PooledHttpClient::close_idle_direct_connections(const std::string& address) {
  impl_->close_idle(address);
}

std::optional<Duration> PooledHttpClient::connect_delay() const {
  return impl_->connect_delay.recent(monotonic_now());
}

const PooledHttpClientStats& PooledHttpClient::stats() const {
  return impl_->stats;
}

}  // namespace shuntbank
