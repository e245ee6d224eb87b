#include "relay/support/exchanging_fleet.hpp"

namespace shuntbank::testing {

MockTransport::MockTransport(MockNetwork& shared, std::string own)
    : address(std::move(own)), network(shared) {
  this->network.nodes[this->address] = this;
}

void MockTransport::send(const std::string& to, std::string_view text) {
  ++this->sent;
  const auto end = this->network.nodes.find(to);
  if (end == this->network.nodes.end() || !this->network.connected(this->address, to)) return;
  if (end->second->zone != this->zone) ++this->network.cross_zone_messages;
  end->second->received_bytes += text.size();
  end->second->datagram_handler(text, this->address);
}

void MockTransport::call(const std::string& to, std::string text, Duration, AnswerHandler handler) {
  const auto end = this->network.nodes.find(to);
  if (end == this->network.nodes.end() || !this->network.connected(this->address, to))
    return handler(tl::make_unexpected(std::string("silent")));
  if (this->network.knows_call && !this->network.knows_call(text)) return handler(std::string());
  end->second->call_handler(std::move(text), [&](std::string answer) { handler(answer); });
}

}  // namespace shuntbank::testing
