/// Seen: for 24 seconds, to the end of the day, nodes served by a configuration that had been
/// replaced; they answered 404 on routes that were there, and their calls to engines came too late.
/// How it came about: a configuration of 245 KB, 0.2 s on an idle link of 10 Mbit/s and more beside
/// callers (here 0.4 s), and a new version about each second. Other nodes told of each at once.
/// Cause: a node that had missed two versions asked for all that came after its own. That answer
/// took longer than a node waits for what others have seen, so that it was given up on its way and
/// asked for again, with one version more. Nothing ended this, and the answers that were given up
/// went on filling the link that callers use.
/// Proof: the links of just these nodes were full to the last byte while their processors were idle
/// and their calls to the store succeeded; and their revision never moved, on the links of this
/// test as there.
#include <criterion/criterion.h>

#include "relay/catalog.hpp"
#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLinkBytesPerSecond = 1'250'000;

/// A node with a slow link among others that read the store at once and tell it of each change.
struct SlowLinkFixture {
  explicit SlowLinkFixture(std::size_t configuration_bytes = 500'000) {
    store.object_bytes = configuration_bytes;
    store.link = &link;
    publish();
    catalog = std::make_unique<relay::Catalog>(runtime, store, codec, *site.node, settings);
    advance(3s);
  }

  /// The operator writes a new version.
  void publish() { store.put("routes", "main", {{"version", ++newest_version}}); }

  /// Lets time pass; the others tell how far they are ten times a second.
  void advance(Duration duration) {
    const MonotonicTime until = runtime.now() + duration;
    while (runtime.now() < until) {
      if (peers_send_hints) catalog->hint({store.revision(), 0});
      catalog->set_readers({!peers_send_hints, runtime.now()});
      runtime.advance(100ms);
    }
  }

  /// New versions, one each `gap`.
  void publish_every(int count, Duration gap) {
    for (int i = 0; i < count; ++i) {
      publish();
      advance(gap);
    }
  }

  /// New versions that the store's answers to this node do not tell of.
  void publish_missed(int count) {
    peers_send_hints = false;
    store.deaf = true;
    for (int i = 0; i < count; ++i) publish();
    store.deaf = false;
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
  // Versions that take 0.4 s each, one each 0.2 s: all of them would take twice the time they come.
  for (const bool peers_send_hints : {true, false}) {
    SlowLinkFixture site;
    site.peers_send_hints = peers_send_hints;
    const std::size_t before = site.link.total_bytes();
    site.publish_every(25, 200ms);
    const std::size_t transferred = site.link.total_bytes() - before;
    cr_assert_leq(transferred, 5 * kLinkBytesPerSecond * 6 / 10, "callers share the link: %zu",
                  transferred);
    site.advance(2s);
    cr_assert_eq(site.version(), site.newest_version, "others tell: %d", peers_send_hints);
  }
}

Test(catalog_slow_link, accepts_a_store_response_slower_than_the_hint_timeout) {
  // Its calls were given up after 0.5 s each time, and it answers after 2.
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
  cr_assert_gt(site.link.total_bytes(), before, "the store's answer is on its way");
  site.catalog->apply_peer_configuration(
      {site.store.revision(), RelayFixture::configuration(site.newest_version)});
  site.advance(3s);
  cr_assert_leq(site.link.total_bytes() - before, site.store.object_bytes / 3);
  site.publish();
  site.advance(2s);
  cr_assert_eq(site.version(), site.newest_version, "it goes on watching");
}

Test(catalog_slow_link, lists_once_after_store_recovery_despite_hints) {
  // Seen: a node that the store had turned away asked it for the whole configuration each 60 ms
  // once it was back, since others told of changes, and took none of the answers: the link was full
  // to the end of the day. Cause: a hint found the list that was under way to be no call.
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
  // Seen in a soak: relays stayed at one version for a minute, while each list of the newest was
  // given up after 1.5 s without a byte, and asked for again. Cause: the same as with hints, at the
  // time limit of a list; the store was busy with large answers, and later than that.
  SlowLinkFixture site;
  site.store.answer_delay = 2s;
  site.publish_missed(1);
  site.publish_every(20, 500ms);
  site.advance(4s);
  cr_assert_eq(site.version(), site.newest_version);
}
