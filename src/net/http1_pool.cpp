#include "net/http1_pool.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace shuntbank {
namespace {

/// Separates the peer from the relaying node in a key of the pool; in no address.
constexpr char kTunnelKeySeparator = ' ';

/// @return the key of idle connections that a request can use.
std::string pool_key(const OutgoingRequest& request) {
  std::string key = Http1Connection::address_of(request.url);
  if (request.tunnel) key += kTunnelKeySeparator + request.tunnel->address;
  return key;
}

bool is_tunnel_key(const std::string& key) {
  return key.find(kTunnelKeySeparator) != std::string::npos;
}

}  // namespace

TransferId Http1Pool::start(OutgoingRequest request, TransferHandlers handlers) {
  auto exchange = std::make_unique<Http1Exchange>();
  exchange->id = ++last_id;
  const TransferId id = exchange->id;
  const std::string key = pool_key(request);
  const bool fresh = request.fresh_connection;
  exchange->request = std::move(request);
  exchange->handlers = std::move(handlers);
  std::shared_ptr<Http1Connection> connection;
  if (!fresh) connection = take_idle(key, exchange->request);
  if (connection) {
    ++stats.reused;
  } else {
    connection = std::make_shared<Http1Connection>(shared_from_this(), key);
  }
  in_flight.emplace(id, connection);
  connection->begin(std::move(exchange));
  return id;
}

void Http1Pool::cancel(TransferId id) {
  const auto found = in_flight.find(id);
  if (found == in_flight.end()) return;
  const auto connection = found->second;
  in_flight.erase(found);
  connection->close();
}

void Http1Pool::resume(TransferId id) {
  asio::post(loop, [self = shared_from_this(), id] {
    const auto found = self->in_flight.find(id);
    if (found == self->in_flight.end()) return;
    const auto connection = found->second;
    connection->resume();
  });
}

std::shared_ptr<Http1Connection> Http1Pool::take_idle(const std::string& key,
                                                      const OutgoingRequest& request) {
  const auto found = idle.find(key);
  if (found == idle.end()) return nullptr;
  auto& connections = found->second;
  const auto newest = std::find_if(
      connections.rbegin(), connections.rend(),
      [&request](const auto& candidate) { return !candidate->has_carried_id_of(request); });
  if (newest == connections.rend()) return nullptr;
  std::shared_ptr<Http1Connection> connection = *newest;
  connections.erase(std::next(newest).base());
  return connection;
}

void Http1Pool::add_idle(const std::shared_ptr<Http1Connection>& connection) {
  auto& idle_connections = idle[connection->key()];
  idle_connections.push_back(connection);
  if (idle_connections.size() <= settings.max_idle_per_peer) return;
  const auto oldest = idle_connections.front();
  oldest->close();
}

void Http1Pool::remove_idle(const Http1Connection* connection) {
  const auto found = idle.find(connection->key());
  if (found == idle.end()) return;
  std::erase_if(found->second,
                [&](const auto& candidate) { return candidate.get() == connection; });
  if (found->second.empty()) idle.erase(found);
}

void Http1Pool::close_idle(const std::string& key) {
  const auto found = idle.find(key);
  if (found == idle.end()) return;
  const auto idle_connections = found->second;
  for (const auto& connection : idle_connections) connection->close();
}

void Http1Pool::close_idle_connections(const std::string& address) {
  const std::string tunnel_prefix = address + kTunnelKeySeparator;
  std::vector<std::string> keys{address};
  for (const auto& [key, connections] : idle) {
    if (key.rfind(tunnel_prefix, 0) == 0) keys.push_back(key);
  }
  for (const std::string& key : keys) close_idle(key);
}

void Http1Pool::close_idle_direct_connections() {
  std::vector<std::string> keys;
  for (const auto& [key, connections] : idle) {
    if (!is_tunnel_key(key)) keys.push_back(key);
  }
  for (const std::string& key : keys) close_idle(key);
}

void Http1Pool::close() {
  const auto active = std::exchange(in_flight, {});
  for (const auto& [id, connection] : active) connection->close();
  const auto idle_connections = std::exchange(idle, {});
  for (const auto& [address, connections] : idle_connections) {
    for (const auto& connection : connections) connection->close();
  }
}

}  // namespace shuntbank
