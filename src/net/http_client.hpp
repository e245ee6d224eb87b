/// @file
/// HTTP requests to back ends and the platform: libcurl's multi interface on an Asio loop.
/// One client serves any number of transfers without a thread for each.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "common/time.hpp"
#include "net/http_message.hpp"

namespace shuntbank {

/// A request to send.
struct OutgoingRequest {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration total_timeout = Duration::zero();  ///< Zero means no bound.
  Duration idle_timeout =
      Duration::zero();  ///< Longest silence after the dispatch; zero: no bound.
  /// Longest silence inside an answer that has begun, where `total_timeout` then ends no more: an
  /// answer may take as long as its size needs on the link. Zero: `total_timeout` bounds it all.
  /// Only `PooledHttpClient` heeds it.
  Duration answer_idle_timeout = Duration::zero();
  /// Never send on a reused connection. libcurl sends a request again by itself when a reused
  /// connection turns out to be dead; a request that may run only once must not risk that.
  bool fresh_connection = false;
  /// Whether an answer belongs to this request; one that does not is read and left out. Where it is
  /// not set, each answer belongs. Only `PooledHttpClient` heeds it.
  std::function<bool(int status, const HttpHeaders& headers)> accepts_answer;
  /// Asked right before the first byte leaves, where a connection had to be made first: whether the
  /// request is still to be sent there. Where it is not set, it is. Only `PooledHttpClient` heeds
  /// it.
  std::function<bool()> still_wanted;
};

/// How far a failed transfer came.
enum class TransferFailure {
  kNothingSent,  ///< No byte of the request can have reached the peer.
  kUncertain,    ///< Bytes may have reached the peer.
  kWithdrawn,    ///< No byte was sent, since the owner no longer wanted it; see `still_wanted`.
};

/// Why a transfer ended without a whole reply.
struct TransferError {
  TransferFailure failure = TransferFailure::kUncertain;
  std::string message;
  /// The peer's machine answered that nobody listens at the address.
  bool connection_refused = false;
};

/// What a transfer tells its owner. All are called on the loop; none after `cancel`.
struct TransferHandlers {
  /// The status line and all header fields have arrived.
  std::function<void(int status, const HttpHeaders& headers)> on_headers;
  /// A piece of the body. @return false to pause; the same piece comes again after `resume`.
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

  /// Starts a transfer. Failures are told through `handlers.on_done`, never before this returns.
  virtual TransferId start(OutgoingRequest request, TransferHandlers handlers) = 0;

  /// Ends a transfer and closes its connection; no handler is called afterwards.
  virtual void cancel(TransferId id) = 0;

  /// Goes on with a paused transfer.
  virtual void resume(TransferId id) = 0;

  /// Sends a request and collects a whole reply of at most `kMaxFetchReplySize` bytes.
  /// @param on_progress told the bytes of the body so far whenever some have come; may be empty.
  using FetchHandler = std::function<void(tl::expected<HttpReply, TransferError>)>;
  using ProgressHandler = std::function<void(std::size_t received)>;
  TransferId fetch(OutgoingRequest request, FetchHandler handler, ProgressHandler on_progress = {});
};

/// The client of real processes.
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

/// Largest reply that `HttpClient::fetch` collects, in bytes.
constexpr std::size_t kMaxFetchReplySize = 64UL << 20U;

}  // namespace shuntbank
