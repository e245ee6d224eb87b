// Relay processes on real sockets, of which one has no direct path to any engine.

#include <criterion/criterion.h>
#include <unistd.h>

#include <asio.hpp>

#include "net/address.hpp"
#include "net/asio_runtime.hpp"
#include "net/http1_client.hpp"
#include "net/http1_server.hpp"
#include "relay/relay_process.hpp"
#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using nlohmann::json;
using Tcp = asio::ip::tcp;

namespace {

/// The address is this process's own, as another test may take the port before it is bound.
std::string free_address() {
  constexpr int kAddressesPerOctet = 254;
  const int process = getpid();
  const std::string own_address = "127." + std::to_string(1 + process % kAddressesPerOctet) + "." +
                                  std::to_string(process / kAddressesPerOctet % 256) + ".1";
  asio::io_context loop;
  const asio::ip::tcp::acceptor chosen(loop, {asio::ip::make_address(own_address), 0});
  return format_endpoint(chosen.local_endpoint());
}

/// Codec that maps all engine addresses to one, if it is set.
class RedirectingCodec : public TestCodec {
 public:
  tl::expected<relay::EngineRecord, std::string> engine(
      const store::StoredObject& object) const override {
    auto record = TestCodec::engine(object);
    if (record && !this->address.empty()) record->address = this->address;
    return record;
  }

  std::string address;
};

/// Listens with a full queue, so that connections to it hang.
class HangingAddress {
 public:
  explicit HangingAddress(asio::io_context& loop) : acceptor(loop), queued(loop) {
    this->acceptor.open(Tcp::v4());
    this->acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    this->acceptor.listen(0);
    this->queued.connect(this->acceptor.local_endpoint());
  }

  std::string text() const { return format_endpoint(this->acceptor.local_endpoint()); }

 private:
  Tcp::acceptor acceptor;
  Tcp::socket queued;
};

/// Two nodes and one engine. The first node finds all engines at `engine_address`.
struct CutSite {
  explicit CutSite(const std::string& engine_address) : store(runtime), client(loop, {}) {
    Http1ServerSettings listen;
    listen.listen = {asio::ip::make_address("127.0.0.1"), 0};
    for (const char* id : {"e1", "e2", "e3"}) {
      this->engines.push_back(std::make_unique<Http1Server>(
          this->loop, listen, [](const HttpRequest& request, const auto& responder) {
            const std::string request_id(request.headers.get("id"));
            responder->respond({200, RelayFixture::sealed_headers(request_id), "whole"});
          }));
      const std::string address = format_endpoint(this->engines.back()->local_endpoint());
      this->store.put("engines", id, {{"address", address}});
    }
    this->store.put("routes", "main", {{"version", 1}});
    this->cut_codec.address = engine_address;
    this->add_node("n1", this->cut_codec);
    this->add_node("n2", this->codec);
    for (const relay::RelayAddresses& node : this->addresses) {
      while (this->get(node.ready, "/").status != 200) continue;
    }
    this->wait_for_peers();
  }

  void add_node(const std::string& name, const relay::CatalogCodec& node_codec) {
    relay::RelaySettings settings;
    settings.node = name;
    settings.exchange.peers.initial_list_delay = 1ms;
    relay::RelayAddresses own;
    own.callers = free_address();
    own.ready = free_address();
    own.peers = free_address();
    const relay::PlatformPorts platform{this->store, node_codec, this->dialect};
    this->nodes.push_back(
        std::make_unique<relay::RelayProcess>(this->loop, this->runtime, platform, settings, own));
    this->addresses.push_back(own);
  }

  void wait_for_peers() {
    const std::string known = "name=\"nodes_known\"} 2";
    for (const relay::RelayAddresses& node : this->addresses) {
      while (this->get(node.ready, "/metrics").body.find(known) == std::string::npos) continue;
    }
  }

  HttpReply get(const std::string& address, const std::string& path) {
    OutgoingRequest request;
    request.url = "http://" + address + path;
    request.headers = {{"Host", "site"}, {"id", "r1"}};
    std::optional<HttpReply> answer;
    this->client.fetch(std::move(request),
                       [&answer](const tl::expected<HttpReply, TransferError>& reply) {
                         answer = reply ? *reply : HttpReply{};
                       });
    while (!answer) this->loop.run_one();
    return *answer;
  }

  asio::io_context loop;
  AsioRuntime runtime{loop};
  MemoryStore store;
  TestDialect dialect;
  TestCodec codec;
  RedirectingCodec cut_codec;
  std::vector<std::unique_ptr<Http1Server>> engines;
  PooledHttpClient client;
  std::vector<relay::RelayAddresses> addresses;
  std::vector<std::unique_ptr<relay::RelayProcess>> nodes;
};

}  // namespace

// Guards against refusing callers while other nodes reach the engines.
Test(engine_paths_process, serves_callers_while_its_connections_to_engines_are_refused) {
  CutSite site(free_address());
  for (int i = 0; i < 5; ++i) {
    const HttpReply answer = site.get(site.addresses[0].callers, "/once/x");
    cr_assert_eq(answer.status, 200, "request %d: %d", i, answer.status);
    cr_assert_eq(answer.body, "whole");
  }
}

// Guards against requests that wait for engines which this node cannot connect to.
Test(engine_paths_process, serves_callers_while_its_connections_to_engines_hang) {
  asio::io_context loop;
  const HangingAddress hanging(loop);
  CutSite site(hanging.text());
  for (int i = 0; i < 5; ++i) {
    const HttpReply answer = site.get(site.addresses[0].callers, "/once/x");
    cr_assert_eq(answer.status, 200, "request %d: %d", i, answer.status);
    cr_assert_eq(answer.body, "whole");
  }
}
