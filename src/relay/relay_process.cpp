#include "relay/relay_process.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/log.hpp"
#include "common/periodic.hpp"
#include "net/address.hpp"
#include "net/connection_probe.hpp"
#include "net/http1_client.hpp"
#include "net/http1_server.hpp"
#include "net/http_status.hpp"
#include "net/tunnel_server.hpp"
#include "relay/capacity_coordinator.hpp"
#include "relay/catalog_peers.hpp"
#include "relay/engine_update_bound.hpp"
#include "relay/intake_gate.hpp"
#include "relay/load_exchange.hpp"
#include "relay/quarantine_api.hpp"
#include "relay/quarantine_store.hpp"
#include "relay/relay_node.hpp"
#include "relay/role_coordinator.hpp"
#include "relay/stream_archive.hpp"
#include "relay/usage_exchange.hpp"
#include "relay/usage_reporter.hpp"
#include "relay/version_store.hpp"

namespace shuntbank::relay {
namespace {

constexpr Duration kStopCheckInterval = std::chrono::milliseconds(100);

/// Reserved at the end of the stop grace for aborting requests in flight.
constexpr Duration kStopMargin = std::chrono::milliseconds(600);

constexpr std::string_view kMetricsPath = "/metrics";

/// Logs that engines may stop accepting requests before all nodes learn that they are draining.
void check_drain_time(const RelaySettings& settings) {
  const Duration bound = std::max(engine_update_bound(settings.catalog, settings.exchange),
                                  hinted_update_bound(settings.exchange));
  if (bound < settings.catalog.drain_time) return;
  log_event(
      LogArea::kConfig, LogLevel::kWarning, "drain_time_short",
      {{"drain_ms", whole_ms(settings.catalog.drain_time)}, {"update_bound_ms", whole_ms(bound)}});
}

Http1ServerSettings listen_on(const std::string& address, std::size_t max_connections) {
  Http1ServerSettings settings;
  const auto endpoint = parse_endpoint(address);
  if (!endpoint) throw std::invalid_argument(address + ": " + endpoint.error());
  settings.listen = *endpoint;
  settings.max_connections = max_connections;
  return settings;
}

/// Connects from the address that other nodes know, as they accept tunnels from no other.
PooledHttpClientSettings engine_client_settings(const RelayAddresses& addresses) {
  PooledHttpClientSettings settings;
  const auto own = parse_endpoint(addresses.peers);
  if (own && !own->address().is_unspecified()) settings.local_address = own->address();
  return settings;
}

RoleCoordinatorSettings role_settings(const RelaySettings& settings) {
  RoleCoordinatorSettings roles = settings.roles;
  roles.changes.notice_lead = update_arrival_bound(settings.exchange);
  return roles;
}

CatalogSettings catalog_settings(const RelaySettings& settings) {
  CatalogSettings catalog = settings.catalog;
  catalog.join_existing = !settings.bootstrap;
  return catalog;
}

IntakeGateSettings intake_settings(const RelaySettings& settings) {
  IntakeGateSettings intake;
  intake.link_megabits_per_second = settings.catalog.link_megabits_per_second;
  return intake;
}

constexpr std::size_t kMaxCallerConnections = 2000;
constexpr std::size_t kMaxAdminConnections = 64;

}  // namespace

class RelayProcess::Impl {
 public:
  Impl(asio::io_context& loop, Runtime& runtime, const PlatformPorts& platform,
       const RelaySettings& settings, const RelayAddresses& addresses)
      : runtime_(runtime),
        store_(platform.store),
        duties_(platform.duties),
        settings_(settings),
        http_(loop, engine_client_settings(addresses)),
        probe_(loop),
        node_({runtime, http_, platform.dialect, &probe_}, settings),
        callers_(
            loop, listen_on(addresses.callers, kMaxCallerConnections),
            [this](HttpRequest request, const std::shared_ptr<ConnectionResponder>& responder) {
              node_.handle(std::move(request), responder);
            }),
        intake_(runtime, callers_, http_, node_.metrics(), intake_settings(settings)),
        catalog_(runtime, store_, platform.codec, node_, catalog_settings(settings)),
        quarantine_store_(runtime, store_, node_),
        lease_(runtime, store_, node_, settings.node, settings.lease),
        versions_(runtime, store_, node_, settings.bootstrap,
                  [this] { return lease_.authority().has_value(); }),
        streams_(runtime, store_, node_, settings.node),
        roles_({runtime, http_, platform.dialect}, lease_, node_, role_settings(settings),
               settings.stages) {
    if (duties_ != nullptr && settings.engine_ordering_enabled) {
      capacity_ = std::make_unique<CapacityCoordinator>(runtime, store_, lease_, *duties_, node_,
                                                        settings.node, settings.capacity);
    }
    if (addresses.peers.empty()) {
      // Without peers there are no revision hints, so this node reads the store itself.
      catalog_.set_readers({true, runtime.now()});
    } else {
      start_load_exchange(loop, addresses.peers);
      start_usage_reporting();
    }
    callers_.set_gate([this] { return intake_.admit(); });
    node_.on_configuration_adopted(
        [this](const RouteTable& table) { apply_request_limits(table); });
    node_.paths().on_path_lost([this] { http_.close_idle_direct_connections(); });
    node_.paths().on_engine_unreachable(
        [this](const std::string& address) { http_.close_idle_direct_connections(address); });
    node_.on_address_released(
        [this](const std::string& address) { http_.close_idle_connections(address); });
    for (const std::string& address : {addresses.ready, addresses.control, addresses.metrics}) {
      if (!address.empty()) serve_admin(loop, address, address == addresses.control);
    }
    check_drain_time(settings);
    log_event(LogArea::kProcess, LogLevel::kInfo, "started",
              {{"node", settings.node},
               {"zone", settings.zone.value()},
               {"callers", addresses.callers},
               {"ready", addresses.ready}});
  }

