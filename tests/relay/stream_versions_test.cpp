// Streams that go on after events, within an answer or over a caller's tries, at services with
// engines of several software versions.

#include <criterion/criterion.h>

#include <set>

#include "common/hash.hpp"
#include "relay/stream_archive.hpp"
#include "relay/support/exchanging_fleet.hpp"
#include "relay/version_store.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;

namespace {

constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";
constexpr const char* kSecondEvent = "id: 2\ndata: b\n\n";

/// Registers decode engines whose names begin with their version.
void add_engines(RelayFixture& site, const std::string& version, int count) {
  site.software_version = version;
  for (int i = 0; i < count; ++i) {
    site.add_engine(version + "-" + std::to_string(i), "model", EngineStage::kDecode);
  }
}

/// @return the software version of the engine that a transfer went to.
std::string version_at(RelayFixture& site, std::size_t transfer) {
  const std::string engine(site.http.at(transfer).request.headers.get("for-engine"));
  return engine.substr(0, engine.find('-'));
}

/// Nodes that know the same engines: two of one version and two of another.
struct VersionedFleet {
  explicit VersionedFleet(std::size_t nodes = 4, std::vector<std::string> served = {"v1", "v2"})
      : fleet(nodes, 2, served.front()), versions(std::move(served)) {
    for (std::size_t i = 0; i < nodes; ++i) this->add_engines_at(i);
    this->advance(5s);
  }

  void add_engines_at(std::size_t node) {
    RelayFixture& site = *this->fleet.sites[node];
    site.node->set_engines({});
    for (const std::string& version : this->versions) add_engines(site, version, 2);
  }

  void advance(Duration duration) {
    constexpr Duration kStep = 10ms;
    for (Duration passed{}; passed < duration; passed += kStep) {
      this->fleet.runtime.advance(kStep);
      for (const auto& site : this->fleet.sites) site->runtime.advance(kStep);
    }
  }

  /// Starts a stream and forwards its first event. @return the version that it began at.
  std::string begin_stream(std::size_t node, const std::string& id) {
    RelayFixture& site = *this->fleet.sites[node];
    const std::size_t transfer = site.http.count();
    site.request("/resumable/a", {{"id", id}});
    site.http.begin(transfer, 200, RelayFixture::sealed_headers(id));
    site.http.piece(transfer, kFirstEvent);
    return version_at(site, transfer);
  }

  /// Makes a node prefer the engines of other versions.
  void make_busy(std::size_t node, const std::string& version) {
    relay::EngineDirectory& engines = this->fleet.sites[node]->node->engines();
    for (const char* suffix : {"-0", "-1"}) {
      for (int i = 0; i < 4; ++i)
        engines.on_attempt_sent(EngineId(version + suffix), {1000, false});
    }
  }

  /// Takes a stream up after its first event.
  /// @return the version that the request is sent to; empty if it is refused.
  std::string take_up(std::size_t node, const std::string& id, const std::string& resumed) {
    RelayFixture& site = *this->fleet.sites[node];
    const std::size_t transfer = site.http.count();
    const auto reply =
        site.request("/resumable/a", {{"id", id}, {"resumes", resumed}, {"last-event", "1"}});
    this->advance(500ms);
    if (site.http.count() == transfer) cr_assert_eq(reply->status, 503);
    return site.http.count() > transfer ? version_at(site, transfer) : std::string();
  }

  /// Kills a node and starts it again, so that it knows nothing of before.
  void restart(std::size_t node) {
    this->fleet.disconnect(node);
    this->fleet.quarantines[node].reset();
    this->fleet.sites[node]->settings.bootstrap = false;
    this->fleet.sites[node]->restart();
    this->add_engines_at(node);
    relay::LoadExchangeSettings settings;
    settings.zone = ZoneName(this->fleet.transports[node]->zone);
    settings.join_existing = true;
    const std::string address = this->fleet.transports[node]->address;
    this->fleet.transports[node] = std::make_unique<MockTransport>(this->fleet.network, address);
    this->fleet.transports[node]->zone = settings.zone.value();
    this->fleet.exchanges[node] = std::make_unique<relay::LoadExchange>(
        this->fleet.runtime, this->fleet.store, *this->fleet.transports[node],
        *this->fleet.sites[node]->node, address.substr(0, address.find(':')), settings);
  }

