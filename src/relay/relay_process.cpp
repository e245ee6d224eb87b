#include "relay/relay_process.hpp"

#include <utility>
#include <vector>

#include "common/log.hpp"
#include "common/periodic.hpp"
#include "net/address.hpp"
#include "net/http1_client.hpp"
#include "net/http1_server.hpp"
#include "net/http_status.hpp"
#include "relay/capacity_coordinator.hpp"
#include "relay/load_exchange.hpp"
#include "relay/quarantine_api.hpp"
#include "relay/quarantine_store.hpp"
#include "relay/relay_node.hpp"
#include "relay/role_coordinator.hpp"
#include "relay/usage_exchange.hpp"
#include "relay/usage_reporter.hpp"

namespace shuntbank::relay {
namespace {

/// Between two looks at whether a stopping process has become idle.
constexpr Duration kStopTick = std::chrono::milliseconds(100);

/// Left of the grace for giving up what is under way.
constexpr Duration kStopMargin = std::chrono::milliseconds(600);

constexpr std::string_view kMetricsPath = "/metrics";

Http1ServerSettings listen_on(const std::string& address, std::size_t max_connections) {
  Http1ServerSettings settings;
  const auto endpoint = parse_endpoint(address);
  if (!endpoint) throw std::invalid_argument(address + ": " + endpoint.error());
  settings.listen = *endpoint;
  settings.max_connections = max_connections;
  return settings;
}

/// Between two looks at who reads the store. A reader that is silent is noticed that much later.
constexpr Duration kReadersTick = std::chrono::milliseconds(250);

CatalogSettings catalog_settings(const RelaySettings& settings) {
  CatalogSettings catalog = settings.catalog;
  catalog.joins = !settings.first_start;
  return catalog;
}

constexpr std::size_t kMaxCallers = 2000;
constexpr std::size_t kMaxWatchers = 64;

}  // namespace

class RelayProcess::Impl {
 public:
  Impl(asio::io_context& loop, Runtime& runtime, const PlatformPorts& platform,
       const RelaySettings& settings, const RelayAddresses& addresses)
      : runtime_(runtime),
        store_(platform.store),
        duties_(platform.duties),
        settings_(settings),
        http_(loop, {}),
        node_({runtime, http_, platform.dialect}, settings),
        callers_(
            loop, listen_on(addresses.callers, kMaxCallers),
            [this](HttpRequest request, const std::shared_ptr<ConnectionResponder>& responder) {
              node_.handle(std::move(request), responder);
            }),
        catalog_(runtime, store_, platform.codec, node_, catalog_settings(settings)),
        quarantine_store_(runtime, store_, node_),
        lease_(runtime, store_, node_, settings.node, settings.lease),
        roles_({runtime, http_, platform.dialect}, lease_, node_, settings.roles, settings.stages) {
    if (duties_ != nullptr && settings.orders_engines) {
      capacity_ = std::make_unique<CapacityCoordinator>(runtime, store_, lease_, *duties_, node_,
                                                        settings.node, settings.capacity);
    }
    if (addresses.peers.empty()) {
      // Nobody will ever give hints.
      catalog_.set_readers({true, runtime.now()});
    } else {
      exchange_load(loop, addresses.peers);
      report_usage();
    }
    node_.on_adopted([this](const RouteTable& table) { take_limits(table); });
    node_.on_address_free([this](const std::string& address) { http_.forget_peer(address); });
    for (const std::string& address : {addresses.ready, addresses.control, addresses.metrics}) {
      if (!address.empty()) serve_state(loop, address, address == addresses.control);
    }
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
    stopped_ = std::move(on_stopped);
    stop_began_ = runtime_.now();
    node_.begin_stop();
    lease_.stop();
    callers_.close_after_answers();
    log_event(LogArea::kProcess, LogLevel::kInfo, "stopping", {{"under_way", node_.under_way()}});
    stop_timer_ = std::make_unique<Periodic>(runtime_, kStopTick, [this] { stop_tick(); });
  }

 private:
  void take_limits(const RouteTable& table) {
    const RequestLimits& limits = table.configuration().limits;
    callers_.set_limits({limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout,
                         limits.idle_timeout});
  }

  void exchange_load(asio::io_context& loop, const std::string& address) {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) throw std::invalid_argument(address + ": " + endpoint.error());
    peers_ = make_peer_transport(loop, *endpoint, kMaxCacheSnapshot);
    LoadExchangeSettings exchange = settings_.exchange;
    exchange.zone = settings_.zone;
    exchange.joins = !settings_.first_start;
    exchange_ =
        std::make_unique<LoadExchange>(runtime_, store_, *peers_, node_, settings_.node, exchange);
    exchange_->connect_revisions(
        [this] { return catalog_.progress(); },
        [this](const CatalogRevisions& revisions) { catalog_.hint(revisions); });
    exchange_->on_configuration_asked(
        [this](const ConfigurationCall& call) { return catalog_.configuration_for_peer(call); });
    catalog_.set_asking([this] {
      exchange_->ask_configuration(
          catalog_.configuration_call(),
          [this](ConfigurationMessage message) { catalog_.take_from_peer(std::move(message)); });
    });
    readers_tick_ = std::make_unique<Periodic>(
        runtime_, kReadersTick, [this] { catalog_.set_readers(exchange_->readers()); });
  }

