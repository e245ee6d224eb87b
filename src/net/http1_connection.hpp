/// @file
/// A connection of the pooled HTTP/1.1 client.
#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http1_parser.hpp"
#include "net/http_client.hpp"
#include "net/monotonic_timer.hpp"
#include "net/tunnel_protocol.hpp"
#include "net/write_outcome.hpp"

namespace shuntbank {

class Http1Pool;

/// One request in flight.
struct Http1Exchange {
  TransferId id = 0;
  OutgoingRequest request;
  TransferHandlers handlers;
  bool bytes_sent = false;                      ///< Some bytes may have been sent.
  WriteOutcome write = WriteOutcome::kPending;  ///< Of the request, to the kernel.
};

/// At most one request at a time.
class Http1Connection : public std::enable_shared_from_this<Http1Connection> {
 public:
  Http1Connection(std::shared_ptr<Http1Pool> pool, std::string key);

  /// @return the key of this connection in the pool.
  const std::string& key() const { return key_; }

  /// @return whether an answer to a request that was sent here could name `request`.
  bool has_carried_id_of(const OutgoingRequest& request) const;

  /// Sends a request, after connecting if it is the first one.
  void begin(std::unique_ptr<Http1Exchange> exchange);

  /// Closes the connection without calling any handler.
  void close();

  void resume();

  /// @return the `IP:PORT` of a URL.
  static std::string address_of(const std::string& url);

 private:
  static constexpr std::size_t kReadBufferSize = 16UL << 10U;

  HttpParserHandlers handlers();

  void connect();

  /// If the address cannot be bound, the system chooses one.
  void bind_local_address(const asio::ip::tcp::endpoint& peer);

  void open_tunnel();

  void on_tunnel_status(TunnelStatus status);

  void on_connected();

  void write();

  void arm_total_timeout();

  /// Restarts the silence timeout after bytes of the answer have arrived.
  void arm_silence_timeout();

  void arm_timer(Duration delay, const char* message);

  void read();

  /// @return whether the peer's end of a tunneled connection was among the bytes.
  bool append_received(std::size_t size);

  bool has_surplus_bytes() const;

  void parse();

  void on_head(const HttpHead& head);

  bool on_body(std::string_view piece);

  /// Passes a piece to the handler; stores it and pauses when refused. @return whether to go on.
  bool deliver(std::string_view piece);

  void on_end();

  /// Returns the connection to the pool or closes it, then reports the complete answer.
  void complete();

  void return_to_pool();

  /// Handles the end of the connection or a read error.
  void on_read_error(const std::error_code& error);

  /// Handles an end in order, which completes an answer that is delimited by it.
  void on_stream_end();

  void fail(const std::string& message, bool connection_refused = false);

  void fail_answer(AnswerDefect defect, const std::string& message);

  void withdraw();

  void finish_with_error(TransferError error);

  std::shared_ptr<Http1Pool> pool_;
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
  std::unique_ptr<Http1Exchange> exchange_;
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

}  // namespace shuntbank
