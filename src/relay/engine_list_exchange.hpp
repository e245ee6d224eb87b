/// @file
/// Transfers lists of engines between the nodes of a large fleet. If each node read the list from
/// the store, the time that takes would grow with the number of nodes and engines until the store
/// no longer had the changes since.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/runtime.hpp"
#include "net/peer_transport.hpp"
#include "protocol/engine_list_message.hpp"
#include "relay/exchange_settings.hpp"
#include "relay/peer_directory.hpp"
#include "relay/zone_exchange.hpp"

namespace shuntbank::relay {

/// One node's side of the exchange of engine lists.
class EngineListExchange {
 public:
  /// Gets a peer's answer; null: no answer, or nothing newer.
  using UpdateHandler = std::function<void(const EngineListUpdate*)>;

  /// All references outlive this.
  EngineListExchange(Runtime& runtime, PeerTransport& transport, const PeerDirectory& peers,
                     const ZoneExchange& zones, Duration first_byte_timeout);
  ~EngineListExchange();
  EngineListExchange(const EngineListExchange&) = delete;
  EngineListExchange& operator=(const EngineListExchange&) = delete;

  /// Sets the handler that answers requests of other nodes with an encoded update; empty: nothing
  /// newer, or the caller should ask another node.
  void on_request(std::function<std::string(const EngineListCall&)> handler) {
    this->request_handler = std::move(handler);
  }

  /// @return the answer to another node's call; may be empty.
  std::string answer(std::string_view call) const;

  /// Requests an update from another node. Does nothing while a request is pending.
  void request(const EngineListCall& call, UpdateHandler handler);

 private:
  std::vector<std::string> candidate_addresses() const;
  void on_answer(const tl::expected<std::string, std::string>& answer, MonotonicTime asked_at,
                 const UpdateHandler& handler);

  Runtime& runtime;
  PeerTransport& transport;
  const PeerDirectory& peers;
  const ZoneExchange& zones;
  Duration first_byte_timeout;
  std::function<std::string(const EngineListCall&)> request_handler;
  std::size_t attempts = 0;  ///< Since the last update.
  bool request_pending = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
