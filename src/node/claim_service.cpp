#include "node/claim_service.hpp"

#include <utility>

#include "common/log.hpp"

namespace shuntbank {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(500);

constexpr std::size_t kMaxClaims = 200'000;

/// The coordinator and its standbys.
constexpr std::size_t kCoordinatorCandidates = 3;

/// How often a node that is not the coordinator refreshes a stable group record.
constexpr Duration kPullInterval = std::chrono::seconds(30);

/// How long a takeover waits for members that may hold the missing claims.
constexpr int kHistoryLossTicks = 20;

/// How often a coordinator rereads the store while its view is unstable.
constexpr int kRereadTicks = 10;

/// Consecutive ticks in which `next_claim_group` must propose a change of the claim group before
/// the change is written, to ignore brief failures.
constexpr int kGroupChangeTicks = 3;

std::string group_record_key(const RegionName& region) {
  return "claims/" + region.value();
}

}  // namespace

/// A claim in progress.
struct ClaimService::Attempt {
  ClaimKey key;
  RequestId claimant;
  ClaimHandler handler;             ///< Empty once called.
  std::shared_ptr<ClaimVote> vote;  ///< Current round; answers to earlier rounds are dropped.
  bool refreshed = false;

  void finish(ClaimVerdict verdict) {
    const auto call = std::exchange(handler, nullptr);
    if (call) call(verdict);
  }
};

ClaimService::ClaimService(Runtime& runtime, ObjectClient& platform, ClusterService& cluster,
                           RegionName region, Duration retention)
    : runtime_(runtime),
      platform_(platform),
      cluster_(cluster),
      region_(std::move(region)),
      retention_(retention),
      replica_(cluster.self().boot, retention, kMaxClaims),
      ticker_(runtime, kTickInterval, [this] { tick(); }) {}

std::vector<MemberFact> ClaimService::candidates() const {
  return cluster_.candidates(group_record_key(region_), kCoordinatorCandidates);
}

bool ClaimService::is_coordinator() const {
  const auto ranked = candidates();
  return !ranked.empty() && ranked.front().node == cluster_.self().node && !resigned_;
}

void ClaimService::call_member(const ClaimMember& member, const Message& message,
                               std::function<void(const std::optional<Message>&)> handler) {
  if (member.node == cluster_.self().node) {
    runtime_.post(
        [this, message, handler = std::move(handler)] { handler(handle_message(message)); });
    return;
  }
  cluster_.call(member.address, message, [handler = std::move(handler)](const auto& reply) {
    handler(reply ? std::optional<Message>(*reply) : std::nullopt);
  });
}

void ClaimService::claim(const ClaimKey& key, const RequestId& claimant, ClaimHandler handler) {
  auto attempt = std::make_shared<Attempt>();
  attempt->key = key;
  attempt->claimant = claimant;
  attempt->handler = std::move(handler);
  if (record_.stable) return request_votes(attempt);
  refresh_and_retry(attempt);
}

void ClaimService::request_votes(const std::shared_ptr<Attempt>& attempt) {
  const auto vote = std::make_shared<ClaimVote>(record_.members.size());
  attempt->vote = vote;
  const ClaimRequest request{record_.view, attempt->key, attempt->claimant};
  for (const ClaimMember& member : record_.members) {
    call_member(member, request, [this, attempt, vote](const std::optional<Message>& reply) {
      if (attempt->vote != vote) return;
      const auto* claim_answer = reply ? std::get_if<ClaimAnswer>(&*reply) : nullptr;
      on_vote(attempt,
              claim_answer == nullptr ? ClaimVerdict::kUnavailable : claim_answer->verdict);
    });
  }
}

void ClaimService::on_vote(const std::shared_ptr<Attempt>& attempt, ClaimVerdict verdict) {
  if (!attempt->handler) return;
  switch (attempt->vote->add(verdict)) {
    case ClaimVote::Decision::kPending:
      return;
    case ClaimVote::Decision::kGranted:
      return attempt->finish(ClaimVerdict::kGranted);
    case ClaimVote::Decision::kHeld:
      release(attempt->key, attempt->claimant);
      return attempt->finish(ClaimVerdict::kHeld);
    case ClaimVote::Decision::kUnavailable:
      break;
  }
  // The group may have changed: refresh the record and retry once.
  if (!std::exchange(attempt->refreshed, true)) return refresh_and_retry(attempt);
  release(attempt->key, attempt->claimant);
  attempt->finish(ClaimVerdict::kUnavailable);
}

