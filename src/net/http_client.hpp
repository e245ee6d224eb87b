/// @file
/// Asynchronous HTTP client interface and its implementation with libcurl's multi interface on an
/// Asio loop. One client runs any number of transfers without extra threads.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "common/time.hpp"
#include "net/http_message.hpp"
#include "net/tunnel_protocol.hpp"

namespace shuntbank {

/// Largest body that `HttpClient::fetch` collects by default, in bytes.
constexpr std::size_t kMaxFetchReplySize = 64UL << 20U;

/// A node through which a connection is made, see `tunnel_protocol.hpp`.
struct TunnelRoute {
  std::string address;  ///< IP:PORT of the node.
  std::string target;   ///< Name by which the node knows the peer.

  bool operator==(const TunnelRoute&) const = default;
};

/// A request to send.
struct OutgoingRequest {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration total_timeout = Duration::zero();  ///< Zero: no limit.
  Duration idle_timeout =
      Duration::zero();  ///< Longest gap without data once sent; zero: no limit.
  /// Longest gap without data once the answer has begun; replaces `total_timeout` from then on, so
  /// that a large answer on a slow link can complete. Zero: `total_timeout` covers the whole
  /// transfer. Only supported by `PooledHttpClient`.
  Duration answer_idle_timeout = Duration::zero();
  /// Longest time from the first byte of the answer to its end, where `answer_idle_timeout` is set;
  /// zero: no limit. Only supported by `PooledHttpClient`.
  Duration answer_timeout = Duration::zero();
  /// Largest body that `fetch` collects, in bytes; a larger one fails the transfer at once.
  std::size_t max_answer_bytes = kMaxFetchReplySize;
  /// Never send on a reused connection. libcurl resends a request by itself when a reused
  /// connection turns out to be dead; a request that may run only once must not risk that.
  bool fresh_connection = false;
  /// Returns whether an answer belongs to this request; one that does not is read and discarded.
  /// If unset, every answer is accepted. Only supported by `PooledHttpClient`.
  std::function<bool(int status, const HttpHeaders& headers)> accepts_answer;
  /// What an answer to this request names, so that `accepts_answer` can tell it from answers to
  /// other requests; may be empty. Requests with the same value never share a connection, as a late
  /// second answer to the earlier one would pass for an answer to the later one. If unset, the
  /// request may use any connection. Only supported by `PooledHttpClient`.
  std::optional<std::string> answer_id;
  /// Called after a new connection is established, right before the first byte is sent: returns
  /// whether to send the request at all. If unset, it is sent. Only supported by
  /// `PooledHttpClient`.
  std::function<bool()> still_wanted;
  /// Node that relays the connection; unset: direct. Only supported by `PooledHttpClient`.
  std::optional<TunnelRoute> tunnel;
};

/// Whether a failed transfer may have reached the peer.
enum class TransferFailure {
  kNothingSent,  ///< No byte of the request can have reached the peer.
  kUncertain,    ///< Bytes may have reached the peer.
  kWithdrawn,    ///< Not sent because `still_wanted` returned false.
};

/// Why received bytes can't become the answer. The connection is closed at once.
enum class AnswerDefect {
  kNone,
  kMalformed,     ///< Not valid HTTP/1.1.
  kHeadTooLarge,  ///< The fields of a head or trailer are larger than allowed.
  kSurplusBytes,  ///< Too many bytes that belong to no body of the answer.
  kBodyTooLarge,  ///< The body is larger than allowed.
};

/// @return the name of the defect in logs and metrics.
const char* to_text(AnswerDefect defect);

/// Why a transfer ended without a complete reply.
struct TransferError {
  TransferFailure failure = TransferFailure::kUncertain;
  std::string message;
  /// The peer's host refused the connection: nothing listens at the address.
  bool connection_refused = false;
  /// What the relaying node answered; unset if the connection was direct, or if it did not answer.
  std::optional<TunnelStatus> tunnel_status = std::nullopt;
  AnswerDefect defect = AnswerDefect::kNone;
};

/// Callbacks of a transfer. All are called on the loop; none after `cancel`.
struct TransferHandlers {
  /// The status line and all header fields have arrived.
  std::function<void(int status, const HttpHeaders& headers)> on_headers;
  /// Receives a piece of the body. @return false to pause; the piece is repeated after `resume`.
  std::function<bool(std::string_view piece)> on_data;
  /// The transfer ended; the last call.
  std::function<void(tl::expected<void, TransferError> result)> on_done;
};

using TransferId = std::uint64_t;

/// Sends requests. Not thread safe: use it on the loop's thread only.
class HttpClient {
 public:
  HttpClient() = default;
  virtual ~HttpClient() = default;
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a transfer. Failures are reported to `handlers.on_done`, never before this returns.
  virtual TransferId start(OutgoingRequest request, TransferHandlers handlers) = 0;

  /// Aborts a transfer and closes its connection; no handler is called afterwards.
  virtual void cancel(TransferId id) = 0;

  /// Resumes a paused transfer.
  virtual void resume(TransferId id) = 0;

  /// Sends a request and collects the whole reply, see `OutgoingRequest::max_answer_bytes`.
  /// @param on_progress called with the body's size so far whenever data arrives; may be empty.
  using FetchHandler = std::function<void(tl::expected<HttpReply, TransferError>)>;
  using ProgressHandler = std::function<void(std::size_t received)>;
  TransferId fetch(OutgoingRequest request, FetchHandler handler, ProgressHandler on_progress = {});
};

/// Implementation with libcurl.
class CurlHttpClient : public HttpClient {
 public:
  explicit CurlHttpClient(asio::io_context& loop);
  ~CurlHttpClient() override;
  CurlHttpClient(const CurlHttpClient&) = delete;
  CurlHttpClient& operator=(const CurlHttpClient&) = delete;

  TransferId start(OutgoingRequest request, TransferHandlers handlers) override;
  void cancel(TransferId id) override;
  void resume(TransferId id) override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shuntbank
