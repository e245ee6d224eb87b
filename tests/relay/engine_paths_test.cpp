// Nodes that cannot connect to engines which other nodes reach.

#include <criterion/criterion.h>

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