void ClaimService::refresh_and_retry(const std::shared_ptr<Attempt>& attempt) {
  attempt->refreshed = true;
  pull_record(candidates(), [this, attempt] {
    if (!record_.stable) return attempt->finish(ClaimVerdict::kUnavailable);
    request_votes(attempt);
  });
}

void ClaimService::pull_record(std::vector<MemberFact> sources, std::function<void()> then) {
  if (sources.empty()) return then();
  const ClaimMember member{sources.front().node, sources.front().address};
  sources.erase(sources.begin());
  // Tries the coordinator first, then its standbys, whose record may be older.
  call_member(member, ClaimGroupPull{},
              [this, sources = std::move(sources),
               then = std::move(then)](const std::optional<Message>& reply) {
                const auto* group = reply ? std::get_if<ClaimGroupReply>(&*reply) : nullptr;
                if (group == nullptr || !group->record.stable) return pull_record(sources, then);
                if (group->record.view >= record_.view) record_ = group->record;
                then();
              });
}

void ClaimService::refresh_record() {
  record_loaded_ = false;
  const MonotonicTime now = runtime_.now();
  if (pull_pending_ || (record_.stable && now < next_pull_)) return;
  pull_pending_ = true;
  next_pull_ = now + kPullInterval;
  pull_record(candidates(), [this] { pull_pending_ = false; });
}

void ClaimService::release(const ClaimKey& key, const RequestId& claimant) {
  for (const ClaimMember& member : record_.members) {
    if (member.node == cluster_.self().node) {
      replica_.release(key, claimant);
    } else {
      cluster_.send(member.address, ClaimRelease{key, claimant});
    }
  }
}

std::optional<Message> ClaimService::handle_message(const Message& message) {
  const MonotonicTime now = runtime_.now();
  if (const auto* request = std::get_if<ClaimRequest>(&message)) {
    const ClaimVerdict verdict =
        replica_.claim(now, request->view, request->key, request->claimant);
    log_event(LogArea::kControl, LogLevel::kDebug, "claim",
              {{"replica", cluster_.self().node.value()},
               {"view", request->view},
               {"claimant", request->claimant.value()},
               {"granted", verdict == ClaimVerdict::kGranted},
               {"held", verdict == ClaimVerdict::kHeld}});
    return ClaimAnswer{verdict};
  }
  if (const auto* released = std::get_if<ClaimRelease>(&message)) {
    replica_.release(released->key, released->claimant);
    return std::nullopt;
  }
  if (const auto* seal = std::get_if<ClaimSeal>(&message)) {
    return ClaimSealed{replica_.seal(now, seal->view)};
  }
  if (const auto* install = std::get_if<ClaimInstall>(&message)) {
    const bool serves =
        replica_.install(now, install->view, install->boot, install->entries, install->quiet_for);
    log_event(LogArea::kControl, LogLevel::kDebug, "claim_install",
              {{"replica", cluster_.self().node.value()},
               {"view", install->view},
               {"claims", install->entries.size()},
               {"serves", serves}});
    return ClaimStatus{replica_.active_view()};
  }
  if (std::holds_alternative<ClaimProbe>(message)) return ClaimStatus{replica_.active_view()};
  if (std::holds_alternative<ClaimGroupPull>(message)) return ClaimGroupReply{record_};
  return std::nullopt;
}

void ClaimService::tick() {
  if (!is_coordinator()) return refresh_record();
  if (store_call_pending_) return;
  // Another coordinator may have changed the stored record.
  if (!record_loaded_) return read_record();
  if (!record_.stable && record_.view > 0) {
    // Another coordinator may have written a newer view.
    if (++unstable_ticks_ % kRereadTicks == 0) return read_record();
    return run_takeover();
  }
  probe_members();
}

