#include <functional>
#include <map>
#include <random>

#include "core/requests/claim_group.hpp"
#include "core/requests/claim_replica.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

MemberFact member(int index) {
  const std::string name = "n" + std::to_string(index);
  return {NodeId(name), 1, 1, {}, name, ZoneName("z" + std::to_string(index % 3)), RegionName("r")};
}

/// Six nodes, a store, and coordinators that may stop at any step and resume from the stored
/// record. Any request or answer may be lost; any node may restart and lose its state.
struct Cluster {
  explicit Cluster(std::uint64_t seed) : random(seed) {
    for (int i = 0; i < 6; ++i) replicas.emplace_back(1, 10min, 1000);
  }

  bool drop_message() { return random() % 4 == 0; }
  ClaimReplica& replica_of(const NodeId& node) {
    return replicas[static_cast<std::size_t>(node.value()[1] - '0')];
  }

  /// One claim by a node that may know an outdated membership.
  bool claim(const ClaimGroupRecord& known, const ClaimKey& key, const RequestId& claimant) {
    if (!known.stable) return false;
    ClaimVote vote(known.members.size());
    auto decision = ClaimVote::Decision::kPending;
    for (const ClaimMember& target : known.members) {
      auto verdict = ClaimVerdict::kUnavailable;
      if (!drop_message()) verdict = replica_of(target.node).claim(now, known.view, key, claimant);
      if (drop_message()) verdict = ClaimVerdict::kUnavailable;
      if (decision == ClaimVote::Decision::kPending) decision = vote.add(verdict);
    }
    return decision == ClaimVote::Decision::kGranted;
  }

  void run_coordinator() {
    if (stored.stable || stored.view == 0 || random() % 6 == 0) {
      std::vector<MemberFact> usable;
      for (int i = 0; i < 6; ++i) {
        if (random() % 4 == 0) continue;
        usable.push_back(member(i));
        usable.back().boot = boots.at(static_cast<std::size_t>(i));
      }
      std::set<NodeId> serving_members;
      for (const ClaimMember& target : stored.members) {
        if (replica_of(target.node).active_view() == stored.view)
          serving_members.insert(target.node);
      }
      if (const auto next = next_claim_group(stored, usable, serving_members)) stored = *next;
      return;
    }
    ClaimTakeover takeover(stored, 10min);
    for (const ClaimMember& target : takeover.members_to_seal()) {
      if (drop_message()) continue;
      const SealResult result = replica_of(target.node).seal(now, stored.view);
      if (!drop_message()) takeover.on_sealed(target.node, result);
    }
    if (takeover.claims_lost()) takeover.accept_lost_claims();
    for (const ClaimMember& target : takeover.members_to_install()) {
      const ClaimView view = stored.view;
      const auto install = [this, target, view, entries = takeover.entries(),
                            grant_delay = takeover.grant_delay()] {
        return replica_of(target.node).install(now, view, target.boot, entries, grant_delay);
      };
      // The message may also arrive much later, under another view.
      delayed_installs.push_back(install);
      if (!drop_message() && install() && !drop_message()) takeover.on_installed(target.node);
    }
    if (takeover.sealed() && takeover.majority_installed() && !drop_message()) stored.stable = true;
  }

  std::mt19937_64 random;
  std::vector<ClaimReplica> replicas;
  std::vector<std::uint64_t> boots = std::vector<std::uint64_t>(6, 1);
  std::vector<std::function<bool()>> delayed_installs;
  ClaimGroupRecord stored;
  MonotonicTime now{};
};

}  // namespace

