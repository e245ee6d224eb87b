/// @file
/// HTTP/1.1 requests on kept connections: http_parser on an Asio loop. Unlike the libcurl client it
/// never sends a request a second time by itself, so that its owner knows whether any byte left,
/// skips an answer that belongs to another request, and never reuses a connection that is in doubt.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "net/http_client.hpp"

namespace shuntbank {

/// Bounds of the pool.
struct PooledHttpClientSettings {
  std::size_t max_idle_per_peer = 24;
  /// How long a connection is kept where the peer does not tell its own bound.
  Duration idle_timeout = std::chrono::seconds(4);
  /// How long sent bytes may stay without acknowledgement before the connection counts as dead.
  Duration peer_timeout = std::chrono::milliseconds(2500);
  std::size_t max_header_bytes = 64UL << 10U;
};

/// Counts of connections.
struct PooledHttpClientStats {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t surplus_answers = 0;  ///< Answers that belonged to no request that waited.
};

/// Sends requests on kept connections. Not thread safe.
class PooledHttpClient : public HttpClient {
 public:
  PooledHttpClient(asio::io_context& loop, const PooledHttpClientSettings& settings);
  ~PooledHttpClient() override;
  PooledHttpClient(const PooledHttpClient&) = delete;
  PooledHttpClient& operator=(const PooledHttpClient&) = delete;

  TransferId start(OutgoingRequest request, TransferHandlers handlers) override;
  void cancel(TransferId id) override;
  void resume(TransferId id) override;

  /// Closes idle connections to a peer, `IP:PORT`, whose address may be given away.
  void close_idle_connections(const std::string& address);

  const PooledHttpClientStats& stats() const;

 private:
  class Impl;
  class Connection;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shuntbank
