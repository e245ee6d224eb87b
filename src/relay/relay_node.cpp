#include "relay/relay_node.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "common/log.hpp"
#include "net/http_status.hpp"

namespace shuntbank::relay {
namespace {

constexpr std::uint64_t kMillisecondsPerSecond = 1000;

/// Requests of one stream, each up to its route's timeout, whose callers may still be waiting.
constexpr int kMaxStreamTries = 3;

void log_engine(const char* event, const EngineRecord& record) {
  log_event(LogArea::kControl, LogLevel::kInfo, event,
            {{"engine", record.id.value()},
             {"started_unix_ms", record.started_unix_ms},
             {"service", record.service.value()},
             {"address", record.address},
             {"stage", to_text(record.stage)},
             {"software", record.software_version},
             {"draining", record.draining},
             {"spot", record.spot}});
}

}  // namespace

RelayNode::RelayNode(const RelayIo& io, const RelaySettings& settings)
    : io_(io),
      settings_(settings),
      engines_(random_number(io.runtime)),
      budgets_(settings.retry_budget),
      listener_({io.runtime, io.dialect, engines_, metrics_}),
      paths_({io.runtime, engines_, metrics_, io.probe}),
      quarantine_({io.runtime, io.http, io.dialect, engines_, metrics_, listener_, paths_}),
      permits_({io.runtime, engines_, metrics_, listener_}, random_number(io.runtime)),
      quotas_(io.runtime, metrics_, random_number(io.runtime)),
      streams_(io.runtime, engines_, settings.bootstrap, random_number(io.runtime)),
      context_{io.runtime,  io.http,   io.dialect, settings_, engines_, metrics_, budgets_,
               quarantine_, listener_, permits_,   quotas_,   paths_,   streams_, {},
               {},          {},        {},         {},        {},       {}},
      splits_(random_fraction(io.runtime)),
      least_expected_nodes_(settings.expected_nodes),
      slack_available_from_(io.runtime.now() + charge_duration(settings.retry_budget)) {
  quarantine_.on_reports_pending([this] { context_.notify_load_changed(); });
  listener_.on_limit_changed(
      [this](const LimitUpdate& update) { context_.queue_limit_update(update); });
  paths_.on_tick([this] {
    const auto sessions = sessions_;
    for (const auto& session : sessions) session->check_path();
  });
  listener_.on_trouble([this](const EngineTrouble& trouble) { context_.queue_trouble(trouble); });
}

RelayNode::~RelayNode() {
  const auto sessions = std::exchange(sessions_, {});
  for (const auto& session : sessions) session->abort();
}

bool RelayNode::adopt(RouteConfiguration configuration) {
  if (table_ && configuration.version <= table_->version()) return false;
  const Findings findings = check(configuration);
  if (!findings.empty()) {
    log_event(LogArea::kConfig, LogLevel::kError, "config_refused",
              {{"version", configuration.version}, {"findings", findings.to_text()}});
    return false;
  }
  const std::uint64_t previous_version = table_ ? table_->version() : 0;
  std::vector<TenantName> tenants;
  if (configuration.tenants) {
    for (const DeclaredTenant& tenant : *configuration.tenants) tenants.push_back(tenant.name);
  }
  context_.shares.declare(tenants);
  table_ = std::make_shared<const RouteTable>(std::move(configuration));
  if (!table_->warnings().empty()) {
    log_event(LogArea::kConfig, LogLevel::kWarning, "config_questionable",
              {{"version", table_->version()}, {"findings", table_->warnings().to_text()}});
  }
  log_event(LogArea::kConfig, LogLevel::kInfo, "config_adopted",
            {{"version", table_->version()},
             {"before", previous_version},
             {"routes", table_->configuration().routes.size()}});
  for (const RelayedService& service : table_->configuration().services) {
    if (service.model) engines_.set_memory(service.name, service.model->kv_tokens);
  }
  Duration longest_timeout{};
  for (const Route& route : table_->configuration().routes) {
    if (route.resumable) longest_timeout = std::max(longest_timeout, route.timeout);
  }
  streams_.set_max_stream_age(kMaxStreamTries * longest_timeout);
  metrics_.set_gauge("config_version", static_cast<double>(table_->version()));
  if (adopted_handler_) adopted_handler_(*table_);
  return true;
}

void RelayNode::set_engines(const std::vector<EngineRecord>& records) {
  engines_known_ = true;
  std::set<EngineId> listed;
  for (const EngineRecord& record : records) listed.insert(engines_.current_id(record));
  for (const auto& [id, engine] : engines_.all()) {
    if (listed.count(id) == 0) report_unlisted(id);
  }
  for (const std::string& address : engines_.replace_all(records)) {
    if (address_released_handler_) address_released_handler_(address);
  }
  streams_.on_engines_changed();
  for (const EngineRecord& record : records) {
    streams_.on_engine_listed(record);
    log_engine("engine_listed", record);
  }
  metrics_.set_gauge("engines", static_cast<double>(engines_.size()));
}

/// Reports previous incarnations with the record's address or name as terminated.
void RelayNode::report_replaced(const EngineRecord& record) {
  const EngineView* previous = engines_.find_by_name(record.own_name());
  const bool moved = previous != nullptr && previous->record.address != record.address;
  if (moved && address_released_handler_) address_released_handler_(previous->record.address);
  if (quarantine_.empty()) return;
  for (const auto& [id, engine] : engines_.all()) {
    const bool replaced =
        engine.record.address == record.address || engine.record.own_name() == record.own_name();
    if (id != record.id && replaced) quarantine_.on_engine_crashed(id);
  }
}

/// An engine that disappears from the list without draining has crashed.
void RelayNode::report_unlisted(const EngineId& engine) {
  const EngineView* view = engines_.find(engine);
  if (view != nullptr && !view->record.draining) quarantine_.on_engine_crashed(engine);
}

void RelayNode::set_engine(const EngineRecord& record) {
  if (engines_.outdated(record)) return log_engine("engine_outdated", record);
  report_replaced(record);
  // An engine that was only unlisted, during a store outage, is alive.
  if (engines_.find(record.id) == nullptr) {
    quarantine_.on_engine_answered(record.id, io_.runtime.now());
  }
  engines_.upsert(record);
  streams_.on_engine_listed(record);
  if (engines_known_) streams_.on_engines_changed();
  log_engine("engine_changed", engines_.find(record.id)->record);
  metrics_.set_gauge("engines", static_cast<double>(engines_.size()));
}

void RelayNode::remove_engine(const std::string& name) {
  const EngineView* known = engines_.find_by_name(name);
  if (known == nullptr) return;
  const EngineId id = known->record.id;
  report_unlisted(id);
  forget_engine(id);
}

void RelayNode::invalidate_engine(const std::string& name) {
  const EngineView* known = engines_.find_by_name(name);
  if (known != nullptr) forget_engine(EngineId(known->record.id));
}

void RelayNode::forget_engine(const EngineId& id) {
  const std::string address = engines_.remove(id);
  if (address.empty()) return;
  streams_.on_engines_changed();
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_gone",
            {{"engine", id.value()}, {"address", address}});
  metrics_.set_gauge("engines", static_cast<double>(engines_.size()));
  if (address_released_handler_) address_released_handler_(address);
}

