#include "net/http1_client.hpp"

#include <utility>

#include "net/http1_pool.hpp"

namespace shuntbank {

PooledHttpClient::PooledHttpClient(asio::io_context& loop, const PooledHttpClientSettings& settings)
    : pool_(std::make_shared<Http1Pool>(loop, settings)) {}

PooledHttpClient::~PooledHttpClient() {
  pool_->close();
}

TransferId PooledHttpClient::start(OutgoingRequest request, TransferHandlers handlers) {
  return pool_->start(std::move(request), std::move(handlers));
}

void PooledHttpClient::cancel(TransferId id) {
  pool_->cancel(id);
}

void PooledHttpClient::resume(TransferId id) {
  pool_->resume(id);
}

void PooledHttpClient::close_idle_connections(const std::string& address) {
  pool_->close_idle_connections(address);
}

void PooledHttpClient::close_idle_direct_connections() {
  pool_->close_idle_direct_connections();
}

void PooledHttpClient::close_idle_direct_connections(const std::string& address) {
  pool_->close_idle(address);
}

std::optional<Duration> PooledHttpClient::connect_delay() const {
  return pool_->connect_delay.recent(monotonic_now());
}

const PooledHttpClientStats& PooledHttpClient::stats() const {
  return pool_->stats;
}

}  // namespace shuntbank
