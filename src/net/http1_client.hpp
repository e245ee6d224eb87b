/// @file
/// HTTP/1.1 client with a connection pool: http_parser on an Asio loop. Unlike the libcurl client
/// it never retries a request, reports whether any byte may have been sent, skips answers that
/// the request's `accepts_answer` rejects, and reuses a connection only when its last exchange
/// completed cleanly.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/address.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "net/http_client.hpp"

namespace shuntbank {

/// Settings of the connection pool.
struct PooledHttpClientSettings {
  std::size_t max_idle_per_peer = 24;
  /// How long an idle connection stays open if the peer sends no `Keep-Alive` timeout.
  Duration idle_timeout = std::chrono::seconds(4);
  /// How long sent bytes may stay unacknowledged before the connection is closed.
  Duration peer_timeout = std::chrono::milliseconds(2500);
  std::size_t max_header_bytes = 64UL << 10U;
  /// Bytes received for one request that are no part of its answer's body: heads, framing, interim
  /// answers and answers to other requests. Beyond this, in proportion to the body.
  std::size_t max_surplus_bytes = 1UL << 20U;
  /// Address that connections are made from; unset: chosen by the system. Nodes accept tunnels only
  /// from addresses of other nodes.
  std::optional<asio::ip::address> local_address = std::nullopt;
};

/// Counters since the start of the client.
struct PooledHttpClientStats {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t tunnels_opened = 0;   ///< Of `opened`, through another node.
  std::uint64_t surplus_answers = 0;  ///< Answers that matched no pending request.
  std::uint64_t bytes_sent = 0;
};

class Http1Pool;

/// Sends requests on pooled connections. Not thread safe.
class PooledHttpClient : public HttpClient {
 public:
  PooledHttpClient(asio::io_context& loop, const PooledHttpClientSettings& settings);
  ~PooledHttpClient() override;
  PooledHttpClient(const PooledHttpClient&) = delete;
  PooledHttpClient& operator=(const PooledHttpClient&) = delete;

  TransferId start(OutgoingRequest request, TransferHandlers handlers) override;
  void cancel(TransferId id) override;
  void resume(TransferId id) override;

  /// Closes idle connections to a peer, `IP:PORT`, whose address may be reassigned.
  void close_idle_connections(const std::string& address);

  /// Closes idle connections that no other node relays: all, or those to one peer.
  void close_idle_direct_connections();
  void close_idle_direct_connections(const std::string& address);

  const PooledHttpClientStats& stats() const;

  /// @return see `ConnectDelay::recent`; of direct connections.
  std::optional<Duration> connect_delay() const;

 private:
  std::shared_ptr<Http1Pool> pool_;
};

}  // namespace shuntbank
