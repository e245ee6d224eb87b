// Streams that are taken up at a node whose list of engines is older than the stream, so that it
// knows only one of the service's software versions.

#include <criterion/criterion.h>

#include "relay/support/catalog_fleet.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

/// Nodes that read their engines from the store, where engines of a version are added and removed.
struct ReleasedFleet {
  explicit ReleasedFleet(std::size_t nodes) {
    this->fleet.nodes.software_version = "v1";
    for (std::size_t i = 0; i < nodes; ++i) this->fleet.add(i % 2);
  }

  /// Registers two engines of a version.
  void add_engines(const std::string& version) {
    for (const std::string& name : names(version)) {
      this->fleet.nodes.store.put("engines", name,
                                  {{"address", "10.0.0.1:" + std::to_string(++this->last_port)},
                                   {"service", "model"},
                                   {"software", version},
                                   {"decodes", true}});
    }
  }

  void remove_engines(const std::string& version) {
    for (const std::string& name : names(version)) this->fleet.nodes.store.remove("engines", name);
  }

  static std::vector<std::string> names(const std::string& version) {
    return {version + "-0", version + "-1"};
  }

  RelayFixture& site(std::size_t node) { return *this->fleet.nodes.sites[node]; }

  void advance(Duration duration) {
    constexpr Duration kStep = 10ms;
    for (Duration passed{}; passed < duration; passed += kStep) {
      this->fleet.nodes.runtime.advance(kStep);
      for (std::size_t i = 0; i < this->fleet.nodes.sites.size(); ++i) {
        if (this->frozen.count(i) == 0) this->site(i).runtime.advance(kStep);
      }
    }
  }

  /// Stops a node: it neither reads nor sends, and its timers stand still.
  void freeze(std::size_t node) {
    this->fleet.set_isolated(node, true);
    this->frozen.insert(node);
  }

  void thaw(std::size_t node, Duration stalled) {
    this->fleet.set_isolated(node, false);
    this->frozen.erase(node);
    this->site(node).runtime.stall(stalled);
  }

  /// Starts a stream at an engine of a version and forwards its first event.
  void begin_stream(std::size_t node, const std::string& id, const std::string& version) {
    RelayFixture& site = this->site(node);
    relay::EngineDirectory& engines = site.node->engines();
    for (const auto& [engine, view] : engines.all()) {
      const bool other = view.record.software_version != version;
      for (int i = 0; other && i < 8; ++i) engines.on_attempt_sent(engine, {1000, false});
    }
    const std::size_t transfer = site.http.count();
    site.request("/resumable/a", {{"id", id}});
    cr_assert_eq(site.http.count(), transfer + 1);
    site.http.begin(transfer, 200, RelayFixture::sealed_headers(id));
    site.http.piece(transfer, "id: 1\ndata: a\n\n");
    cr_assert_eq(this->version_at(node, transfer), version);
  }

  std::string version_at(std::size_t node, std::size_t transfer) {
    const std::string engine(this->site(node).http.at(transfer).request.headers.get("for-engine"));
    return engine.substr(0, engine.find('-'));
  }

  /// Takes a stream up after its first event.
  /// @return the version that the request is sent to; empty if it is refused.
  std::string take_up(std::size_t node, const std::string& resumed) {
    RelayFixture& site = this->site(node);
    const std::size_t transfer = site.http.count();
    const auto reply = site.request(
        "/resumable/a",
        {{"id", "next-" + std::to_string(transfer)}, {"resumes", resumed}, {"last-event", "1"}});
    this->advance(2s);
    if (site.http.count() > transfer) return this->version_at(node, transfer);
    cr_assert_eq(reply->status, 503);
    return "";
  }

  CatalogFleet fleet{{.nodes = 0, .engines = 0}};
  std::set<std::size_t> frozen;
  int last_port = 1000;
};

/// What a node is cut off from.
enum class Cut { kStore, kPeers, kBoth, kFrozen };