  void reload(const RelaySettings& settings) {
    settings_.stop_grace = settings.stop_grace;
    log_event(LogArea::kProcess, LogLevel::kInfo, "reloaded", {{"node", settings.node}});
  }

  void stop(std::function<void()> on_stopped) {
    if (stopping_) return;
    stopping_ = true;
    stopped_handler_ = std::move(on_stopped);
    stop_started_at_ = runtime_.now();
    abort_after_ = settings_.stop_grace - kStopMargin;
    node_.begin_stop();
    lease_.stop();
    callers_.disable_keep_alive();
    if (tunnels_) tunnels_->drain();
    log_event(LogArea::kProcess, LogLevel::kInfo, "stopping", {{"under_way", node_.in_flight()}});
    stop_timer_ =
        std::make_unique<Periodic>(runtime_, kStopCheckInterval, [this] { check_stopped(); });
  }

 private:
  void apply_request_limits(const RouteTable& table) {
    const RequestLimits& limits = table.configuration().limits;
    callers_.set_limits({limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout,
                         limits.idle_timeout});
  }

  void start_load_exchange(asio::io_context& loop, const std::string& address) {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) throw std::invalid_argument(address + ": " + endpoint.error());
    peers_ = make_peer_transport(loop, *endpoint, kMaxCacheSnapshot);
    serve_tunnels(loop);
    LoadExchangeSettings exchange = settings_.exchange;
    exchange.zone = settings_.zone;
    exchange.join_existing = !settings_.bootstrap;
    exchange_ =
        std::make_unique<LoadExchange>(runtime_, store_, *peers_, node_, settings_.node, exchange);
    catalog_peers_ = std::make_unique<CatalogPeers>(runtime_, catalog_, *exchange_);
    lease_.on_tick([this] { exchange_->remove_gone_nodes(); });
    exchange_->on_node_removed([this](const NodeId& gone) { streams_.remove(gone); });
  }

