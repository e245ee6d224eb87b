/// @file
/// The connections of the pooled HTTP/1.1 client, in use and idle.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/connect_delay.hpp"
#include "net/http1_client.hpp"
#include "net/http1_connection.hpp"

namespace shuntbank {

/// Gives each request an idle connection or a new one.
class Http1Pool : public std::enable_shared_from_this<Http1Pool> {
 public:
  Http1Pool(asio::io_context& own_loop, const PooledHttpClientSettings& pool_settings)
      : loop(own_loop), settings(pool_settings) {}

  // See `HttpClient`.
  TransferId start(OutgoingRequest request, TransferHandlers handlers);
  void cancel(TransferId id);
  void resume(TransferId id);

  // Called by connections.
  void add_idle(const std::shared_ptr<Http1Connection>& connection);
  void remove_idle(const Http1Connection* connection);

  // See `PooledHttpClient`.
  void close_idle_connections(const std::string& address);
  void close_idle_direct_connections();

  /// Closes the idle connections with this key of the pool.
  void close_idle(const std::string& key);

  /// Closes all connections without calling any handler.
  void close();

  asio::io_context& loop;
  PooledHttpClientSettings settings;
  PooledHttpClientStats stats;
  ConnectDelay connect_delay;
  std::unordered_map<TransferId, std::shared_ptr<Http1Connection>> in_flight;
  std::unordered_map<std::string, std::vector<std::shared_ptr<Http1Connection>>> idle;
  TransferId last_id = 0;

 private:
  /// @return the newest idle connection that the request can use; null: none.
  std::shared_ptr<Http1Connection> take_idle(const std::string& key,
                                             const OutgoingRequest& request);
};

}  // namespace shuntbank