struct CutCase {
  Cut cut;
  std::size_t nodes;
  Duration duration;
};

const char* to_text(Cut cut) {
  switch (cut) {
    case Cut::kStore:
      return "cut off from the store";
    case Cut::kPeers:
      return "cut off from the other nodes";
    case Cut::kBoth:
      return "cut off from both";
    case Cut::kFrozen:
      return "stopped";
  }
  return "";
}

void begin_cut(ReleasedFleet& site, Cut cut, std::size_t node) {
  if (cut == Cut::kFrozen) return site.freeze(node);
  if (cut != Cut::kPeers) site.fleet.stores[node]->open = false;
  if (cut != Cut::kStore)
    site.fleet.nodes.network.cut_off.insert(site.fleet.nodes.transports[node]->address);
}

void end_cut(ReleasedFleet& site, const CutCase& cut, std::size_t node) {
  if (cut.cut == Cut::kFrozen) return site.thaw(node, cut.duration);
  site.fleet.set_isolated(node, false);
}

}  // namespace

// Guards against streams that go on at another version: a node that has just started knows neither
// the other nodes nor the engines that joined since, as the store does not answer it any more.
Test(stale_engine_list, is_not_trusted_by_a_node_that_starts) {
  ReleasedFleet site(2);
  site.add_engines("v2");
  site.advance(5s);
  site.fleet.nodes.software_version = "v2";
  site.fleet.add(0);
  site.advance(200ms);
  cr_assert_eq(site.site(2).node->engines().size(), 2, "the engines are read");
  cr_assert_eq(site.fleet.nodes.exchanges[2]->node_count(), 1, "the nodes are not");
  site.fleet.set_isolated(2, true);
  site.add_engines("v1");
  site.advance(400ms);
  site.begin_stream(0, "first", "v1");
  cr_expect_eq(site.take_up(2, "first"), "");
}

// Guards against streams that go on at another version: nodes that missed its engines as they were
// stopped or cut off, and that confirm each other's list once they are back.
Test(stale_engine_list, is_not_trusted_by_nodes_that_are_back) {
  for (const Cut cut : {Cut::kStore, Cut::kPeers, Cut::kBoth, Cut::kFrozen}) {
    for (const std::size_t nodes : {1, 2}) {
      for (const Duration duration : {2s, 5s}) {
        for (const bool returned : {true, false}) {
          ReleasedFleet site(nodes + 1);
          site.add_engines("v1");
          site.advance(20s);
          for (std::size_t i = 1; i <= nodes; ++i) begin_cut(site, cut, i);
          site.add_engines("v2");
          site.advance(duration - 500ms);
          site.begin_stream(0, "first", "v2");
          site.advance(500ms);
          const CutCase done{cut, nodes, duration};
          if (!returned && cut == Cut::kFrozen) continue;
          for (std::size_t i = 1; returned && i <= nodes; ++i) end_cut(site, done, i);
          site.fleet.kill(0);
          const std::string version = site.take_up(1, "first");
          cr_expect(version.empty() || version == "v2", "%zu nodes %s for %d s%s: went on at %s",
                    nodes, to_text(cut), static_cast<int>(to_seconds(duration)),
                    returned ? "" : " and still", version.c_str());
        }
      }
    }
  }
}

// Guards against streams that go on at another version: its engines came and went while nodes were
// cut off, and the store has no history to show them.
Test(stale_engine_list, does_not_prove_that_no_version_was_missed) {
  ReleasedFleet site(3);
  site.add_engines("v1");
  site.advance(20s);
  for (const std::size_t node : {1, 2}) site.fleet.set_isolated(node, true);
  site.add_engines("v2");
  site.advance(4s);
  site.begin_stream(0, "first", "v2");
  site.remove_engines("v2");
  site.advance(4s);
  site.fleet.nodes.store.forget_history();
  for (const std::size_t node : {1, 2}) site.fleet.set_isolated(node, false);
  site.fleet.kill(0);
  site.advance(1s);
  cr_expect_eq(site.take_up(1, "first"), "");
}

