/// Guards against a node on a slow link that stays on an old configuration: it gives up answers in
/// flight, requests them again, and the abandoned transfers fill the link.
#include <criterion/criterion.h>

#include "relay/catalog.hpp"
#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLinkBytesPerSecond = 1'250'000;

/// A node on a slow link. Its peers see each change immediately and report the new revision to it
/// as a hint (`Catalog::hint`).
struct SlowLinkFixture {
  explicit SlowLinkFixture(std::size_t configuration_bytes = 500'000) {
    store.object_bytes = configuration_bytes;
    store.link = &link;
    publish();
    catalog = std::make_unique<relay::Catalog>(runtime, store, codec, *site.node, settings);
    advance(3s);
  }

  /// Writes a new version to the store.
  void publish() { store.put("routes", "main", {{"version", ++newest_version}}); }

  /// Advances the clock; peers send hints ten times per second.
  void advance(Duration duration) {
    const MonotonicTime until = runtime.now() + duration;
    while (runtime.now() < until) {
      if (peers_send_hints) catalog->hint({store.revision(), 0});
      catalog->set_readers({!peers_send_hints, runtime.now()});
      runtime.advance(100ms);
    }
  }

  /// Publishes one version per `gap`.
  void publish_every(int count, Duration gap) {
    for (int i = 0; i < count; ++i) {
      publish();
      advance(gap);
    }
  }

  /// Publishes versions while the store's answers to this node are lost.
  void publish_missed(int count) {
    peers_send_hints = false;
    store.drop_notifications = true;
    for (int i = 0; i < count; ++i) publish();
    store.drop_notifications = false;
    peers_send_hints = true;
  }

  std::uint64_t version() const { return site.node->table()->version(); }

  ManualRuntime runtime;
  MemoryStore store{runtime};
  SlowLink link{runtime, kLinkBytesPerSecond};
  TestCodec codec;
  RelayFixture site;
  relay::CatalogSettings settings;
  std::unique_ptr<relay::Catalog> catalog;
  std::uint64_t newest_version = 0;
  bool peers_send_hints = true;
};

}  // namespace

Test(catalog_slow_link, accepts_an_answer_slower_than_the_hint_timeout) {
  SlowLinkFixture site(1'200'000);
  site.publish_missed(1);
  site.advance(3s);
  cr_assert_eq(site.version(), site.newest_version);
}

Test(catalog_slow_link, catches_up_after_missed_versions) {
  SlowLinkFixture site;
  site.publish_missed(6);
  site.publish_every(6, 1s);
  site.advance(2s);
  cr_assert_eq(site.version(), site.newest_version);
}

Test(catalog_slow_link, does_not_read_from_the_store_what_a_peer_delivered) {
  SlowLinkFixture site;
  site.publish_missed(4);
  site.catalog->apply_peer_configuration(
      {site.store.revision(), RelayFixture::configuration(site.newest_version)});
  const std::size_t before = site.link.total_bytes();
  site.advance(5s);
  cr_assert_eq(site.version(), site.newest_version);
  cr_assert_eq(site.link.total_bytes(), before);
}

Test(catalog_slow_link, keeps_up_when_versions_exceed_the_link_rate) {
  // Each version takes 0.4 s to transfer, and a new one is published every 0.2 s.
  for (const bool peers_send_hints : {true, false}) {
    SlowLinkFixture site;
    site.peers_send_hints = peers_send_hints;
    const std::size_t before = site.link.total_bytes();
    site.publish_every(25, 200ms);
    const std::size_t transferred = site.link.total_bytes() - before;
    cr_assert_leq(transferred, 5 * kLinkBytesPerSecond * 6 / 10,
                  "catalog traffic leaves no bandwidth for callers: %zu", transferred);
    site.advance(2s);
    cr_assert_eq(site.version(), site.newest_version, "peers send hints: %d", peers_send_hints);
  }
}

Test(catalog_slow_link, accepts_a_store_response_slower_than_the_hint_timeout) {
  // The hint timeout is 0.5 s; the store answers after 2 s.
  SlowLinkFixture site;
  site.peers_send_hints = true;
  site.store.answer_delay = 2s;
  site.publish_missed(1);
  site.advance(6s);
  cr_assert_eq(site.version(), site.newest_version);
}

Test(catalog_slow_link, drops_a_store_transfer_that_a_peer_made_redundant) {
  SlowLinkFixture site;
  const std::size_t before = site.link.total_bytes();
  site.publish();
  site.advance(100ms);
  cr_assert_gt(site.link.total_bytes(), before, "the store's answer is in flight");
  site.catalog->apply_peer_configuration(
      {site.store.revision(), RelayFixture::configuration(site.newest_version)});
  site.advance(3s);
  cr_assert_leq(site.link.total_bytes() - before, site.store.object_bytes / 3);
  site.publish();
  site.advance(2s);
  cr_assert_eq(site.version(), site.newest_version, "the watch continues");
}

Test(catalog_slow_link, lists_once_after_store_recovery_despite_hints) {
  // A hint must not restart a list in flight: repeated lists would saturate the link.
  SlowLinkFixture site;
  site.store.down = true;
  site.advance(6s);
  site.publish_missed(1);
  site.advance(1s);
  site.store.down = false;
  const int before = site.store.lists;
  for (int i = 0; i < 150; ++i) {
    site.catalog->hint({site.store.revision(), 0});
    site.runtime.advance(20ms);
  }
  cr_assert_eq(site.version(), site.newest_version);
  cr_assert_leq(site.store.lists - before, 2, "%d", site.store.lists - before);
}

Test(catalog_slow_link, accepts_lists_that_begin_after_the_list_timeout) {
  // The list timeout must grow on retries, or a slow store's answers are abandoned forever.
  SlowLinkFixture site;
  site.store.answer_delay = 2s;
  site.publish_missed(1);
  site.publish_every(20, 500ms);
  site.advance(4s);
  cr_assert_eq(site.version(), site.newest_version);
}
