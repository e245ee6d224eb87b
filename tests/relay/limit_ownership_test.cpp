// Tests that a node becomes owner of a limit once, and again after a stall: earlier grants of a new
// owner count as another node's.
#include "relay/limit_ownership.hpp"

#include <criterion/criterion.h>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

class SilentPeers : public PermitPeers {
 public:
  void send(const NodeId&, const std::string&) override {}
  double live_fraction() const override { return 1; }
};

}  // namespace

Test(limit_ownership, begins_once_even_before_the_first_tick) {
  ManualRuntime runtime;
  SilentPeers peers;
  LimitOwnership ownership(runtime);
  ownership.connect(NodeId("n1"), peers);
  cr_assert_not(ownership.tenure("t").held, "the nodes are not known yet");
  ownership.set_nodes({NodeId("n1")});
  cr_assert(ownership.tenure("t").is_new);
  cr_assert_not(ownership.tenure("t").is_new);
  cr_assert(ownership.tenure("t").held);
}

Test(limit_ownership, begins_again_after_a_stall) {
  ManualRuntime runtime;
  SilentPeers peers;
  LimitOwnership ownership(runtime);
  ownership.connect(NodeId("n1"), peers);
  ownership.set_nodes({NodeId("n1")});
  ownership.tenure("t");
  ownership.tick();
  runtime.stall(2s);
  const LimitTenure tenure = ownership.tenure("t");
  cr_assert(tenure.is_new);
  cr_assert(tenure.since == runtime.now());
}

Test(limit_ownership, is_held_without_other_nodes) {
  ManualRuntime runtime;
  LimitOwnership ownership(runtime);
  cr_assert(ownership.tenure("t").held);
  cr_assert_not(ownership.tenure("t").since.has_value());
}
