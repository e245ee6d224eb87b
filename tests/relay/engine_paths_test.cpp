// Nodes that cannot connect to engines which other nodes reach.

#include <criterion/criterion.h>

#include <algorithm>

#include "relay/support/exchanging_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

/// Fails all sends of a node before a byte has left, until its caller has an answer.
void fail_connections(RelayFixture& site, const RecordedReply& reply) {
  for (std::size_t i = 0; i < site.http.count() && reply.status == 0; ++i) {
    if (!site.http.at(i).done) site.http.fail(i, TransferFailure::kNothingSent);
  }
}

/// A node with five others in three zones.
struct PathSite : RelayFixture {
  PathSite() {
    this->probe = &this->probes;
    this->restart();
    relay::PeerRecords nodes;
    for (const char* name : {"n1", "n2", "n3", "n4", "n5", "n6"}) {
      const ZoneName zone(std::string("z") + std::to_string(nodes.size() % 3));
      nodes[NodeId(name)] = {std::string(name) + ":1", zone, 1};
    }
    this->node->paths().peers().set_nodes(nodes, NodeId("n1"));
    this->node->set_fleet({6, 0});
    this->runtime.advance(relay::charge_duration(this->settings.retry_budget));
  }

  /// Lets the node notice that it reaches no engine.
  void lose_path() {
    this->probes.reachable.clear();
    this->node->paths().on_connect_failed(EngineId("a"), true);
    this->runtime.advance(300ms);
  }

  const SentRequest& last() { return this->http.at(this->http.count() - 1); }
  bool last_is_direct() { return !this->last().request.tunnel.has_value(); }

  bool terminated(const char* engine) {
    return this->node->engines().find(EngineId(engine))->terminated;
  }

  ScriptedProbe probes{this->runtime};
};

}  // namespace

// Guards against nodes that avoid healthy engines because another node cannot connect to them.
Test(engine_paths, does_not_report_engines_that_only_this_node_cannot_reach) {
  ExchangingFleet fleet(3);
  fleet.runtime.advance(3s);
  for (const auto& site : fleet.sites) {
    for (const char* id : {"a", "b", "c"}) site->add_engine(id, "plain");
  }
  RelayFixture& cut = *fleet.sites[0];
  const auto reply = cut.request("/safe/x");
  fail_connections(cut, *reply);
  cr_assert_eq(reply->status, 503);
  fleet.runtime.advance(100ms);
  const MonotonicTime now = fleet.runtime.now();
  for (const char* id : {"a", "b", "c"}) {
    const relay::EngineView* engine = fleet.sites[1]->node->engines().find(EngineId(id));
    cr_assert_leq(engine->backoff_until, now, "%s is backed off at another node", id);
  }
}

Test(engine_paths, sends_an_unsent_request_to_the_same_engine_through_another_node) {
  PathSite site;
  site.add_engine("a", "plain");
  const auto reply = site.request("/once/x");
  cr_assert(site.last_is_direct());
  site.http.refuse_connection(0);
  cr_assert_eq(site.http.count(), 2U);
  cr_assert(site.last().request.tunnel.has_value());
  cr_assert_eq(site.last().request.tunnel->target, "a");
  cr_assert_eq(site.last().request.url, "http://a:80/once/x");
  site.http.answer(1, 200, RelayFixture::sealed_headers(), "whole");
  cr_assert_eq(reply->body, "whole");
  cr_assert_not(site.terminated("a"));
}

// Guards against a second run of a request that must run once at most.
Test(engine_paths, does_not_repeat_a_request_that_a_tunnel_may_have_carried) {
  PathSite site;
  for (const char* id : {"a", "b"}) site.add_engine(id, "plain");
  const auto reply = site.request("/once/x");
  site.http.refuse_connection(0);
  site.http.fail(1, TransferFailure::kUncertain);
  cr_assert_eq(site.http.count(), 2U);
  cr_assert_eq(reply->status, 502);
}

Test(engine_paths, asks_nodes_of_several_zones_and_then_turns_to_another_engine) {
  PathSite site;
  for (const char* id : {"a", "b"}) site.add_engine(id, "plain");
  site.request("/once/x");
  const std::string first_engine = site.last().request.url;
  site.http.refuse_connection(0);
  std::set<std::string> asked;
  for (std::size_t i = 1; i <= 3; ++i) {
    cr_assert_eq(site.last().request.url, first_engine);
    asked.insert(site.last().request.tunnel->address);
    site.http.refuse_tunnel(i, TunnelStatus::kUnavailable);
  }
  cr_assert_eq(asked.size(), 3U);
  cr_assert_neq(site.last().request.url, first_engine);
  cr_assert_not(site.terminated("a"));
  cr_assert_not(site.terminated("b"));
}

