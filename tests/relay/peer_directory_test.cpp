// Tests that the cost of node changes is bounded: each update ranks all nodes anew, so that one
// update for each changed node takes quadratic time when a large fleet starts.
#include "relay/peer_directory.hpp"

#include <criterion/criterion.h>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

Test(peer_directory, reports_many_changes_at_once) {
  constexpr int kNodes = 1000;
  ManualRuntime runtime;
  MemoryStore store(runtime);
  const relay::PeerDirectorySettings settings;
  int updates = 0;
  const relay::PeerDirectory peers(runtime, store, NodeId("n"), {"10.0.0.1:1", ZoneName("z"), 1},
                                   settings, [&updates] { ++updates; });
  runtime.advance(3s);
  cr_assert_eq(updates, 1);
  store.drop_notifications = true;
  for (int i = 0; i < kNodes; ++i) {
    store.put(settings.kind, "m" + std::to_string(i), {{"address", "10.0.0.2:1"}, {"zone", "z"}});
  }
  store.drop_notifications = false;
  runtime.advance(60s);
  cr_assert_eq(peers.peer_count(), kNodes);
  cr_assert_leq(updates, 10, "%d updates for one batch of changes", updates);
}