  void serve_tunnels(asio::io_context& loop) {
    tunnels_ = std::make_unique<TunnelServer>(
        loop, TunnelServerSettings{},
        [this](const std::string& target, const std::string& client_ip) {
          return resolve_tunnel(EngineId(target), client_ip);
        },
        [this](const std::string& target, bool refused, std::function<void(TunnelStatus)> reply) {
          node_.paths().on_connect_failed(EngineId(target), refused);
          node_.paths().verify([refused, reply = std::move(reply)](bool reaches_engines) {
            if (!reaches_engines) return reply(TunnelStatus::kUnavailable);
            reply(refused ? TunnelStatus::kRefused : TunnelStatus::kUnreachable);
          });
        });
    peers_->set_tunnel_handler(
        [this](asio::ip::tcp::socket socket) { tunnels_->serve(std::move(socket)); });
  }

  tl::expected<std::string, TunnelStatus> resolve_tunnel(const EngineId& engine,
                                                         const std::string& client_ip) {
    if (!node_.paths().peers().has_ip(client_ip)) {
      return tl::make_unexpected(TunnelStatus::kUnavailable);
    }
    if (const auto refusal = node_.paths().tunnel_refusal(engine)) {
      return tl::make_unexpected(*refusal);
    }
    const EngineView* view = node_.engines().find(engine);
    if (view == nullptr || view->record.draining) {
      return tl::make_unexpected(TunnelStatus::kTargetUnknown);
    }
    return view->record.address;
  }

  void start_usage_reporting() {
    if (duties_ == nullptr || settings_.usage.window_length == Duration::zero()) return;
    usage_ =
        std::make_unique<UsageExchange>(runtime_, *peers_, exchange_->peers(), exchange_->boot(),
                                        settings_.bootstrap, settings_.usage);
    exchange_->on_usage_message([this](std::string_view bytes) { usage_->on_message(bytes); });
    node_.on_request_started(
        [this](const TenantName& tenant) { usage_->on_request_started(tenant); });
    usage_reporter_ =
        std::make_unique<UsageReporter>(runtime_, store_, lease_, *duties_, *usage_,
                                        node_.metrics(), settings_.node, settings_.usage);
  }

  void serve_admin(asio::io_context& loop, const std::string& address, bool is_control) {
    servers_.push_back(std::make_unique<Http1Server>(
        loop, listen_on(address, kMaxAdminConnections),
        [this, is_control](const HttpRequest& request, const auto& responder) {
          if (request.path == kMetricsPath) return responder->respond(metrics());
          if (is_control && is_quarantine_path(request.path)) {
            return responder->respond(answer_quarantine(request, node_.quarantine()));
          }
          const bool ready = node_.ready();
          responder->respond({ready ? http_status::kOk : http_status::kServiceUnavailable, {}, ""});
        }));
  }

  HttpReply metrics() {
    RelayMetrics& metrics = node_.metrics();
    metrics.set_gauge("requests_under_way", static_cast<double>(node_.in_flight()));
    metrics.set_gauge("callers_connected", static_cast<double>(callers_.stats().open_connections));
    metrics.set_gauge("callers_rejected", static_cast<double>(callers_.stats().rejected));
    metrics.set_gauge("engine_connections_opened", static_cast<double>(http_.stats().opened));
    metrics.set_gauge("engine_surplus_answers", static_cast<double>(http_.stats().surplus_answers));
    metrics.set_gauge("log_lines_left_out", static_cast<double>(dropped_log_lines()));
    const EngineReachability& reachability = node_.paths().reachability();
    metrics.set_gauge("engines_unreachable",
                      static_cast<double>(reachability.broken_paths().size()));
    metrics.set_gauge("engine_silence_seconds",
                      to_seconds(reachability.since_last_answer(runtime_.now())));
    metrics.set_gauge("configuration_age_seconds", to_seconds(catalog_.configuration_age()));
    metrics.set_gauge("engines_age_seconds", to_seconds(catalog_.engines().age()));
    metrics.set_gauge("engines_behind_seconds", to_seconds(catalog_.engines().behind()));
    metrics.set_gauge("tunnels_opened", static_cast<double>(http_.stats().tunnels_opened));
    if (tunnels_) {
      metrics.set_gauge("tunnels_served", static_cast<double>(tunnels_->stats().opened));
      metrics.set_gauge("tunnels_rejected", static_cast<double>(tunnels_->stats().rejected));
      metrics.set_gauge("tunnels_open", static_cast<double>(tunnels_->stats().open));
    }
    if (exchange_) set_exchange_gauges(metrics);
    if (usage_)
      metrics.set_gauge("usage_left_out", static_cast<double>(usage_->dropped_requests()));
    HttpReply reply;
    reply.status = http_status::kOk;
    reply.headers.add("Content-Type", "text/plain; version=0.0.4");
    reply.body = metrics.to_text();
    return reply;
  }