// Guards against taking a partition of several nodes for the end of an engine.
Test(engine_paths, takes_an_engine_for_ended_only_if_other_nodes_are_refused_too) {
  PathSite site;
  site.add_engine("a", "plain");
  site.request("/once/x");
  site.http.refuse_connection(0);
  site.http.refuse_tunnel(1, TunnelStatus::kRefused);
  cr_assert_not(site.terminated("a"));
  site.http.refuse_tunnel(2, TunnelStatus::kUnavailable);
  site.http.refuse_tunnel(3, TunnelStatus::kRefused);
  cr_assert_not(site.terminated("a"), "two of three were refused");
  site.runtime.advance(3s);
  site.request("/once/x", {{"id", "r2"}});
  for (int i = 0; i < 3; ++i)
    site.http.refuse_tunnel(site.http.count() - 1, TunnelStatus::kRefused);
  cr_assert(site.terminated("a"));
}

// Guards against taking a partition of most nodes for the end of an engine.
Test(engine_paths, takes_no_engine_for_ended_that_other_nodes_use) {
  PathSite site;
  site.add_engine("a", "plain");
  site.node->engines().on_peer_load(site.runtime.now(), NodeId("n2"), {{EngineId("a"), {1, 0, 0}}});
  site.request("/once/x");
  site.http.refuse_connection(0);
  for (std::size_t i = 1; i <= 3; ++i) site.http.refuse_tunnel(i, TunnelStatus::kRefused);
  cr_assert_not(site.terminated("a"));
  cr_assert(site.node->take_troubles().empty());
}

Test(engine_paths, checks_its_own_path_if_no_other_node_can_tell) {
  PathSite site;
  site.add_engine("a", "plain");
  site.add_engine("b", "plain");
  site.node->paths().peers().set_nodes({}, NodeId("n1"));
  site.probes.reachable = {"b:80"};
  site.request("/once/x");
  site.http.refuse_connection(0);
  site.runtime.advance(300ms);
  cr_assert(site.terminated("a"), "the node reaches other engines");

  PathSite cut;
  cut.add_engine("a", "plain");
  cut.add_engine("b", "plain");
  cut.node->paths().peers().set_nodes({}, NodeId("n1"));
  cut.request("/once/x");
  cut.http.refuse_connection(0);
  cut.runtime.advance(300ms);
  cr_assert_not(cut.terminated("a"), "the node reaches no engine");
}

// Guards against a check that happens to find one of the few engines left in reach.
Test(engine_paths, leaves_the_question_open_if_the_nodes_asked_are_cut_off_too) {
  PathSite site;
  for (const char* id : {"a", "b"}) site.add_engine(id, "plain");
  site.probes.reachable = {"b:80"};
  site.request("/once/x");
  const std::string refused = site.last().request.url.substr(7, 1);
  site.http.refuse_connection(0);
  for (std::size_t i = 1; i <= 3; ++i) site.http.refuse_tunnel(i, TunnelStatus::kUnavailable);
  site.runtime.advance(1s);
  cr_assert_not(site.terminated(refused.c_str()));
}

Test(engine_paths, asks_another_node_at_once_while_its_path_is_broken) {
  PathSite site;
  for (const char* id : {"a", "b"}) site.add_engine(id, "plain");
  site.lose_path();
  cr_assert(site.node->paths().path_broken());
  site.request("/once/x");
  cr_assert_not(site.last_is_direct());
  site.probes.reachable = {"a:80", "b:80"};
  site.runtime.advance(700ms);
  site.request("/once/x", {{"id", "r2"}});
  cr_assert(site.last_is_direct(), "back within a second");
}

// Guards against returning to direct connections that hang since one engine is left in reach.
Test(engine_paths, does_not_take_one_reachable_engine_for_the_end_of_a_partition) {
  PathSite site;
  for (const char* id : {"a", "b", "c", "d"}) site.add_engine(id, "plain");
  site.lose_path();
  site.probes.reachable = {"a:80"};
  site.runtime.advance(2s);
  cr_assert(site.node->paths().path_broken());
  site.probes.reachable = {"a:80", "b:80"};
  site.runtime.advance(1s);
  cr_assert_not(site.node->paths().path_broken());
}

Test(engine_paths, keeps_direct_paths_to_other_engines_in_a_partial_partition) {
  PathSite site;
  for (const char* id : {"a", "b"}) site.add_engine(id, "plain");
  site.probes.reachable = {"b:80"};
  site.node->paths().on_connect_failed(EngineId("a"), false);
  site.runtime.advance(2s);
  cr_assert_not(site.node->paths().path_broken());
  cr_assert(site.node->paths().is_broken(EngineId("a")));
  cr_assert_not(site.node->paths().is_broken(EngineId("b")));
  site.probes.reachable.insert("a:80");
  site.runtime.advance(700ms);
  cr_assert_not(site.node->paths().is_broken(EngineId("a")));
}

// Guards against requests that wait until their deadline on a connection without a path.
Test(engine_paths, repeats_a_silent_request_when_its_path_breaks) {
  PathSite site;
  for (const char* id : {"a", "b"}) site.add_engine(id, "plain");
  site.request("/safe/x");
  site.runtime.advance(1200ms);
  cr_assert(site.node->paths().path_broken(), "noticed by the silence alone");
  cr_assert(site.http.at(0).cancelled);
  cr_assert_eq(site.http.count(), 2U);
  cr_assert_not(site.last_is_direct());
}

