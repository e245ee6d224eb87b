#include "relay/configuration_exchange.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "relay/malformed_message.hpp"

namespace shuntbank::relay {
namespace {

/// Groups of nodes that requests rotate through in a large fleet.
constexpr std::uint64_t kTargetKinds = 3;

void deliver_answer(const tl::expected<std::string, std::string>& answer,
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
  if (!this->request_handler) return "";
  const auto decoded = decode_configuration_call(call);
  if (decoded) return this->request_handler(*decoded);
  log_malformed_message("configuration_call", decoded.error());
  return "";
}

void ConfigurationExchange::record_peer_revision(const NodeId& peer, std::uint64_t revision) {
  this->peer_revisions[peer] = {revision, this->runtime.now()};
}

void ConfigurationExchange::request(const ConfigurationCall& call, bool uses_zones,
                                    std::function<void(ConfigurationMessage)> handler) {
  if (this->request_pending) return;
  const auto addresses = this->candidate_addresses(uses_zones);
  if (addresses.empty()) return;
  const std::size_t index = random_number(this->runtime) % addresses.size();
  this->request_pending = true;
  this->transport.call(
      addresses[index], encode(call), this->settings.first_byte_timeout,
      [this, living = this->alive, asked_at = this->runtime.now(),
       handler = std::move(handler)](const tl::expected<std::string, std::string>& answer) {
        if (!*living) return;
        this->request_pending = false;
        log_event(LogArea::kControl, LogLevel::kInfo, "peer_configuration",
                  {{"bytes", answer ? answer->size() : 0},
                   {"why", answer ? "" : answer.error()},
                   {"took_ms", whole_ms(this->runtime.now() - asked_at)}});
        deliver_answer(answer, handler);
      });
}

/// In a small fleet the nodes that reported the newest revision. In a large one, in rotation: the
/// collector, which reads the store; the nodes of the zone, as the collector may lag; and all
/// nodes, as the store may be unreachable from the whole zone.
std::vector<std::string> ConfigurationExchange::candidate_addresses(bool uses_zones) {
  if (!uses_zones) return this->newest_revision_addresses();
  const std::uint64_t turn = this->request_count++ % kTargetKinds;
  const PeerRecord* collector = this->zones.source();
  if (turn == 0 && collector != nullptr) return {collector->address};
  return turn == kTargetKinds - 1 ? this->peers.addresses() : this->peers.nearby_addresses();
}

std::vector<std::string> ConfigurationExchange::newest_revision_addresses() const {
  const MonotonicTime since = this->runtime.now() - this->settings.peer_timeout;
  std::uint64_t newest = 0;
  for (const auto& [name, peer] : this->peer_revisions) {
    if (peer.at >= since) newest = std::max(newest, peer.revision);
  }
  std::vector<std::string> addresses;
  for (const auto& [name, peer] : this->peer_revisions) {
    const PeerRecord* record = this->peers.find(name);
    if (record == nullptr || peer.at < since || peer.revision < newest) continue;
    addresses.push_back(record->address);
  }
  return addresses.empty() ? this->peers.nearby_addresses() : addresses;
}

}  // namespace shuntbank::relay