  void set_exchange_gauges(RelayMetrics& metrics) const {
    const ZoneExchange& zones = exchange_->zones();
    metrics.set_gauge("nodes_known", static_cast<double>(exchange_->node_count()));
    metrics.set_gauge("fleet_view_nodes", static_cast<double>(zones.view_node_count()));
    metrics.set_gauge("fleet_view_age_seconds", to_seconds(runtime_.now() - zones.last_view_at()));
    metrics.set_gauge("collecting", zones.collecting() ? 1 : 0);
  }

  void check_stopped() {
    const Duration elapsed = runtime_.now() - stop_started_at_;
    if (!drained_ && elapsed >= std::min(settings_.stop_listening_after, abort_after_)) {
      drained_ = true;
      // Connections on which a request is being read stay open.
      node_.refuse_unfinished_by(stop_started_at_ + abort_after_);
      callers_.drain();
    }
    if (elapsed >= abort_after_) node_.abort_all();
    const std::size_t tunnels = tunnels_ ? tunnels_->stats().open : 0;
    const bool idle = drained_ && callers_.stats().open_connections == 0 && tunnels == 0;
    if (!idle && elapsed < abort_after_) return;
    const auto handler = std::exchange(stopped_handler_, nullptr);
    if (!handler) return;
    if (usage_) usage_->send_final_counts();
    log_event(LogArea::kProcess, LogLevel::kInfo, "stopped",
              {{"under_way", node_.in_flight()}, {"after_s", to_seconds(elapsed)}});
    // The last answers may not have reached the kernel yet.
    call_after(runtime_, kStopCheckInterval, handler);
  }

  Runtime& runtime_;
  store::ObjectStore& store_;
  DutyService* duties_;
  RelaySettings settings_;
  PooledHttpClient http_;
  SocketProbe probe_;
  RelayNode node_;
  Http1Server callers_;
  IntakeGate intake_;
  Catalog catalog_;
  QuarantineStore quarantine_store_;
  LeaseKeeper lease_;
  VersionStore versions_;
  StreamArchive streams_;
  RoleCoordinator roles_;
  std::unique_ptr<TunnelServer> tunnels_;
  std::unique_ptr<PeerTransport> peers_;
  std::unique_ptr<LoadExchange> exchange_;
  std::unique_ptr<CatalogPeers> catalog_peers_;
  std::unique_ptr<CapacityCoordinator> capacity_;
  std::unique_ptr<UsageExchange> usage_;
  std::unique_ptr<UsageReporter> usage_reporter_;
  std::vector<std::unique_ptr<Http1Server>> servers_;
  bool stopping_ = false;
  bool drained_ = false;
  MonotonicTime stop_started_at_{};
  Duration abort_after_{};  ///< Since then.
  std::function<void()> stopped_handler_;
  std::unique_ptr<Periodic> stop_timer_;
};

RelayProcess::RelayProcess(asio::io_context& loop, Runtime& runtime, const PlatformPorts& platform,
                           const RelaySettings& settings, const RelayAddresses& addresses)
    : impl_(std::make_unique<Impl>(loop, runtime, platform, settings, addresses)) {}

RelayProcess::~RelayProcess() = default;

void RelayProcess::reload(const RelaySettings& settings) {
  impl_->reload(settings);
}

void RelayProcess::stop(std::function<void()> on_stopped) {
  impl_->stop(std::move(on_stopped));
}

}  // namespace shuntbank::relay
