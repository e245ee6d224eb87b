#include "node/node_server.hpp"

#include <utility>

#include "common/log.hpp"
#include "net/address.hpp"
#include "net/asio_runtime.hpp"
#include "protocol/messages.hpp"

namespace shuntbank {
namespace {

/// Accepts bodies above the limit, so that they get an error reply instead of a closed connection.
constexpr std::size_t kBodySlackFactor = 4;

HttpServerSettings caller_server(const NodeSettings& settings) {
  HttpServerSettings server;
  server.listen = *parse_endpoint(settings.callers_listen);
  server.max_connections = settings.max_connections;
  server.max_body = settings.max_body_bytes * kBodySlackFactor;
  server.idle_timeout = settings.caller_idle_timeout;
  server.write_timeout = settings.caller_write_timeout;
  return server;
}

HttpServerSettings operator_server(const NodeSettings& settings) {
  HttpServerSettings server;
  server.listen = *parse_endpoint(settings.operators_listen);
  server.max_body = kMaxFrame;
  return server;
}

void log_listening(const char* interface, const std::string& address) {
  log_event(LogArea::kProcess, LogLevel::kInfo, "listening",
            {{"interface", interface}, {"address", address}});
}

}  // namespace

class NodeServer::Impl {
 public:
  Impl(asio::io_context& loop, const NodeSettings& settings, std::function<void()> on_left)
      : runtime_(loop),
        http_(loop),
        peers_(make_peer_transport(loop, *parse_endpoint(settings.cluster_listen), kMaxFrame)),
        node_({runtime_, http_, *peers_}, settings, std::move(on_left)),
        callers_(loop, caller_server(settings),
                 [this](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
                   node_.handle_caller(std::move(request), responder);
                 }),
        operators_(
            loop, operator_server(settings),
            [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
              node_.handle_operator(request, responder);
            }) {
    node_.on_close_callers([this] { callers_.close(); });
    log_listening("callers", format_endpoint(callers_.local_endpoint()));
    log_listening("operators", format_endpoint(operators_.local_endpoint()));
    log_listening("cluster", peers_->local_address());
  }

  void leave() { node_.leave(); }

 private:
  AsioRuntime runtime_;
  CurlHttpClient http_;
  std::unique_ptr<PeerTransport> peers_;
  Node node_;
  HttpServer callers_;
  HttpServer operators_;
};

NodeServer::NodeServer(asio::io_context& loop, const NodeSettings& settings,
                       std::function<void()> on_left)
    : impl_(std::make_unique<Impl>(loop, settings, std::move(on_left))) {}

NodeServer::~NodeServer() = default;

void NodeServer::leave() {
  impl_->leave();
}

Findings check_node_settings(const NodeSettings& settings) {
  Findings findings;
  const auto check = [&findings](const char* option, const std::string& text) {
    const auto endpoint = parse_endpoint(text);
    if (!endpoint) findings.add(option, endpoint.error());
  };
  check("--platform", settings.platform);
  check("--callers-listen", settings.callers_listen);
  check("--operators-listen", settings.operators_listen);
  check("--cluster-listen", settings.cluster_listen);
  return findings;
}

}  // namespace shuntbank
