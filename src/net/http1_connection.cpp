#include "net/http1_connection.hpp"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <utility>

#include "common/hash.hpp"
#include "net/address.hpp"
#include "net/dead_peer.hpp"
#include "net/http1_pool.hpp"

namespace shuntbank {
namespace {

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

}  // namespace

Http1Connection::Http1Connection(std::shared_ptr<Http1Pool> pool, std::string key)
    : pool_(std::move(pool)),
      key_(std::move(key)),
      socket_(pool_->loop),
      timer_(pool_->loop),
      parser_(HttpMessageKind::kResponse, pool_->settings.max_header_bytes, handlers()) {}

std::string Http1Connection::address_of(const std::string& url) {
  return split_url(url).address;
}

bool Http1Connection::has_carried_id_of(const OutgoingRequest& request) const {
  if (!request.answer_id) return false;
  const auto& ids = answer_id_hashes_;
  return std::find(ids.begin(), ids.end(), hash64(*request.answer_id)) != ids.end();
}

void Http1Connection::begin(std::unique_ptr<Http1Exchange> exchange) {
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

void Http1Connection::close() {
  if (std::exchange(closed_, true)) return;
  // close() may run inside one of the exchange's handlers; destroy them after it has returned.
  if (exchange_) {
    asio::post(pool_->loop, [ended = std::shared_ptr<Http1Exchange>(std::move(exchange_))] {});
  }
  std::error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
  pool_->remove_idle(this);
}

void Http1Connection::resume() {
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

HttpParserHandlers Http1Connection::handlers() {
  HttpParserHandlers handlers;
  handlers.on_head = [this](const HttpHead& head) { on_head(head); };
  handlers.on_body = [this](std::string_view piece) { return on_body(piece); };
  handlers.on_end = [this] { on_end(); };
  return handlers;
}

void Http1Connection::connect() {
  const auto& tunnel = exchange_->request.tunnel;
  const auto endpoint =
      parse_endpoint(tunnel ? tunnel->address : split_url(exchange_->request.url).address);
  if (!endpoint) {
    asio::post(pool_->loop,
               [self = shared_from_this(), message = endpoint.error()] { self->fail(message); });
    return;
  }
  ++pool_->stats.opened;
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
    detect_dead_peer(self->socket_, self->pool_->settings.peer_timeout);
    if (tunneled) return self->open_tunnel();
    const MonotonicTime now = monotonic_now();
    self->pool_->connect_delay.on_connected(now, split_url(self->exchange_->request.url).address,
                                            now - self->connecting_since_);
    self->on_connected();
  });
}

void Http1Connection::bind_local_address(const asio::ip::tcp::endpoint& peer) {
  const auto& local = pool_->settings.local_address;
  if (!local || local->is_v4() != peer.address().is_v4()) return;
  std::error_code ignored;
  socket_.open(peer.protocol(), ignored);
  // A closed connection must not keep its port from a listener on this address.
  socket_.set_option(asio::socket_base::reuse_address(true), ignored);
  socket_.bind({*local, 0}, ignored);
}

void Http1Connection::open_tunnel() {
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

void Http1Connection::on_tunnel_status(TunnelStatus status) {
  if (status != TunnelStatus::kOpen) {
    return finish_with_error({TransferFailure::kNothingSent,
                              "the relaying node opened no connection",
                              status == TunnelStatus::kRefused, status});
  }
  ++pool_->stats.tunnels_opened;
  tunnel_.emplace();
  on_connected();
}

void Http1Connection::on_connected() {
  connected_ = true;
  const auto& still_wanted = exchange_->request.still_wanted;
  if (still_wanted && !still_wanted()) return withdraw();
  write();
  read();
}

void Http1Connection::write() {
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
  pool_->stats.bytes_sent += write_buffer_.size();
  exchange_->request.body.clear();
  exchange_->bytes_sent = true;
  arm_total_timeout();
  asio::async_write(
      socket_, asio::buffer(write_buffer_),
      [self = shared_from_this(), id = exchange_->id](const std::error_code& error, std::size_t) {
        if (self->closed_ || !self->exchange_ || self->exchange_->id != id) return;
        // After a failed write, an answer may still be read.
        self->exchange_->write = write_outcome(error);
      });
}

void Http1Connection::arm_total_timeout() {
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

void Http1Connection::arm_silence_timeout() {
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

void Http1Connection::arm_timer(Duration delay, const char* message) {
  const std::uint64_t generation = ++timer_generation_;
  timer_.expires_after(delay);
  timer_.async_wait([weak = weak_from_this(), generation, message](const std::error_code& error) {
    const auto self = weak.lock();
    if (error || !self || self->closed_ || self->timer_generation_ != generation) return;
    self->fail(message);
  });
}

void Http1Connection::read() {
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
          ++self->pool_->stats.surplus_answers;
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

bool Http1Connection::append_received(std::size_t size) {
  const std::string_view received(read_buffer_.data(), size);
  received_bytes_ += size;
  if (!tunnel_) {
    unparsed_.append(received);
    return false;
  }
  unparsed_.append(tunnel_->feed(received));
  return tunnel_->ended();
}

bool Http1Connection::has_surplus_bytes() const {
  const std::size_t allowed = pool_->settings.max_surplus_bytes + kMaxFramingPerByte * body_bytes_;
  return received_bytes_ - body_bytes_ > allowed;
}

void Http1Connection::parse() {
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

void Http1Connection::on_head(const HttpHead& head) {
  keep_alive_ = head.keep_alive;
  idle_timeout_ = parse_keep_alive_timeout(head.headers).value_or(pool_->settings.idle_timeout);
  const bool interim = head.status < 200;
  const OutgoingRequest& request = exchange_->request;
  const bool unmatched =
      request.accepts_answer && !request.accepts_answer(head.status, head.headers);
  skipping_ = interim || unmatched;
  if (unmatched && !interim) ++pool_->stats.surplus_answers;
  if (skipping_) return;
  if (exchange_->handlers.on_headers) exchange_->handlers.on_headers(head.status, head.headers);
}

bool Http1Connection::on_body(std::string_view piece) {
  if (closed_) return false;
  if (skipping_) return true;
  body_bytes_ += piece.size();
  return deliver(piece);
}

bool Http1Connection::deliver(std::string_view piece) {
  if (exchange_->handlers.on_data(piece)) return !closed_;
  if (closed_) return false;
  undelivered_piece_ = piece;
  paused_ = true;
  return false;
}

void Http1Connection::on_end() {
  if (closed_) return;
  if (skipping_) {
    skipping_ = false;
    return;
  }
  answer_complete_ = true;
}

void Http1Connection::complete() {
  if (paused_) return;
  const std::unique_ptr<Http1Exchange> exchange = std::move(exchange_);
  answer_complete_ = false;
  pool_->in_flight.erase(exchange->id);
  timer_.cancel();
  ++timer_generation_;
  const bool tunnel_closing = tunnel_ && (tunnel_->closing() || tunnel_->ended());
  // Surplus bytes would be taken for the beginning of the next answer.
  const bool surplus_bytes = !unparsed_.empty();
  if (surplus_bytes) ++pool_->stats.surplus_answers;
  const bool not_reusable = exchange->write != WriteOutcome::kWritten ||
                            exchange->request.fresh_connection || tunnel_closing || surplus_bytes ||
                            answer_id_hashes_.size() >= kMaxAnswerIds;
  if (keep_alive_ && !not_reusable && idle_timeout_ > kKeepAliveMargin) {
    return_to_pool();
  } else {
    close();
  }
  exchange->handlers.on_done({});
}

void Http1Connection::return_to_pool() {
  arm_timer(idle_timeout_ - kKeepAliveMargin, "");
  pool_->add_idle(shared_from_this());
  // The current handler may be about to read.
  asio::post(pool_->loop, [self = shared_from_this()] { self->read(); });
}

void Http1Connection::on_read_error(const std::error_code& error) {
  if (!exchange_) return close();
  if (error != asio::error::eof) return fail(error.message());
  if (tunnel_) return tunnel_->ended() ? on_stream_end() : fail("the tunnel broke off");
  if (exchange_->write != WriteOutcome::kPending) return on_stream_end();
  // The write may have failed, and its handler be queued.
  asio::post(pool_->loop, [self = shared_from_this(), id = exchange_->id] {
    if (self->closed_ || !self->exchange_ || self->exchange_->id != id) return;
    self->on_stream_end();
  });
}

void Http1Connection::on_stream_end() {
  const bool reset = !tunnel_ && exchange_->write == WriteOutcome::kBroken;
  if (reset) return fail("the peer reset the connection");
  if (!skipping_ && parser_.inside_message() && parser_.feed_end()) return complete();
  if (closed_ || !exchange_) return;
  fail("the peer closed the connection");
}

void Http1Connection::fail(const std::string& message, bool connection_refused) {
  if (!exchange_) return close();
  const auto failure =
      exchange_->bytes_sent ? TransferFailure::kUncertain : TransferFailure::kNothingSent;
  finish_with_error({failure, message, connection_refused});
}

void Http1Connection::fail_answer(AnswerDefect defect, const std::string& message) {
  TransferError error{TransferFailure::kUncertain, message};
  error.defect = defect;
  finish_with_error(std::move(error));
}

void Http1Connection::withdraw() {
  finish_with_error({TransferFailure::kWithdrawn, "no longer wanted there", false});
}

void Http1Connection::finish_with_error(TransferError error) {
  const std::unique_ptr<Http1Exchange> exchange = std::move(exchange_);
  pool_->in_flight.erase(exchange->id);
  close();
  exchange->handlers.on_done(tl::make_unexpected(std::move(error)));
}

}  // namespace shuntbank
