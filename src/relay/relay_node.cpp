#include "relay/relay_node.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "common/log.hpp"
#include "net/http_status.hpp"

namespace shuntbank::relay {
namespace {

constexpr std::uint64_t kMillisecondsASecond = 1000;

void log_engine(const char* event, const EngineRecord& record) {
  log_event(LogArea::kControl, LogLevel::kInfo, event,
            {{"engine", record.id.value()},
             {"started_unix_ms", record.started_unix_ms},
             {"service", record.service.value()},
             {"address", record.address},
             {"stage", to_text(record.stage)},
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
      quarantine_({io.runtime, io.http, io.dialect, engines_, metrics_, listener_}),
      permits_({io.runtime, engines_, metrics_, listener_}, random_number(io.runtime)),
      context_{io.runtime, io.http,  io.dialect,  settings_, engines_,
               metrics_,   budgets_, quarantine_, listener_, permits_,
               {},         {},       {},          {},        {}},
      splits_(random_fraction(io.runtime)),
      slack_from_(io.runtime.now() + counted_for(settings.retry_budget)) {
  quarantine_.on_reports_pending([this] { context_.note_load(); });
  listener_.on_limit_changed([this](const LimitNews& news) { context_.note_limit(news); });
  listener_.on_trouble([this](const EngineTrouble& trouble) { context_.note_trouble(trouble); });
}

RelayNode::~RelayNode() {
  const auto open = std::exchange(sessions_, {});
  for (const auto& session : open) session->give_up();
}

bool RelayNode::adopt(RouteConfiguration configuration) {
  if (table_ && configuration.version <= table_->version()) return false;
  const Findings findings = check(configuration);
  if (!findings.empty()) {
    log_event(LogArea::kConfig, LogLevel::kError, "config_refused",
              {{"version", configuration.version}, {"findings", findings.to_text()}});
    return false;
  }
  const std::uint64_t before = table_ ? table_->version() : 0;
  table_ = std::make_shared<const RouteTable>(std::move(configuration));
  if (!table_->doubts().empty()) {
    log_event(LogArea::kConfig, LogLevel::kWarning, "config_questionable",
              {{"version", table_->version()}, {"findings", table_->doubts().to_text()}});
  }
  log_event(LogArea::kConfig, LogLevel::kInfo, "config_adopted",
            {{"version", table_->version()},
             {"before", before},
             {"routes", table_->configuration().routes.size()}});
  metrics_.set_gauge("config_version", static_cast<double>(table_->version()));
  if (adopted_) adopted_(*table_);
  return true;
}

void RelayNode::set_engines(const std::vector<EngineRecord>& records) {
  engines_known_ = true;
  std::set<EngineId> listed;
  for (const EngineRecord& record : records) listed.insert(engines_.start_named_by(record));
  for (const auto& [id, engine] : engines_.all()) {
    if (listed.count(id) == 0) note_unlisted(id);
  }
  for (const std::string& address : engines_.replace_all(records)) {
    if (address_free_) address_free_(address);
  }
  for (const EngineRecord& record : records) log_engine("engine_listed", record);
  metrics_.set_gauge("engines", static_cast<double>(engines_.size()));
}

/// Another start of an engine has the address or the name: the one before has ended.
void RelayNode::note_replaced(const EngineRecord& record) {
  const EngineView* before = engines_.find_named(record.own_name());
  const bool moved = before != nullptr && before->record.address != record.address;
  if (moved && address_free_) address_free_(before->record.address);
  if (quarantine_.empty()) return;
  for (const auto& [id, engine] : engines_.all()) {
    const bool same =
        engine.record.address == record.address || engine.record.own_name() == record.own_name();
    if (id != record.id && same) quarantine_.on_engine_crashed(id);
  }
}

/// An engine that has not said that it leaves has ended when the list lacks it.
void RelayNode::note_unlisted(const EngineId& engine) {
  const EngineView* view = engines_.find(engine);
  if (view != nullptr && !view->record.draining) quarantine_.on_engine_crashed(engine);
}

void RelayNode::set_engine(const EngineRecord& record) {
  if (engines_.outdated(record)) return log_engine("engine_outdated", record);
  note_replaced(record);
  // It may have been missing from the list only since the store was away.
  if (engines_.find(record.id) == nullptr) {
    quarantine_.on_engine_answered(record.id, io_.runtime.now());
  }
  engines_.upsert(record);
  log_engine("engine_changed", engines_.find(record.id)->record);
  metrics_.set_gauge("engines", static_cast<double>(engines_.size()));
}

void RelayNode::remove_engine(const std::string& name) {
  const EngineView* known = engines_.find_named(name);
  if (known == nullptr) return;
  const EngineId id = known->record.id;
  note_unlisted(id);
  forget_engine(id);
}

void RelayNode::distrust_engine(const std::string& name) {
  const EngineView* known = engines_.find_named(name);
  if (known != nullptr) forget_engine(EngineId(known->record.id));
}

void RelayNode::forget_engine(const EngineId& id) {
  const std::string address = engines_.remove(id);
  if (address.empty()) return;
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_gone",
            {{"engine", id.value()}, {"address", address}});
  metrics_.set_gauge("engines", static_cast<double>(engines_.size()));
  if (address_free_) address_free_(address);
}

void RelayNode::learn_limit(const EngineId& engine, const ToldLimit& told) {
  listener_.on_peer_limit({engine, to_heard(told, io_.runtime.now())});
}

void RelayNode::learn_prompt_read(const PromptRead& read) {
  context_.note_read(read.engine, read.parts);
}

void RelayNode::set_fleet(const Fleet& fleet) {
  const bool changed = !(fleet == fleet_) || nodes_assumed_ == 0;
  fleet_ = fleet;
  const auto nodes = static_cast<double>(fleet.nodes);
  // One more than known: one that was added, of which this node has not heard.
  nodes_assumed_ = std::max(nodes_assumed_, nodes + 1);
  settings_.expected_nodes = std::max(settings_.expected_nodes, nodes);
  if (changed) share_slack();
  if (fleet_changed_) fleet_changed_(fleet_);
}

void RelayNode::share_slack() {
  const SlackShare share{settings_.retry_budget.slack / nodes_assumed_, slack_from_};
  budgets_.set_slack_share(share);
  log_event(LogArea::kControl, LogLevel::kInfo, "fleet_known",
            {{"nodes", fleet_.nodes}, {"rank", fleet_.rank}, {"slack_share", share.dispatches}});
}

void RelayNode::refuse(const HttpRequest& request, ConnectionResponder& responder, int status,
                       const char* why) {
  const HeaderNames& names = io_.dialect.names();
  const std::string id(request.headers.get(names.request_id));
  log_event(LogArea::kCallers, LogLevel::kInfo, "refused",
            {{"request", id},
             {"status", status},
             {"why", why},
             {"config", table_ ? table_->version() : 0}});
  HttpReply reply;
  reply.status = status;
  if (!id.empty()) reply.headers.add(names.request_id, id);
  if (status == http_status::kServiceUnavailable) {
    reply.headers.add(names.retry_after, retry_after_text(settings_.retry_after));
  }
  responder.respond(std::move(reply));
}

/// A request with several keys has none: which of them speaks for it cannot be told.
KeyVerdict RelayNode::admit(const Route& route, const HttpRequest& request) const {
  const std::string& field = io_.dialect.names().tenant_key;
  const bool one = request.headers.count(field) == 1;
  const auto unix_seconds =
      static_cast<std::int64_t>(io_.runtime.unix_milliseconds() / kMillisecondsASecond);
  return table_->admit(route, one ? request.headers.get(field) : std::string_view(), unix_seconds);
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
  // The end handler needs the session that it belongs to, which does not exist yet.
  auto own = std::make_shared<std::weak_ptr<RelaySession>>();
  auto session = std::make_shared<RelaySession>(context_, table_, *route, verdict.tenant, service,
                                                std::move(request), responder, [this, own] {
                                                  if (const auto ended = own->lock()) {
                                                    sessions_.erase(ended);
                                                  }
                                                });
  *own = session;
  sessions_.insert(session);
  session->start();
}

bool RelayNode::ready() const {
  return table_ != nullptr && engines_known_ && !stopping_;
}

void RelayNode::begin_stop() {
  stopping_ = true;
}

void RelayNode::give_up_all() {
  const auto open = sessions_;
  for (const auto& session : open) session->give_up();
}

void RelayNode::on_adopted(std::function<void(const RouteTable&)> handler) {
  adopted_ = std::move(handler);
}

void RelayNode::on_address_free(std::function<void(const std::string&)> handler) {
  address_free_ = std::move(handler);
}

}  // namespace shuntbank::relay
