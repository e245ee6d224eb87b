#include "node/node.hpp"

#include <random>
#include <utility>

#include "common/hash.hpp"
#include "common/log.hpp"
#include "core/routing/router.hpp"
#include "engine/engine_client.hpp"
#include "node/caller_api.hpp"
#include "node/cluster_service.hpp"
#include "node/config_service.hpp"
#include "node/control_service.hpp"
#include "node/operator_api.hpp"
#include "platform/object_client.hpp"

namespace shuntbank {
namespace {

constexpr Duration kDemandReportInterval = std::chrono::seconds(4);
/// Until the first update a starting node assumes that it is the only one.
constexpr Duration kLimitShareInterval = std::chrono::milliseconds(500);
constexpr Duration kMachineListInterval = std::chrono::seconds(3);
/// Wait after the callers' listener closed, for requests already in flight to it.
constexpr Duration kLateArrivalGrace = std::chrono::milliseconds(500);
constexpr Duration kLeavePollInterval = std::chrono::milliseconds(50);
constexpr double kRetryBudgetReserve = 20;

std::uint64_t choose_seed(std::uint64_t configured) {
  return configured != 0 ? configured : std::random_device{}();
}

MemberFact self_fact(const Runtime& runtime, const NodeSettings& settings) {
  MemberFact self;
  self.node = NodeId(settings.name);
  // Wall-clock time, so that a restarted node supersedes its previous incarnation.
  self.incarnation = runtime.unix_milliseconds();
  self.boot = self.incarnation;
  self.zone = ZoneName(settings.zone);
  self.region = RegionName(settings.region);
  return self;
}

}  // namespace

class Node::Impl {
 public:
  Impl(const NodeIo& io, const NodeSettings& settings, std::function<void()> on_left)
      : runtime_(io.runtime),
        settings_(settings),
        on_left_(std::move(on_left)),
        seed_(choose_seed(settings.seed)),
        platform_(io.http, settings.platform),
        engine_client_(io.http),
        router_(RoutingSettings{}, seed_),
        retry_budget_(settings.retry_budget_ratio, kRetryBudgetReserve),
        config_(io.runtime, platform_, seed_,
                [this](const SnapshotPointer& snapshot) { on_configuration_adopted(snapshot); }),
        cluster_(io.runtime, io.peers, self_fact(io.runtime, settings), seed_, cluster_hooks()),
        control_(io.runtime, platform_, engine_client_, cluster_, RegionName(settings.region),
                 settings.lease_duration),
        claims_(io.runtime, platform_, cluster_, RegionName(settings.region),
                settings.claim_retention),
        context_{io.runtime, settings_,     io.http,  engines_,
                 router_,    retry_budget_, metrics_, claims_},
        queue_(context_),
        caller_api_(io.runtime, settings_, config_, queue_, metrics_),
        operator_api_(
            config_, cluster_, control_, claims_, metrics_, [this] { return not_ready_reasons(); },
            [this] { leave(); }),
        limit_share_timer_(io.runtime, kLimitShareInterval, [this] { update_limit_share(); }),
        demand_timer_(io.runtime, kDemandReportInterval, [this] { report_demand(); }),
        machine_list_timer_(io.runtime, kMachineListInterval, [this] { refresh_machines(); }) {
    config_.set_cluster(cluster_);
    config_.start();
    refresh_machines();
  }

  void handle_caller(HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
    caller_api_.handle(std::move(request), responder);
  }

  void handle_operator(const HttpRequest& request,
                       const std::shared_ptr<HttpResponder>& responder) {
    operator_api_.handle(request, responder);
  }

  Revision revision() const { return config_.replica().revision(); }

  std::size_t usable_members() const { return cluster_.usable().size(); }

  void on_close_callers(std::function<void()> handler) { close_callers_ = std::move(handler); }

  void leave() {
    if (std::exchange(leaving_, true)) return;
    log_event(LogArea::kProcess, LogLevel::kInfo, "leaving", {{"open", queue_.open_requests()}});
    cluster_.leave();
    control_.resign();
    claims_.resign();
    grace_end_ = runtime_.now() + settings_.leave_grace;
    leave_timer_ =
        std::make_unique<Periodic>(runtime_, kLeavePollInterval, [this] { continue_leaving(); });
  }