void RelayNode::on_peer_limit(const EngineId& engine, const LimitReport& told) {
  listener_.on_peer_limit({engine, to_observed(told, io_.runtime.now())});
}

void RelayNode::on_peer_prompt_read(const PromptRead& read) {
  context_.on_prompt_read(read);
}

void RelayNode::set_fleet(const Fleet& fleet) {
  const bool changed = !(fleet == fleet_) || assumed_nodes_ == 0;
  fleet_ = fleet;
  update_node_shares();
  if (changed) update_slack_share();
  if (fleet_changed_handler_) fleet_changed_handler_(fleet_);
}

/// Shares grow later than the fleet shrinks: what the removed nodes sent still counts.
void RelayNode::update_node_shares() {
  const auto nodes = static_cast<double>(fleet_.nodes);
  // Counts one more node, which may have been added without this node knowing of it yet.
  if (nodes + 1 >= assumed_nodes_) return set_node_shares();
  if (share_timer_) return;
  share_timer_ = io_.runtime.after(charge_duration(settings_.retry_budget), [this] {
    set_node_shares();
    update_slack_share();
  });
}

void RelayNode::set_node_shares() {
  share_timer_.reset();
  const auto nodes = static_cast<double>(fleet_.nodes);
  assumed_nodes_ = nodes + 1;
  settings_.expected_nodes = std::max(least_expected_nodes_, nodes);
}