  void report_usage() {
    if (duties_ == nullptr || settings_.usage.window == Duration::zero()) return;
    usage_ =
        std::make_unique<UsageExchange>(runtime_, *peers_, exchange_->peers(), exchange_->boot(),
                                        settings_.first_start, settings_.usage);
    exchange_->on_usage_message([this](std::string_view bytes) { usage_->on_message(bytes); });
    node_.on_began([this](const TenantName& tenant) { usage_->on_began(tenant); });
    usage_reporter_ =
        std::make_unique<UsageReporter>(runtime_, store_, lease_, *duties_, *usage_,
                                        node_.metrics(), settings_.node, settings_.usage);
  }

  void serve_state(asio::io_context& loop, const std::string& address, bool operators) {
    servers_.push_back(std::make_unique<Http1Server>(
        loop, listen_on(address, kMaxWatchers),
        [this, operators](const HttpRequest& request, const auto& responder) {
          if (request.path == kMetricsPath) return responder->respond(metrics());
          if (operators && is_quarantine_path(request.path)) {
            return responder->respond(answer_quarantine(request, node_.quarantine()));
          }
          const bool ready = node_.ready();
          responder->respond({ready ? http_status::kOk : http_status::kServiceUnavailable, {}, ""});
        }));
  }

  HttpReply metrics() {
    RelayMetrics& metrics = node_.metrics();
    metrics.set_gauge("requests_under_way", static_cast<double>(node_.under_way()));
    metrics.set_gauge("callers_connected", static_cast<double>(callers_.stats().open_connections));
    metrics.set_gauge("callers_rejected", static_cast<double>(callers_.stats().rejected));
    metrics.set_gauge("engine_connections_opened", static_cast<double>(http_.stats().opened));
    metrics.set_gauge("engine_surplus_answers", static_cast<double>(http_.stats().surplus_answers));
    metrics.set_gauge("log_lines_left_out", static_cast<double>(dropped_log_lines()));
    metrics.set_gauge("configuration_age_seconds", to_seconds(catalog_.configuration_age()));
    metrics.set_gauge("engines_age_seconds", to_seconds(catalog_.engines_age()));
    if (exchange_) show_exchange(metrics);
    if (usage_) metrics.set_gauge("usage_left_out", static_cast<double>(usage_->left_out()));
    HttpReply reply;
    reply.status = http_status::kOk;
    reply.headers.add("Content-Type", "text/plain; version=0.0.4");
    reply.body = metrics.to_text();
    return reply;
  }

  void show_exchange(RelayMetrics& metrics) const {
    const ZoneExchange& zones = exchange_->zones();
    metrics.set_gauge("nodes_known", static_cast<double>(exchange_->nodes()));
    metrics.set_gauge("fleet_view_nodes", static_cast<double>(zones.nodes_seen()));
    metrics.set_gauge("fleet_view_age_seconds", to_seconds(runtime_.now() - zones.view_at()));
    metrics.set_gauge("collecting", zones.collecting() ? 1 : 0);
  }

  void stop_tick() {
    const Duration elapsed = runtime_.now() - stop_began_;
    const Duration last = settings_.stop_grace - kStopMargin;
    if (!drained_ && elapsed >= std::min(settings_.stop_listening_after, last)) {
      drained_ = true;
      callers_.drain();
    }
    if (elapsed >= last) node_.give_up_all();
    const bool idle = drained_ && callers_.stats().open_connections == 0;
    if (!idle && elapsed < last) return;
    const auto stopped = std::exchange(stopped_, nullptr);
    if (!stopped) return;
    if (usage_) usage_->tell_last();
    log_event(LogArea::kProcess, LogLevel::kInfo, "stopped",
              {{"under_way", node_.under_way()}, {"after_s", to_seconds(elapsed)}});
    // The last answers are still on their way to the kernel.
    call_after(runtime_, kStopTick, stopped);
  }

  Runtime& runtime_;
  store::ObjectStore& store_;
  DutyService* duties_;
  RelaySettings settings_;
  PooledHttpClient http_;
  RelayNode node_;
  Http1Server callers_;
  Catalog catalog_;
  QuarantineStore quarantine_store_;
  LeaseKeeper lease_;
  RoleCoordinator roles_;
  std::unique_ptr<PeerTransport> peers_;
  std::unique_ptr<LoadExchange> exchange_;
  std::unique_ptr<Periodic> readers_tick_;
  std::unique_ptr<CapacityCoordinator> capacity_;
  std::unique_ptr<UsageExchange> usage_;
  std::unique_ptr<UsageReporter> usage_reporter_;
  std::vector<std::unique_ptr<Http1Server>> servers_;
  bool stopping_ = false;
  bool drained_ = false;
  MonotonicTime stop_began_{};
  std::function<void()> stopped_;
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
