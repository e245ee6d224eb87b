#include "node/cluster_service.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kCallTimeout = std::chrono::seconds(3);
constexpr std::size_t kEngineFactsPerMessage = 3;
constexpr std::size_t kAnnounceFanout = 4;

/// Minimum time between full pulls of the facts; heartbeats carry them incrementally in between.
constexpr Duration kFactsPullInterval = std::chrono::seconds(10);

/// Heartbeats sent at once when this node leaves, so that peers learn of it in one round trip.
constexpr std::size_t kLeaveFanout = 8;

MemberFact with_address(MemberFact self, const std::string& address) {
  self.address = address;
  return self;
}

}  // namespace

ClusterService::ClusterService(Runtime& runtime, PeerTransport& transport, MemberFact self,
                               std::uint64_t seed, Hooks hooks)
    : runtime_(runtime),
      hooks_(std::move(hooks)),
      transport_(transport),
      membership_(with_address(std::move(self), transport.local_address()), MembershipSettings{},
                  seed),
      random_(seed),
      ticker_(runtime, kTickInterval, [this] { tick(); }) {
  transport_.set_handlers(
      [this](std::string_view text, const std::string& sender) { on_datagram(text, sender); },
      [this](const std::string& frame, const std::function<void(std::string)>& reply) {
        on_frame(frame, reply);
      });
}

void ClusterService::tick() {
  for (const HeartbeatTarget& target : membership_.tick(runtime_.now())) {
    send_heartbeat(target.address, target.node, false);
  }
}

void ClusterService::send_heartbeat(const std::string& address, const NodeId& to, bool is_answer) {
  Heartbeat heartbeat;
  heartbeat.from = membership_.self().node;
  heartbeat.is_answer = is_answer;
  heartbeat.revision = hooks_.revision();
  heartbeat.members = membership_.facts_to_send(to);
  heartbeat.engines = engine_facts_.facts_to_send(kEngineFactsPerMessage);
  heartbeat.engines_digest = engine_facts_.digest();
  transport_.send(address, encode(heartbeat));
}

void ClusterService::on_datagram(std::string_view text, const std::string& sender) {
  const auto message = decode(text);
  if (!message) {
    log_event(LogArea::kCluster, LogLevel::kWarning, "bad_datagram", {{"error", message.error()}});
    return;
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&*message)) on_heartbeat(*heartbeat, sender);
  if (const auto* demand = std::get_if<DemandReport>(&*message)) hooks_.on_demand(*demand);
  if (std::holds_alternative<ClaimRelease>(*message)) hooks_.on_claim_message(*message);
  if (const auto* notice = std::get_if<RevisionNotice>(&*message)) {
    const MemberFact* peer = membership_.find(notice->from);
    if (peer != nullptr) hooks_.on_peer_revision(*peer, notice->revision);
  }
}

void ClusterService::on_heartbeat(const Heartbeat& heartbeat, const std::string& sender) {
  const std::uint64_t changes_before = membership_.change_count();
  membership_.on_facts(runtime_.now(), heartbeat.members);
  membership_.on_message_received(heartbeat.from);
  merge_engine_facts(heartbeat.engines);
  if (membership_.change_count() != changes_before) {
    log_event(LogArea::kCluster, LogLevel::kDebug, "members_changed",
              {{"usable", membership_.usable().size()}});
  }
  const MemberFact* peer = membership_.find(heartbeat.from);
  if (peer != nullptr) {
    revisions_[peer->node] = heartbeat.revision;
    hooks_.on_peer_revision(*peer, heartbeat.revision);
  }
  pull_facts_if_behind(heartbeat);
  if (!heartbeat.is_answer) send_heartbeat(sender, heartbeat.from, true);
}

Revision ClusterService::revision_of(const NodeId& node) const {
  if (node == self().node) return hooks_.revision();
  const auto found = revisions_.find(node);
  return found == revisions_.end() ? 0 : found->second;
}

void ClusterService::merge_engine_facts(const std::vector<EngineFact>& facts) {
  const auto changed_facts = engine_facts_.merge(facts, membership_.usable().size());
  if (!changed_facts.empty()) hooks_.on_engine_facts(changed_facts);
}

void ClusterService::pull_facts_if_behind(const Heartbeat& heartbeat) {
  const MonotonicTime now = runtime_.now();
  const bool behind = heartbeat.engines_digest != engine_facts_.digest();
  const MemberFact* peer = membership_.find(heartbeat.from);
  if (!behind || facts_pull_pending_ || now < next_facts_pull_ || peer == nullptr) return;
  facts_pull_pending_ = true;
  next_facts_pull_ = now + kFactsPullInterval;
  call(peer->address, FactsPull{}, [this](const auto& answer) {
    facts_pull_pending_ = false;
    if (!answer) return;
    const auto* facts = std::get_if<FactsReply>(&*answer);
    if (facts == nullptr) return;
    membership_.on_facts(runtime_.now(), facts->members);
    merge_engine_facts(facts->engines);
  });
}

void ClusterService::on_frame(const std::string& frame,
                              const std::function<void(std::string)>& reply) {
  const auto message = decode(frame);
  if (!message) return reply({});
  if (const auto* pull = std::get_if<ConfigPull>(&*message)) {
    return reply(encode(hooks_.on_config_pull(*pull)));
  }
  if (std::holds_alternative<FactsPull>(*message)) {
    return reply(encode(FactsReply{membership_.all(), engine_facts_.all()}));
  }
  const auto answer = hooks_.on_claim_message(*message);
  reply(answer ? encode(*answer) : std::string());
}

std::vector<MemberFact> ClusterService::candidates(const std::string& duty,
                                                   std::size_t count) const {
  Ranking& ranking = rankings_[duty];
  const bool current = ranking.change_count == membership_.change_count() && ranking.count == count;
  if (current && !ranking.members.empty()) return ranking.members;
  std::vector<MemberFact> members = membership_.usable();
  std::erase_if(members,
                [this](const MemberFact& member) { return member.region != self().region; });
  ranking = {membership_.change_count(), count, rank_for_duty(duty, std::move(members), count)};
  return ranking.members;
}

void ClusterService::leave() {
  membership_.leave();
  std::vector<MemberFact> peers = membership_.usable();
  std::shuffle(peers.begin(), peers.end(), random_);
  if (peers.size() > kLeaveFanout) peers.resize(kLeaveFanout);
  for (const MemberFact& peer : peers) {
    send_heartbeat(peer.address, peer.node, false);
  }
}

void ClusterService::publish_engine_facts(const std::vector<EngineFact>& facts) {
  merge_engine_facts(facts);
}

void ClusterService::announce_revision(Revision revision) {
  std::vector<MemberFact> peers = membership_.usable();
  std::erase_if(peers, [this](const MemberFact& peer) { return peer.node == self().node; });
  std::shuffle(peers.begin(), peers.end(), random_);
  if (peers.size() > kAnnounceFanout) peers.resize(kAnnounceFanout);
  for (const MemberFact& peer : peers) send(peer.address, RevisionNotice{self().node, revision});
}

void ClusterService::send(const std::string& address, const Message& message) {
  transport_.send(address, encode(message));
}

void ClusterService::call(const std::string& address, const Message& message,
                          AnswerHandler handler) {
  transport_.call(
      address, encode(message), kCallTimeout,
      [handler = std::move(handler)](const tl::expected<std::string, std::string>& text) {
        if (!text) return handler(tl::make_unexpected(text.error()));
        handler(decode(*text));
      });
}

}  // namespace shuntbank