// Guards against streams that go on at another version: a node that starts takes over what a node
// has observed that missed engines.
Test(stale_engine_list, is_not_confirmed_by_a_node_that_missed_changes) {
  ReleasedFleet site(3);
  site.add_engines("v1");
  site.advance(20s);
  for (const std::size_t node : {1, 2}) site.fleet.set_isolated(node, true);
  site.add_engines("v2");
  site.advance(4s);
  site.begin_stream(0, "first", "v2");
  site.remove_engines("v2");
  site.advance(4s);
  site.fleet.nodes.store.forget_history();
  for (const std::size_t node : {1, 2}) site.fleet.set_isolated(node, false);
  site.fleet.kill(0);
  site.advance(1s);
  site.fleet.add(0, true);
  site.advance(2s);
  cr_expect_eq(site.take_up(3, "first"), "");
}

// Guards against streams that go on at another version: its engines came and went before nodes that
// start with the whole system got their first list.
Test(stale_engine_list, does_not_prove_what_was_before_a_late_first_list) {
  ReleasedFleet site(3);
  for (const std::size_t node : {1, 2}) site.fleet.set_isolated(node, true);
  site.add_engines("v1");
  site.add_engines("v2");
  site.advance(2s);
  site.begin_stream(0, "first", "v2");
  site.advance(2s);
  site.remove_engines("v2");
  site.advance(4s);
  for (const std::size_t node : {1, 2}) site.fleet.set_isolated(node, false);
  site.fleet.kill(0);
  site.advance(1s);
  cr_expect_eq(site.take_up(1, "first"), "");
}

// Guards against streams that are refused though the service has had one version all the while.
Test(stale_engine_list, is_told_from_a_current_one) {
  for (const std::size_t nodes : {1, 3, 40}) {
    ReleasedFleet site(nodes);
    site.add_engines("v1");
    site.advance(300ms);
    cr_expect_eq(site.take_up(0, "never-seen"), "v1", "%zu nodes that have just started", nodes);
    site.advance(20s);
    cr_expect_eq(site.take_up(0, "nor-this"), "v1", "%zu nodes", nodes);
  }
}

// Guards against streams that are refused at nodes which are back and have missed nothing.
Test(stale_engine_list, is_current_again_once_the_store_has_confirmed_it) {
  for (const Cut cut : {Cut::kStore, Cut::kPeers, Cut::kBoth}) {
    ReleasedFleet site(3);
    site.add_engines("v1");
    site.advance(20s);
    begin_cut(site, cut, 1);
    site.advance(5s);
    end_cut(site, {cut, 1, 5s}, 1);
    site.advance(1s);
    cr_expect_eq(site.take_up(1, "never-seen"), "v1", "%s", to_text(cut));
  }
}

// Guards against streams that are refused after each loss of the store's history.
Test(stale_engine_list, is_complete_if_it_was_current_before_the_history_was_lost) {
  ReleasedFleet site(3);
  site.add_engines("v1");
  site.advance(20s);
  site.fleet.nodes.store.forget_history();
  site.advance(1s);
  cr_expect_eq(site.take_up(1, "never-seen"), "v1");
}

// Guards against nodes of a large fleet that refuse streams as the store has dropped the changes
// since their last one.
Test(stale_engine_list, is_confirmed_after_the_history_has_gone) {
  ReleasedFleet site(40);
  site.fleet.nodes.store.history_time = 10s;
  site.add_engines("v1");
  site.advance(30s);
  site.fleet.nodes.store.put("other", "object", {});
  site.advance(20s);
  site.fleet.nodes.store.put("other", "object", {});
  cr_expect_eq(site.take_up(site.fleet.follower(), "never-seen"), "v1");
}