void RelayNode::update_slack_share() {
  const SlackShare share{settings_.retry_budget.slack / assumed_nodes_, slack_available_from_};
  budgets_.set_slack_share(share);
  log_event(LogArea::kControl, LogLevel::kInfo, "fleet_known",
            {{"nodes", fleet_.nodes}, {"rank", fleet_.rank}, {"slack_share", share.dispatches}});
}

void RelayNode::refuse(const HttpRequest& request, ConnectionResponder& responder, int status,
                       const char* why) {
  const HeaderNames& names = io_.dialect.names();
  const std::string id(request.headers.get(names.request_id));
  const bool retryable = status == http_status::kServiceUnavailable;
  log_event(LogArea::kCallers, LogLevel::kInfo, "refused",
            {{"request", id},
             {"status", status},
             {"why", why},
             {"config", table_ ? table_->version() : 0},
             {"retry_after_ms", retryable ? whole_ms(settings_.retry_after) : -1}});
  HttpReply reply;
  reply.status = status;
  if (!id.empty()) reply.headers.add(names.request_id, id);
  if (retryable) {
    reply.headers.add(names.retry_after, retry_after_text(settings_.retry_after));
  }
  responder.respond(std::move(reply));
}

/// Several keys are ambiguous and count as none.
KeyVerdict RelayNode::admit(const Route& route, const HttpRequest& request) const {
  const std::string& field = io_.dialect.names().tenant_key;
  const bool single_key = request.headers.count(field) == 1;
  const auto unix_seconds =
      static_cast<std::int64_t>(io_.runtime.unix_milliseconds() / kMillisecondsPerSecond);
  return table_->admit(route, single_key ? request.headers.get(field) : std::string_view(),
                       unix_seconds);
}

void RelayNode::handle(HttpRequest request, const std::shared_ptr<ConnectionResponder>& responder) {
  if (!table_) {
    return refuse(request, *responder, http_status::kServiceUnavailable, "no configuration yet");
  }
  if (request.headers.count("Host") != 1) {
    return refuse(request, *responder, http_status::kBadRequest, "one Host field is needed");
  }
  const Route* route = table_->find(request.headers.get("Host"), request.path);
  if (route == nullptr) return refuse(request, *responder, http_status::kNotFound, "no route");
  const KeyVerdict verdict = admit(*route, request);
  if (!verdict.admitted) {
    metrics_.count_key_refused();
    return refuse(request, *responder, http_status::kUnauthorized, "no known key");
  }
  const ServiceName& service = splits_.choose(*route);
  // The end handler refers to its own session, which does not exist yet.
  auto weak_session = std::make_shared<std::weak_ptr<RelaySession>>();
  auto session =
      std::make_shared<RelaySession>(context_, table_, *route, verdict.tenant, service,
                                     std::move(request), responder, [this, weak_session] {
                                       if (const auto ended_session = weak_session->lock()) {
                                         sessions_.erase(ended_session);
                                       }
                                     });
  *weak_session = session;
  sessions_.insert(session);
  session->start();
}

bool RelayNode::ready() const {
  return table_ != nullptr && engines_known_ && !stopping_;
}

std::vector<EngineStageNotice> RelayNode::take_stage_notices(std::size_t max_count) {
  std::vector<EngineStageNotice>& queued = context_.pending_stage_notices;
  const auto end = queued.begin() + static_cast<std::ptrdiff_t>(std::min(max_count, queued.size()));
  std::vector<EngineStageNotice> taken(queued.begin(), end);
  queued.erase(queued.begin(), end);
  return taken;
}

void RelayNode::begin_stop() {
  stopping_ = true;
}

void RelayNode::refuse_unfinished_by(MonotonicTime abort_at) {
  context_.abort_at = abort_at;
}

void RelayNode::abort_all() {
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->abort();
}

void RelayNode::on_configuration_adopted(std::function<void(const RouteTable&)> handler) {
  adopted_handler_ = std::move(handler);
}

void RelayNode::on_address_released(std::function<void(const std::string&)> handler) {
  address_released_handler_ = std::move(handler);
}

}  // namespace shuntbank::relay