Test(engine_paths, keeps_a_silent_request_that_must_not_run_twice) {
  PathSite site;
  for (const char* id : {"a", "b"}) site.add_engine(id, "plain");
  const auto reply = site.request("/once/x");
  site.runtime.advance(1200ms);
  cr_assert(site.node->paths().path_broken());
  cr_assert_not(site.http.at(0).cancelled);
  site.http.answer(0, 200, RelayFixture::sealed_headers(), "late");
  cr_assert_eq(reply->body, "late");
}

Test(engine_paths, waits_for_a_sound_engine_that_pauses) {
  PathSite site;
  for (const char* id : {"a", "b"}) site.add_engine(id, "plain");
  site.probes.reachable = {"a:80", "b:80"};
  site.request("/safe/x");
  site.runtime.advance(2500ms);
  cr_assert_eq(site.http.count(), 1U);
  cr_assert_not(site.http.at(0).cancelled);
  cr_assert_leq(site.probes.count, 10, "no flood of probes");
}

namespace {

/// Interrupts a request at two engines. @return the index of the first liveness check; the second
/// one follows it.
std::size_t interrupt_twice(PathSite& site) {
  for (const char* id : {"a", "b", "c", "d", "e"}) site.add_engine(id, "plain");
  site.request("/safe/x");
  site.http.fail(0, TransferFailure::kUncertain);
  site.http.fail(1, TransferFailure::kUncertain);
  return 2;
}

/// Sends the same request again and interrupts it. @return whether it is sent to another engine;
/// with two confirmed crashes it is not.
bool retries_after_interruption(PathSite& site) {
  site.runtime.advance(11s);
  site.request("/safe/x", {{"id", "r2"}});
  const std::size_t sent = site.http.count();
  site.http.fail(sent - 1, TransferFailure::kUncertain);
  const auto is_caller_request = [](const auto& entry) { return entry->request.method == "POST"; };
  return std::any_of(site.http.sent.begin() + static_cast<std::ptrdiff_t>(sent),
                     site.http.sent.end(), is_caller_request);
}

}  // namespace

// Guards against holding back innocent requests that a partition interrupted.
Test(engine_paths, does_not_suspect_a_request_when_another_node_reaches_its_engines) {
  PathSite site;
  const std::size_t check = interrupt_twice(site);
  for (const std::size_t direct : {check, check + 1}) {
    cr_assert_eq(site.http.at(direct).request.method, "GET");
    site.http.refuse_connection(direct);
    cr_assert_not(site.last_is_direct());
    site.http.answer(site.http.count() - 1, 200, {}, "decode");
  }
  cr_assert(retries_after_interruption(site));
}

// Guards against a request that crashes engines passing for a victim of the network.
Test(engine_paths, suspects_a_request_whose_engines_refuse_other_nodes_as_well) {
  PathSite site;
  const std::size_t check = interrupt_twice(site);
  for (const std::size_t direct : {check, check + 1}) {
    site.http.refuse_connection(direct);
    for (int i = 0; i < 3; ++i) {
      site.http.refuse_tunnel(site.http.count() - 1, TunnelStatus::kRefused);
    }
  }
  cr_assert_not(retries_after_interruption(site));
}

// Guards against a node that takes its broken path for crashes if it can ask nobody.
Test(engine_paths, confirms_no_crash_while_its_path_is_broken) {
  PathSite site;
  site.node->paths().peers().set_nodes({}, NodeId("n1"));
  const std::size_t check = interrupt_twice(site);
  for (const std::size_t direct : {check, check + 1}) site.http.refuse_connection(direct);
  cr_assert(retries_after_interruption(site));
}

// Guards against a flood of connections when all engines of a service have really ended.
Test(engine_paths, probes_little_when_engines_have_ended) {
  PathSite site;
  for (const char* id : {"a", "b"}) site.add_engine(id, "plain");
  site.add_engine("c", "model", relay::EngineStage::kDecode);
  site.probes.reachable = {"c:80"};
  for (int i = 0; i < 50; ++i) {
    const std::size_t first = site.http.count();
    const auto reply = site.request("/safe/x", {{"id", "r" + std::to_string(i)}});
    for (std::size_t sent = first; sent < site.http.count(); ++sent) {
      if (site.http.at(sent).request.tunnel) {
        site.http.refuse_tunnel(sent, TunnelStatus::kRefused);
      } else {
        site.http.refuse_connection(sent);
      }
    }
    cr_assert_eq(reply->status, 503);
    site.runtime.advance(100ms);
  }
  for (const char* id : {"a", "b"}) cr_assert(site.terminated(id));
  cr_assert_leq(site.probes.count, 25, "%d probes in 5 s", site.probes.count);
}