void ClaimService::read_record() {
  store_call_pending_ = true;
  platform_.read(group_record_key(region_), [this](const auto& result) {
    store_call_pending_ = false;
    if (!result) return;
    record_loaded_ = true;
    if (!result->has_value()) return;
    try {
      record_ = claim_group_from_json((*result)->value);
      record_version_ = (*result)->version;
    } catch (const std::exception& error) {
      record_loaded_ = false;
      log_event(LogArea::kControl, LogLevel::kError, "claim_group_unreadable",
                {{"error", error.what()}});
    }
  });
}

void ClaimService::write_record(const ClaimGroupRecord& next) {
  store_call_pending_ = true;
  platform_.write(
      group_record_key(region_), record_version_, to_json(next), [this, next](const auto& result) {
        store_call_pending_ = false;
        // On no answer or a lost write race, reload the stored record.
        record_loaded_ = result && result->applied;
        if (!record_loaded_) return;
        record_ = next;
        record_version_ = result->version;
        log_event(LogArea::kControl, LogLevel::kInfo, "claim_group",
                  {{"view", next.view}, {"members", next.members.size()}, {"stable", next.stable}});
      });
}

void ClaimService::probe_members() {
  if (pending_probes_ > 0) return;
  serving_members_.clear();
  if (record_.members.empty()) {
    try_change_group(serving_members_);
    return;
  }
  pending_probes_ = record_.members.size();
  for (const ClaimMember& member : record_.members) {
    call_member(member, ClaimProbe{}, [this, member](const std::optional<Message>& reply) {
      const auto* status = reply ? std::get_if<ClaimStatus>(&*reply) : nullptr;
      if (status != nullptr && status->active_view == record_.view)
        serving_members_.insert(member.node);
      if (--pending_probes_ == 0) try_change_group(serving_members_);
    });
  }
}

bool ClaimService::try_change_group(const std::set<NodeId>& serving_members) {
  if (store_call_pending_ || !is_coordinator() || !record_loaded_) return false;
  std::vector<MemberFact> usable = cluster_.usable();
  std::erase_if(usable, [this](const MemberFact& member) { return member.region != region_; });
  const auto next = next_claim_group(record_, usable, serving_members);
  change_pending_ticks_ = next ? change_pending_ticks_ + 1 : 0;
  if (change_pending_ticks_ < kGroupChangeTicks) return false;
  change_pending_ticks_ = 0;
  write_record(*next);
  return true;
}

void ClaimService::run_takeover() {
  if (!takeover_ || !(takeover_->record() == record_)) {
    takeover_.emplace(record_, retention_);
    takeover_ticks_ = 0;
  }
  const ClaimView view = record_.view;
  const auto still_current = [this, view] {
    return takeover_ && takeover_->record().view == view && !record_.stable;
  };
  if (takeover_->majority_installed()) {
    ClaimGroupRecord stable = record_;
    stable.stable = true;
    return write_record(stable);
  }
  // A restarted member cannot install this view, so the group must change.
  std::set<NodeId> members;
  for (const ClaimMember& member : record_.members) members.insert(member.node);
  if (try_change_group(members)) return;
  if (takeover_->claims_lost() && ++takeover_ticks_ > kHistoryLossTicks) {
    log_event(LogArea::kControl, LogLevel::kWarning, "claims_lost", {{"view", view}});
    takeover_->accept_lost_claims();
  }
  if (!takeover_->sealed()) {
    for (const ClaimMember& member : takeover_->members_to_seal()) {
      call_member(member, ClaimSeal{view},
                  [this, member, still_current](const std::optional<Message>& reply) {
                    const auto* sealed = reply ? std::get_if<ClaimSealed>(&*reply) : nullptr;
                    if (sealed != nullptr && still_current())
                      takeover_->on_sealed(member.node, sealed->result);
                  });
    }
    return;
  }
  for (const ClaimMember& member : takeover_->members_to_install()) {
    call_member(member,
                ClaimInstall{view, member.boot, takeover_->entries(), takeover_->grant_delay()},
                [this, member, view, still_current](const std::optional<Message>& reply) {
                  const auto* status = reply ? std::get_if<ClaimStatus>(&*reply) : nullptr;
                  const bool serves = status != nullptr && status->active_view == view;
                  if (serves && still_current()) takeover_->on_installed(member.node);
                });
  }
}

}  // namespace shuntbank
