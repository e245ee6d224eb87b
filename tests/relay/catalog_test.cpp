#include "relay/catalog.hpp"

#include <criterion/criterion.h>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

/// A catalog over a store whose lagging answers stand still.
struct Read {
  explicit Read(bool joins = false) {
    settings.joins = joins;
    put(3);
    store.replica_revision = store.revision();
    put(4);
    catalog = std::make_unique<relay::Catalog>(runtime, store, codec, *site.node, settings);
    runtime.advance(1ms);
  }

  void put(std::uint64_t version) { store.put("routes", "main", {{"version", version}}); }
  std::uint64_t version() const { return site.node->table()->version(); }

  ManualRuntime runtime;
  MemoryStore store{runtime};
  TestCodec codec;
  RelayFixture site;
  relay::CatalogSettings settings;
  std::unique_ptr<relay::Catalog> catalog;
};

}  // namespace

Test(catalog, takes_no_old_configuration_when_it_joins) {
  Read starts(false);
  cr_assert_eq(starts.version(), 3, "a whole system starts: nothing serves yet");
  Read joins(true);
  cr_assert_eq(joins.version(), 4);
}

Test(catalog, follows_a_hint_within_a_second) {
  Read read;
  read.catalog->set_readers({false, read.runtime.now()});
  relay::CatalogRevisions seen;
  seen.configuration = read.store.revision();
  read.catalog->hint(seen);
  read.runtime.advance(1s);
  cr_assert_eq(read.version(), 4);
}

Test(catalog, reads_the_latest_when_the_readers_are_silent) {
  Read read;
  for (int i = 0; i < 16; ++i) {
    read.catalog->set_readers({false, read.runtime.now()});
    read.runtime.advance(250ms);
  }
  const MonotonicTime last_heard = read.runtime.now();
  cr_assert_eq(read.version(), 3, "readers are heard, but nobody has told of the change");
  for (int i = 0; i < 20; ++i) {
    read.catalog->set_readers({false, last_heard});
    read.runtime.advance(250ms);
  }
  cr_assert_eq(read.version(), 4);
}

Test(catalog, reads_the_latest_when_it_is_a_reader) {
  Read read;
  read.catalog->set_readers({true, {}});
  read.runtime.advance(1ms);
  cr_assert_eq(read.version(), 4);
}

Test(catalog, asks_another_node_for_a_configuration_that_the_store_does_not_give) {
  Read read;
  read.catalog->set_readers({false, read.runtime.now()});
  int asked = 0;
  read.catalog->set_asking([&] { ++asked; });
  read.store.down = true;
  relay::CatalogRevisions seen;
  seen.configuration = read.store.revision() + 5;
  read.catalog->hint(seen);
  read.runtime.advance(read.settings.ask_peer_after - 1ms);
  cr_assert_eq(asked, 0, "a store that answers at once comes first");
  read.runtime.advance(1ms);
  cr_assert_eq(asked, 1);
  read.runtime.advance(3s);
  cr_assert_geq(asked, 3, "until somebody has it");
  ConfigurationMessage message{seen.configuration, RelayFixture::configuration(9)};
  message.configuration.tenants.emplace();
  read.catalog->take_from_peer(message);
  cr_assert_eq(read.version(), 9);
  cr_assert_eq(read.catalog->progress().seen.configuration, seen.configuration);
  const int before = asked;
  read.runtime.advance(3s);
  cr_assert_eq(asked, before);
  cr_assert_not(read.catalog->configuration_for_peer({{}, kMaxConfigurationMessage}).empty(),
                "it can hand it on");
}

Test(catalog, takes_no_older_configuration_from_another_node) {
  Read read;
  read.catalog->take_from_peer({1000, RelayFixture::configuration(9)});
  read.catalog->take_from_peer({900, RelayFixture::configuration(10)});
  cr_assert_eq(read.version(), 9);
  read.catalog->take_from_peer({1100, RelayFixture::configuration(8)});
  cr_assert_eq(read.version(), 9);
  auto wrong = RelayFixture::configuration(12);
  wrong.routes.front().path_prefix = "no-slash";
  read.catalog->take_from_peer({1200, wrong});
  cr_assert_eq(read.version(), 9);
  cr_assert_eq(read.catalog->progress().seen.configuration, 1000);
}