  /// Keeps the streams in the store, from now on and over restarts.
  void open_archives() {
    this->archives.clear();
    for (std::size_t i = 0; i < this->fleet.sites.size(); ++i) {
      this->archives.push_back(std::make_unique<relay::StreamArchive>(
          this->fleet.runtime, this->fleet.store, *this->fleet.sites[i]->node,
          "n" + std::to_string(i + 1)));
    }
  }

  /// Kills all nodes at once and starts them again.
  void restart_all() {
    this->archives.clear();
    for (std::size_t i = 0; i < this->fleet.sites.size(); ++i) this->fleet.disconnect(i);
    for (std::size_t i = 0; i < this->fleet.sites.size(); ++i) this->restart(i);
    this->open_archives();
    this->advance(3s);
  }

  ExchangingFleet fleet;
  std::vector<std::string> versions;
  std::vector<std::unique_ptr<relay::StreamArchive>> archives;
};

}  // namespace

// Guards against answers that hold events of two software versions.
Test(stream_versions, does_not_continue_an_answer_at_another_version) {
  for (const int same : {1, 3}) {
    RelayFixture site;
    add_engines(site, "v1", same);
    add_engines(site, "v2", same);
    const auto reply = site.request("/resumable/a");
    site.http.begin(0, 200, RelayFixture::sealed_headers());
    site.http.piece(0, kFirstEvent);
    site.http.fail(0, TransferFailure::kUncertain);
    if (same == 1) {
      cr_assert_eq(site.http.count(), 1);
      cr_assert(reply->aborted);
      cr_assert_eq(site.node->in_flight(), 0, "the answer ends at once");
      continue;
    }
    cr_assert_eq(site.http.count(), 2);
    cr_assert_eq(version_at(site, 1), version_at(site, 0));
    site.http.answer(1, 200, RelayFixture::sealed_headers(), kSecondEvent);
    cr_assert(reply->finished);
  }
}

// Guards against a retry before the first event that is bound to the version of a failed attempt.
Test(stream_versions, retries_at_any_version_before_the_first_event) {
  RelayFixture site;
  add_engines(site, "v1", 1);
  add_engines(site, "v2", 1);
  const auto reply = site.request("/resumable/a");
  site.http.begin(0, 200, RelayFixture::sealed_headers());
  site.http.fail(0, TransferFailure::kUncertain);
  cr_assert_eq(site.http.count(), 2);
  site.http.answer(1, 200, RelayFixture::sealed_headers(), kFirstEvent);
  cr_assert(reply->finished);
}

// Guards against engines of an unknown version that are taken for the same version.
Test(stream_versions, does_not_continue_an_answer_at_another_engine_of_unknown_version) {
  RelayFixture site;
  site.software_version.clear();
  site.add_engine("e1", "model", EngineStage::kDecode);
  site.add_engine("e2", "model", EngineStage::kDecode);
  const auto reply = site.request("/resumable/a");
  site.http.begin(0, 200, RelayFixture::sealed_headers());
  site.http.piece(0, kFirstEvent);
  site.http.fail(0, TransferFailure::kUncertain);
  cr_assert_eq(site.http.count(), 1);
  cr_assert(reply->aborted);
}

// Guards against streams that are taken up at another node and another software version.
Test(stream_versions, takes_a_stream_up_at_the_version_that_began_it) {
  VersionedFleet site;
  std::set<std::string> versions;
  for (int i = 0; i < 24; ++i) {
    const std::string id = "first" + std::to_string(i);
    const std::string version = site.begin_stream(0, id);
    versions.insert(version);
    site.make_busy(1, version);
    site.make_busy(2, version);
    cr_assert_eq(site.take_up(1, "second" + std::to_string(i), id), version);
    cr_assert_eq(site.take_up(2, "third" + std::to_string(i), id), version,
                 "a stream that is taken up twice keeps its first id");
  }
  cr_assert_eq(versions.size(), 2, "both versions began streams");
}