 private:
  ClusterService::Hooks cluster_hooks() {
    ClusterService::Hooks hooks;
    hooks.revision = [this] { return config_.replica().revision(); };
    hooks.on_peer_revision = [this](const MemberFact& peer, Revision revision) {
      config_.on_peer_revision(peer, revision);
    };
    hooks.on_engine_facts = [this](const std::vector<EngineFact>& facts) {
      for (const EngineFact& fact : facts) engines_.apply(fact);
    };
    hooks.on_demand = [this](const DemandReport& report) { control_.on_demand(report); };
    hooks.on_config_pull = [this](const ConfigPull& pull) { return config_.on_pull(pull); };
    hooks.on_claim_message = [this](const Message& message) {
      return claims_.handle_message(message);
    };
    return hooks;
  }

  void on_configuration_adopted(const SnapshotPointer& snapshot) {
    std::vector<EngineId> names;
    for (const auto& [name, engine] : snapshot->engines()) {
      engines_.upsert(name, engine.zone);
      names.push_back(name);
    }
    engines_.retain(names);
    for (const EngineFact& fact : cluster_.engine_facts()) engines_.apply(fact);
    control_.configure(snapshot);
  }

  void update_limit_share() {
    const auto& usable = cluster_.usable();
    const auto in_region = std::count_if(usable.begin(), usable.end(), [this](const auto& member) {
      return member.region.value() == settings_.region;
    });
    queue_.set_node_count(static_cast<std::size_t>(in_region));
  }

  void report_demand() {
    const auto demand = queue_.take_demand();
    const SnapshotPointer& snapshot = config_.replica().snapshot();
    if (!snapshot) return;
    for (const auto& [name, service] : snapshot->services()) {
      const auto controller = control_.controller_of(name);
      if (service.kind != ServiceKind::kModel || !controller) continue;
      const auto found = demand.find(name);
      const RequestQueue::Demand service_demand =
          found == demand.end() ? RequestQueue::Demand{} : found->second;
      const double seconds = to_seconds(kDemandReportInterval);
      const DemandReport report{NodeId(settings_.name), name,
                                service_demand.prefill_tokens / seconds,
                                service_demand.decode_tokens / seconds};
      if (controller->node == cluster_.self().node) {
        control_.on_demand(report);
      } else {
        cluster_.send(controller->address, report);
      }
    }
  }

  void refresh_machines() {
    platform_.list_machines([this](const auto& machines) {
      if (!machines) return;
      std::vector<std::string> hints;
      for (const Machine& machine : *machines) {
        if (machine.kind == "node") hints.push_back(machine.address);
        if (machine.kind == "engine")
          engines_.set_machine_draining(EngineId(machine.name), machine.leaving);
      }
      cluster_.set_address_hints(hints);
    });
  }

  std::string not_ready_reasons() const {
    std::string reasons;
    if (!config_.ready()) reasons += "no configuration was confirmed yet\n";
    if (leaving_) reasons += "the node is leaving\n";
    return reasons;
  }

  void continue_leaving() {
    if (runtime_.now() < grace_end_) return;
    if (const auto close = std::exchange(close_callers_, nullptr)) close();
    if (queue_.open_requests() > 0 || runtime_.now() < grace_end_ + kLateArrivalGrace) return;
    if (std::exchange(left_, true)) return;
    log_event(LogArea::kProcess, LogLevel::kInfo, "left");
    on_left_();
  }

  Runtime& runtime_;
  const NodeSettings& settings_;
  std::function<void()> on_left_;
  std::uint64_t seed_;
  ObjectClient platform_;
  EngineClient engine_client_;
  EngineTable engines_;
  Router router_;
  RetryBudget retry_budget_;
  Metrics metrics_;
  ConfigService config_;
  ClusterService cluster_;
  ControlService control_;
  ClaimService claims_;
  ServingContext context_;
  RequestQueue queue_;
  CallerApi caller_api_;
  OperatorApi operator_api_;
  Periodic limit_share_timer_;
  Periodic demand_timer_;
  Periodic machine_list_timer_;
  bool leaving_ = false;
  bool left_ = false;
  std::function<void()> close_callers_;
  MonotonicTime grace_end_{};

  std::unique_ptr<Periodic> leave_timer_;
};

Node::Node(const NodeIo& io, const NodeSettings& settings, std::function<void()> on_left)
    : impl_(std::make_unique<Impl>(io, settings, std::move(on_left))) {}

Node::~Node() = default;

void Node::handle_caller(HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
  impl_->handle_caller(std::move(request), responder);
}

void Node::handle_operator(const HttpRequest& request,
                           const std::shared_ptr<HttpResponder>& responder) {
  impl_->handle_operator(request, responder);
}

void Node::on_close_callers(std::function<void()> handler) {
  impl_->on_close_callers(std::move(handler));
}

Revision Node::revision() const {
  return impl_->revision();
}

std::size_t Node::usable_members() const {
  return impl_->usable_members();
}

void Node::leave() {
  impl_->leave();
}

}  // namespace shuntbank