Test(claims, grants_a_key_to_at_most_one_request_across_group_changes) {
  SHUNTBANK_PROPERTY("one claimant per key", [] {
    Cluster cluster(*rc::gen::arbitrary<std::uint64_t>());
    std::map<ClaimKey, RequestId> granted;
    std::vector<ClaimGroupRecord> known_records{cluster.stored};
    int claimants = 0;
    for (int step = 0; step < 300; ++step) {
      cluster.now += 100ms;
      const auto action = cluster.random() % 10;
      if (action < 5) {
        const ClaimKey key("k" + std::to_string(cluster.random() % 6));
        const RequestId claimant("r" + std::to_string(++claimants));
        const auto& record =
            known_records[known_records.size() - 1 -
                          cluster.random() % std::min<std::size_t>(3, known_records.size())];
        if (cluster.claim(record, key, claimant)) {
          RC_ASSERT(granted.emplace(key, claimant).first->second == claimant);
        }
      } else if (action < 9) {
        cluster.run_coordinator();
        known_records.push_back(cluster.stored);
      } else if (cluster.random() % 8 == 0) {
        const std::size_t restarted = cluster.random() % 6;
        cluster.replicas[restarted] = ClaimReplica(++cluster.boots[restarted], 10min, 1000);
      } else if (!cluster.delayed_installs.empty()) {
        cluster.delayed_installs[cluster.random() % cluster.delayed_installs.size()]();
      }
    }
  });
}

Test(claims, a_healthy_group_grants_a_key_once) {
  Cluster cluster(1);
  std::vector<ClaimReplica>& replicas = cluster.replicas;
  std::vector<MemberFact> usable;
  for (int i = 0; i < 6; ++i) usable.push_back(member(i));
  ClaimGroupRecord record = *next_claim_group({}, usable, {});
  cr_assert_eq(record.members.size(), 3);
  for (const ClaimMember& target : record.members)
    cr_assert(cluster.replica_of(target.node).install({}, 1, 1, {}));
  int granted = 0;
  for (ClaimReplica& replica : replicas) {
    granted +=
        replica.claim({}, 1, ClaimKey("k"), RequestId("a")) == ClaimVerdict::kGranted ? 1 : 0;
  }
  cr_assert_eq(granted, 3);
  cr_assert_eq(
      cluster.replica_of(record.members[0].node).claim({}, 1, ClaimKey("k"), RequestId("b")),
      ClaimVerdict::kHeld);
}

Test(claims, members_are_in_different_zones_and_a_group_never_shrinks) {
  std::vector<MemberFact> usable{member(0), member(3), member(1), member(2)};
  ClaimGroupRecord record = *next_claim_group({}, usable, {});
  std::set<char> zones;
  for (const ClaimMember& target : record.members) zones.insert((target.node.value()[1] - '0') % 3);
  cr_assert_eq(zones.size(), 3);
  record.stable = true;
  std::set<NodeId> all;
  for (const ClaimMember& target : record.members) all.insert(target.node);
  const std::vector<MemberFact> two{member(1), member(2)};
  const auto next = next_claim_group(record, two, all);
  cr_assert(!next || next->members.size() == 3);
}

Test(claims, two_tenants_never_share_a_key) {
  cr_assert_neq(claim_key(TenantName("a"), "bc").value(), claim_key(TenantName("ab"), "c").value());
  SHUNTBANK_PROPERTY(
      "distinct pairs, distinct keys",
      [](const std::string& t, const std::string& k, const std::string& u, const std::string& l) {
        const bool same = claim_key(TenantName(t), k) == claim_key(TenantName(u), l);
        RC_ASSERT(same == (t == u && k == l));
      });
}

Test(claims, a_restarted_replica_grants_nothing_before_it_installs_a_view) {
  ClaimReplica replica(1, 10min, 10);
  cr_assert_eq(replica.claim({}, 1, ClaimKey("k"), RequestId("a")), ClaimVerdict::kUnavailable);
  replica.install({}, 2, 1, {{ClaimKey("k"), RequestId("a"), 1s}});
  cr_assert_eq(replica.claim({}, 2, ClaimKey("k"), RequestId("b")), ClaimVerdict::kHeld);
  replica.seal({}, 3);
  cr_assert_eq(replica.claim({}, 2, ClaimKey("j"), RequestId("b")), ClaimVerdict::kUnavailable);
  cr_assert(!replica.install({}, 2, 1, {}));
  cr_assert(!replica.install({}, 4, 2, {}), "installed for another incarnation");
}