// Guards against a version that is lost with the node that began the stream.
Test(stream_versions, takes_a_stream_up_after_the_first_node_was_killed) {
  VersionedFleet site(5);
  std::vector<std::string> versions;
  for (int i = 0; i < 12; ++i)
    versions.push_back(site.begin_stream(0, "first" + std::to_string(i)));
  site.fleet.disconnect(0);
  for (int i = 0; i < 12; ++i) {
    const std::string resumed = "first" + std::to_string(i);
    cr_assert_eq(site.take_up(1 + i % 4, "second" + std::to_string(i), resumed),
                 versions[static_cast<std::size_t>(i)]);
  }
}

// Guards against a stream whose version is unknown and that goes on at any.
Test(stream_versions, does_not_take_up_a_stream_of_unknown_version) {
  VersionedFleet site;
  cr_assert_eq(site.take_up(1, "second", "never-seen"), "");
  site.begin_stream(0, "first");
  for (std::size_t i = 0; i < site.fleet.sites.size(); ++i) site.restart(i);
  site.advance(5s);
  cr_assert_eq(site.take_up(1, "second", "first"), "", "all nodes have lost it");
}

// Guards against streams that are refused though the service has had one version all the while.
Test(stream_versions, takes_up_a_stream_that_nobody_knows_while_there_is_one_version) {
  VersionedFleet site(4, {"v1"});
  cr_assert_eq(site.take_up(1, "second", "never-seen"), "v1");
  site.restart(1);
  site.advance(2s);
  cr_assert_eq(site.take_up(1, "third", "never-seen"), "v1", "the other nodes have seen it");
  cr_assert_eq(site.take_up(2, "fourth", "never-seen"), "v1");
}

// Guards against a version that ended while no node observed the service.
Test(stream_versions, does_not_rely_on_one_version_after_all_nodes_restarted) {
  VersionedFleet site(4, {"v1"});
  for (std::size_t i = 0; i < site.fleet.sites.size(); ++i) site.fleet.disconnect(i);
  site.versions = {"v2"};
  for (std::size_t i = 0; i < site.fleet.sites.size(); ++i) site.restart(i);
  site.advance(3s);
  cr_assert_eq(site.take_up(1, "second", "never-seen"), "");
  site.advance(30s);
  cr_assert_eq(site.take_up(1, "third", "never-seen"), "v2", "streams of before have ended");
}

// Guards against a node that is cut off with an old list of engines and trusts it.
Test(stream_versions, does_not_rely_on_its_own_list_of_engines_alone) {
  VersionedFleet site(4, {"v1"});
  site.fleet.network.cut_off.insert(site.fleet.transports[1]->address);
  cr_assert_eq(site.take_up(1, "second", "never-seen"), "");
}

// Guards against streams that are all lost as all nodes are killed while two versions serve.
Test(stream_archive, takes_streams_up_after_all_nodes_were_killed) {
  VersionedFleet site;
  site.open_archives();
  std::map<std::string, std::string> begun;
  for (std::size_t i = 0; i < 12; ++i) {
    const std::string id = "stream-" + std::to_string(i);
    begun[id] = site.begin_stream(i % 4, id);
  }
  site.advance(1500ms);
  site.restart_all();
  site.make_busy(1, "v1");
  for (const auto& [id, version] : begun)
    cr_assert_eq(site.take_up(1, "next-" + id, id), version, "%s", id.c_str());
  cr_assert_eq(site.take_up(2, "other", "never-seen"), "");
}

// Guards against streams that are lost as their node restarts twice and writes its object anew.
Test(stream_archive, keeps_the_streams_of_the_previous_run_of_a_node) {
  VersionedFleet site;
  site.open_archives();
  const std::string version = site.begin_stream(0, "first");
  site.advance(1500ms);
  site.restart_all();
  for (std::size_t i = 0; i < 4; ++i) site.begin_stream(i, "second-" + std::to_string(i));
  site.advance(1500ms);
  site.restart_all();
  cr_assert_eq(site.take_up(3, "third", "first"), version);
}

// Guards against callers that wait for a store which does not answer.
Test(stream_archive, refuses_streams_while_the_store_is_down) {
  VersionedFleet site;
  site.open_archives();
  site.begin_stream(0, "first");
  site.advance(1500ms);
  site.restart_all();
  site.fleet.store.down = true;
  cr_assert_eq(site.take_up(1, "second", "first"), "");
}

