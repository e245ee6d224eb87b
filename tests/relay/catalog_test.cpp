#include "relay/catalog.hpp"

#include <criterion/criterion.h>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

/// A catalog over a store whose stale reads stay at version 3.
struct CatalogFixture {
  explicit CatalogFixture(bool join_existing = false) {
    settings.join_existing = join_existing;
    put_version(3);
    store.replica_revision = store.revision();
    put_version(4);
    catalog = std::make_unique<relay::Catalog>(runtime, store, codec, *site.node, settings);
    runtime.advance(1ms);
  }

  void put_version(std::uint64_t version) { store.put("routes", "main", {{"version", version}}); }
  std::uint64_t version() const { return site.node->table()->version(); }

  ManualRuntime runtime;
  MemoryStore store{runtime};
  TestCodec codec;
  RelayFixture site;
  relay::CatalogSettings settings;
  std::unique_ptr<relay::Catalog> catalog;
};

}  // namespace

Test(catalog, ignores_stale_configuration_when_joining) {
  CatalogFixture bootstrapping(false);
  cr_assert_eq(bootstrapping.version(), 3, "a bootstrapping system accepts stale reads");
  CatalogFixture joining(true);
  cr_assert_eq(joining.version(), 4);
}

Test(catalog, reads_a_hinted_version_within_a_second) {
  CatalogFixture fixture;
  fixture.catalog->set_readers({false, fixture.runtime.now()});
  relay::CatalogRevisions seen;
  seen.configuration = fixture.store.revision();
  fixture.catalog->hint(seen);
  fixture.runtime.advance(1s);
  cr_assert_eq(fixture.version(), 4);
}

Test(catalog, reads_the_latest_when_store_readers_time_out) {
  CatalogFixture fixture;
  for (int i = 0; i < 16; ++i) {
    fixture.catalog->set_readers({false, fixture.runtime.now()});
    fixture.runtime.advance(250ms);
  }
  const MonotonicTime last_heard = fixture.runtime.now();
  cr_assert_eq(fixture.version(), 3, "readers are alive, but no peer has sent a hint");
  for (int i = 0; i < 20; ++i) {
    fixture.catalog->set_readers({false, last_heard});
    fixture.runtime.advance(250ms);
  }
  cr_assert_eq(fixture.version(), 4);
}

Test(catalog, reads_the_latest_as_store_reader) {
  CatalogFixture fixture;
  fixture.catalog->set_readers({true, {}});
  fixture.runtime.advance(1ms);
  cr_assert_eq(fixture.version(), 4);
}

Test(catalog, fetches_configuration_from_a_peer_when_the_store_is_down) {
  CatalogFixture fixture;
  fixture.catalog->set_readers({false, fixture.runtime.now()});
  int fetches = 0;
  fixture.catalog->set_peer_fetch([&] { ++fetches; });
  fixture.store.down = true;
  relay::CatalogRevisions seen;
  seen.configuration = fixture.store.revision() + 5;
  fixture.catalog->hint(seen);
  fixture.runtime.advance(fixture.settings.peer_fetch_delay - 1ms);
  cr_assert_eq(fetches, 0, "the store gets time to deliver the version first");
  fixture.runtime.advance(1ms);
  cr_assert_eq(fetches, 1);
  fixture.runtime.advance(3s);
  cr_assert_geq(fetches, 3, "retries until a peer has the version");
  ConfigurationMessage message{seen.configuration, RelayFixture::configuration(9)};
  message.configuration.tenants.emplace();
  fixture.catalog->apply_peer_configuration(message);
  cr_assert_eq(fixture.version(), 9);
  cr_assert_eq(fixture.catalog->progress().seen.configuration, seen.configuration);
  const int before = fetches;
  fixture.runtime.advance(3s);
  cr_assert_eq(fetches, before);
  cr_assert_not(fixture.catalog->configuration_for_peer({{}, kMaxConfigurationMessage}).empty(),
                "the node can serve the version to peers");
}

Test(catalog, rejects_older_or_invalid_configuration_from_a_peer) {
  CatalogFixture fixture;
  fixture.catalog->apply_peer_configuration({1000, RelayFixture::configuration(9)});
  fixture.catalog->apply_peer_configuration({900, RelayFixture::configuration(10)});
  cr_assert_eq(fixture.version(), 9);
  fixture.catalog->apply_peer_configuration({1100, RelayFixture::configuration(8)});
  cr_assert_eq(fixture.version(), 9);
  auto invalid = RelayFixture::configuration(12);
  invalid.routes.front().path_prefix = "no-slash";
  fixture.catalog->apply_peer_configuration({1200, invalid});
  cr_assert_eq(fixture.version(), 9);
  cr_assert_eq(fixture.catalog->progress().seen.configuration, 1000);
}
