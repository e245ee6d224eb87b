#include "relay/configuration_exchange.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "relay/malformed_message.hpp"

namespace shuntbank::relay {
namespace {

/// Kinds of nodes that are asked in turn in a large fleet.
constexpr std::uint64_t kTurns = 3;

void take(const tl::expected<std::string, std::string>& answer,
          const std::function<void(ConfigurationMessage)>& handler) {
  if (!answer || answer->empty()) return;
  auto message = decode_configuration(*answer);
  if (message) return handler(std::move(*message));
  log_malformed_message("configuration", message.error());
}

}  // namespace

ConfigurationExchange::ConfigurationExchange(Runtime& own_runtime, PeerTransport& own_transport,
                                             const PeerDirectory& own_peers,
                                             const ZoneExchange& own_zones,
                                             const ConfigurationExchangeSettings& own_settings)
    : runtime(own_runtime),
      transport(own_transport),
      peers(own_peers),
      zones(own_zones),
      settings(own_settings) {}

ConfigurationExchange::~ConfigurationExchange() {
  *this->alive = false;
}

std::string ConfigurationExchange::answer(std::string_view call) const {
  if (!this->asked) return "";
  const auto decoded = decode_configuration_call(call);
  if (decoded) return this->asked(*decoded);
  log_malformed_message("configuration_call", decoded.error());
  return "";
}

void ConfigurationExchange::note_peer(const NodeId& peer, std::uint64_t revision) {
  this->heard[peer] = {revision, this->runtime.now()};
}

void ConfigurationExchange::ask(const ConfigurationCall& call, bool by_zones,
                                std::function<void(ConfigurationMessage)> handler) {
  if (this->asking) return;
  const auto addresses = this->addresses_to_ask(by_zones);
  if (addresses.empty()) return;
  const std::size_t drawn = random_number(this->runtime) % addresses.size();
  this->asking = true;
  this->transport.call(
      addresses[drawn], encode(call), this->settings.answer_begins,
      [this, living = this->alive, asked_at = this->runtime.now(),
       handler = std::move(handler)](const tl::expected<std::string, std::string>& answer) {
        if (!*living) return;
        this->asking = false;
        log_event(LogArea::kControl, LogLevel::kInfo, "peer_configuration",
                  {{"bytes", answer ? answer->size() : 0},
                   {"why", answer ? "" : answer.error()},
                   {"took_ms", whole_ms(this->runtime.now() - asked_at)}});
        take(answer, handler);
      });
}

/// In a small fleet those that told of the newest one. In a large one by turns the collector, which
/// reads the store and has the largest machine of the zone; any node of the zone, since the
/// collector may lack it; and any node at all, since the store may turn the whole zone away.
std::vector<std::string> ConfigurationExchange::addresses_to_ask(bool by_zones) {
  if (!by_zones) return this->addresses_with_the_newest();
  const std::uint64_t turn = this->asks++ % kTurns;
  const PeerRecord* collector = this->zones.source();
  if (turn == 0 && collector != nullptr) return {collector->address};
  return turn == kTurns - 1 ? this->peers.addresses() : this->peers.near_addresses();
}

std::vector<std::string> ConfigurationExchange::addresses_with_the_newest() const {
  const MonotonicTime since = this->runtime.now() - this->settings.peer_life;
  std::uint64_t newest = 0;
  for (const auto& [name, peer] : this->heard) {
    if (peer.at >= since) newest = std::max(newest, peer.revision);
  }
  std::vector<std::string> having;
  for (const auto& [name, peer] : this->heard) {
    const PeerRecord* record = this->peers.find(name);
    if (record == nullptr || peer.at < since || peer.revision < newest) continue;
    having.push_back(record->address);
  }
  return having.empty() ? this->peers.near_addresses() : having;
}

}  // namespace shuntbank::relay