// Guards against calls to the store for streams that need no record.
Test(stream_archive, writes_nothing_while_there_is_one_version) {
  VersionedFleet site(4, {"v1"});
  site.open_archives();
  const int writes = site.fleet.store.writes;
  const int lists = site.fleet.store.lists;
  for (std::size_t i = 0; i < 12; ++i) site.begin_stream(i % 4, "stream-" + std::to_string(i));
  site.advance(5s);
  cr_assert_eq(site.fleet.store.writes, writes);
  cr_assert_eq(site.fleet.store.lists, lists);
}

// Guards against objects that stay in the store once their streams have ended.
Test(stream_archive, empties_its_objects) {
  VersionedFleet site;
  site.open_archives();
  site.begin_stream(0, "first");
  site.advance(1500ms);
  site.fleet.sites[0]->http.answer(0, 200, RelayFixture::sealed_headers("first"), kSecondEvent);
  site.advance(15s);
  nlohmann::json kept;
  site.fleet.store.read("shuntbank-streams", "n1", 1s,
                        [&kept](const auto& object) { kept = object->content; });
  site.advance(10ms);
  cr_assert(kept.at("origins").empty());
}

// Guards against a version that is lost with the nodes that held it, while the stream still runs.
Test(stream_versions, hands_the_version_on_again_while_the_stream_runs) {
  VersionedFleet site;
  const std::string version = site.begin_stream(0, "first");
  for (const std::size_t other : {1, 2, 3}) site.restart(other);
  site.advance(2500ms);
  site.fleet.disconnect(0);
  cr_assert_eq(site.take_up(1, "second", "first"), version);
}

// Guards against a caller that takes up a stream of another tenant.
Test(stream_versions, does_not_take_up_a_stream_of_another_tenant) {
  RelayFixture site;
  add_engines(site, "v1", 2);
  add_engines(site, "v2", 2);
  relay::RouteConfiguration configuration = RelayFixture::configuration(2);
  configuration.tenants.emplace();
  for (const char* name : {"one", "two"}) {
    const std::string key = std::string("key-") + name;
    configuration.tenants->push_back(
        {TenantName(name), {{sha256_hex(key), std::nullopt}}, std::nullopt, std::nullopt});
  }
  site.node->adopt(configuration);
  site.request("/resumable/a", {{"key", "key-one"}});
  site.http.begin(0, 200, RelayFixture::sealed_headers());
  site.http.piece(0, kFirstEvent);
  const auto other =
      site.request("/resumable/a", {{"key", "key-two"}, {"resumes", "r1"}, {"last-event", "1"}});
  cr_assert_eq(other->status, 503);
  site.request("/resumable/a", {{"key", "key-one"}, {"resumes", "r1"}, {"last-event", "1"}});
  cr_assert_eq(site.http.count(), 2);
  cr_assert_eq(version_at(site, 1), version_at(site, 0));
}

namespace {

/// A node and the store that keeps the versions over its restarts.
struct StoredSite {
  explicit StoredSite(const std::string& version) {
    add_engines(this->site, version, 2);
    this->open(true);
    this->site.runtime.advance(3s);
  }

  void open(bool bootstrap) {
    this->versions =
        std::make_unique<relay::VersionStore>(this->site.runtime, this->store, *this->site.node,
                                              bootstrap, [this] { return this->is_holder; });
  }

  /// Restarts the node, which finds engines of this version.
  void restart(const std::string& version) {
    this->versions.reset();
    this->site.settings.bootstrap = false;
    this->site.restart();
    this->open(false);
    this->site.runtime.advance(10ms);
    add_engines(this->site, version, 2);
  }

  /// Forwards the first event of a stream at an engine of a version.
  void begin_stream(const std::string& id, const std::string& version) {
    relay::EngineDirectory& engines = this->site.node->engines();
    for (const auto& [engine, view] : engines.all()) {
      const bool other = view.record.software_version != version;
      for (int i = 0; other && i < 4; ++i) engines.on_attempt_sent(engine, {1000, false});
    }
    const std::size_t transfer = this->site.http.count();
    this->site.request("/resumable/a", {{"id", id}});
    this->site.http.begin(transfer, 200, RelayFixture::sealed_headers(id));
    this->site.http.piece(transfer, kFirstEvent);
    cr_assert_eq(version_at(this->site, transfer), version);
  }

