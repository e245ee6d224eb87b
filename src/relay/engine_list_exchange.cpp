#include "relay/engine_list_exchange.hpp"

#include <utility>

#include "common/log.hpp"
#include "relay/malformed_message.hpp"

namespace shuntbank::relay {
namespace {

/// Of so many attempts without an update, the last asks any node. The others stay in the zone, as
/// lists are large and traffic between zones is expensive.
constexpr std::size_t kAttemptsPerRound = 6;

}  // namespace

EngineListExchange::EngineListExchange(Runtime& own_runtime, PeerTransport& own_transport,
                                       const PeerDirectory& own_peers,
                                       const ZoneExchange& own_zones, Duration own_timeout)
    : runtime(own_runtime),
      transport(own_transport),
      peers(own_peers),
      zones(own_zones),
      first_byte_timeout(own_timeout) {}

EngineListExchange::~EngineListExchange() {
  *this->alive = false;
}

std::string EngineListExchange::answer(std::string_view call) const {
  if (!this->request_handler) return "";
  const auto decoded = decode_engine_list_call(call);
  if (decoded) return this->request_handler(*decoded);
  log_malformed_message("engine_list_call", decoded.error());
  return "";
}

void EngineListExchange::request(const EngineListCall& call, UpdateHandler handler) {
  if (this->request_pending) return;
  const auto addresses = this->candidate_addresses();
  if (addresses.empty()) return handler(nullptr);
  const std::size_t index = random_number(this->runtime) % addresses.size();
  this->request_pending = true;
  ++this->attempts;
  this->transport.call(
      addresses[index], encode(call), this->first_byte_timeout,
      [this, living = this->alive, asked_at = this->runtime.now(),
       handler = std::move(handler)](const tl::expected<std::string, std::string>& answer) {
        if (*living) this->on_answer(answer, asked_at, handler);
      });
}

void EngineListExchange::on_answer(const tl::expected<std::string, std::string>& answer,
                                   MonotonicTime asked_at, const UpdateHandler& handler) {
  this->request_pending = false;
  log_event(LogArea::kControl, LogLevel::kInfo, "peer_engines",
            {{"bytes", answer ? answer->size() : 0},
             {"why", answer ? "" : answer.error()},
             {"attempts", this->attempts},
             {"took_ms", whole_ms(this->runtime.now() - asked_at)}});
  if (!answer || answer->empty()) return handler(nullptr);
  const auto update = decode_engine_list(*answer);
  if (!update) {
    log_malformed_message("engine_list", update.error());
    return handler(nullptr);
  }
  this->attempts = 0;
  handler(&*update);
}

/// The collector, which reads the store, alternates with the nodes of the zone, as it may lag or be
/// busy. The store may be unreachable from the whole zone, which then depends on its collector's
/// requests to other zones.
std::vector<std::string> EngineListExchange::candidate_addresses() const {
  const std::size_t turn = this->attempts % kAttemptsPerRound;
  if (turn == kAttemptsPerRound - 1) return this->peers.addresses();
  if (this->zones.is_designated_collector()) {
    auto collectors = this->zones.other_collector_addresses();
    if (!collectors.empty()) return collectors;
  }
  const PeerRecord* collector = this->zones.source();
  if (turn % 2 == 0 && collector != nullptr) return {collector->address};
  return this->peers.nearby_addresses();
}

}  // namespace shuntbank::relay