  /// @return the number of engines that the stream is sent to.
  std::size_t take_up(const std::string& stream = "") {
    const std::size_t before = this->site.http.count();
    this->site.request("/resumable/a", {{"resumes", stream}, {"last-event", "1"}});
    return this->site.http.count() - before;
  }

  RelayFixture site;
  MemoryStore store{site.runtime};
  bool is_holder = true;  ///< Of the lease.
  std::unique_ptr<relay::VersionStore> versions;
};

}  // namespace

// Guards against streams that are refused after all nodes have restarted at once.
Test(version_store, takes_streams_up_after_a_restart_of_all_nodes) {
  StoredSite stored("v1");
  const int writes = stored.store.writes;
  stored.site.runtime.advance(10s);
  cr_assert_eq(stored.store.writes, writes, "nothing has changed");
  stored.restart("v1");
  cr_assert_eq(stored.take_up(), 1);
}

// Guards against streams that go on at the version that was started while no node ran.
Test(version_store, refuses_streams_after_a_restart_of_all_nodes_and_a_release) {
  StoredSite stored("v1");
  stored.restart("v2");
  cr_assert_eq(stored.take_up(), 0);
  stored.site.runtime.advance(70s);
  cr_assert_eq(stored.take_up(), 1, "v1 was seen longer ago than streams are taken up");
}

// Guards against a node that takes a store which does not answer for one without versions.
Test(version_store, waits_for_the_store) {
  StoredSite stored("v1");
  stored.store.down = true;
  stored.restart("v1");
  cr_assert_eq(stored.take_up(), 0);
  stored.store.down = false;
  stored.site.runtime.advance(3s);
  cr_assert_eq(stored.take_up(), 1);
}
// Guards against text of two versions: engines that began streams came and went between two checks
// of the list, or before their version was recorded, and all nodes have restarted since.
Test(version_store, remembers_a_version_whose_engines_left_before_all_nodes_restarted) {
  for (const Duration served : {100ms, 700ms, 1500ms}) {
    StoredSite stored("v1");
    add_engines(stored.site, "v2", 2);
    stored.begin_stream("first", "v2");
    stored.site.runtime.advance(served);
    for (const char* engine : {"v2-0", "v2-1"}) stored.site.node->remove_engine(engine);
    stored.restart("v1");
    cr_assert_eq(stored.take_up("first"), 0, "the stream goes on at v1");
  }
}

// Guards against text of two versions: no node has the lease, so that nobody records versions.
Test(version_store, remembers_a_version_that_was_started_while_no_node_had_the_lease) {
  StoredSite stored("v1");
  stored.is_holder = false;
  add_engines(stored.site, "v2", 2);
  stored.begin_stream("first", "v2");
  stored.site.runtime.advance(3s);
  for (const char* engine : {"v2-0", "v2-1"}) stored.site.node->remove_engine(engine);
  stored.restart("v1");
  cr_assert_eq(stored.take_up("first"), 0, "the stream goes on at v1");
}

// Guards against a node that has run for less time than others and drops what they recorded.
Test(version_store, adds_to_the_versions_that_another_node_recorded) {
  StoredSite stored("v1");
  stored.is_holder = false;
  stored.store.put("shuntbank-versions", "services", {{"versions", {{"model", {"v0", "v1"}}}}});
  add_engines(stored.site, "v2", 2);
  stored.site.runtime.advance(3s);
  const int writes = stored.store.writes;
  stored.site.runtime.advance(30s);
  cr_assert_eq(stored.store.writes, writes);
  nlohmann::json kept;
  stored.store.read("shuntbank-versions", "services", 1s,
                    [&kept](const auto& object) { kept = object->content; });
  stored.site.runtime.advance(10ms);
  cr_assert_eq(kept, (nlohmann::json{{"versions", {{"model", {"v0", "v1", "v2"}}}}}));
}
