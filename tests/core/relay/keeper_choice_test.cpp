#include "core/relay/keeper_choice.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace shuntbank;
using namespace shuntbank::relay;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1000s};
const EngineId kEngine("e");

std::vector<NodeId> nodes(int count) {
  std::vector<NodeId> named;
  for (int i = 0; i < count; ++i) named.emplace_back("n" + std::to_string(i));
  return named;
}

}  // namespace

Test(keeper_choice, is_the_same_at_all_nodes_and_spread_over_engines) {
  KeeperChoice one(NodeId("n0"));
  KeeperChoice other(NodeId("n4"));
  one.set_nodes(nodes(7));
  other.set_nodes(nodes(7));
  std::set<NodeId> keepers;
  for (int i = 0; i < 40; ++i) {
    const EngineId engine("e" + std::to_string(i));
    cr_assert(one.keeper(kNow, engine) == other.keeper(kNow, engine));
    keepers.insert(*one.keeper(kNow, engine));
  }
  cr_assert_eq(keepers.size(), 7);
}

Test(keeper_choice, passes_over_who_is_silent_and_comes_back_to_it) {
  KeeperChoice choice(NodeId("outside"));
  choice.set_nodes(nodes(3));
  const NodeId first = *choice.keeper(kNow, kEngine);
  choice.on_asked(kNow, first);
  cr_assert(choice.to_ask(kNow + 50ms, kEngine).empty());
  cr_assert_eq(choice.to_ask(kNow + 100ms, kEngine).front(), first, "one message may be lost");
  cr_assert(choice.keeper(kNow + 300ms, kEngine) == first);
  const MonotonicTime silent = kNow + kKeeperSilence + 1ms;
  cr_assert(choice.keeper(silent, kEngine) != first);
  choice.on_asked(silent, first);
  cr_assert(choice.to_ask(silent + 500ms, kEngine).empty());
  cr_assert_eq(choice.to_ask(silent + kAskSilentAgain, kEngine).front(), first);
  choice.on_heard(first);
  cr_assert(choice.keeper(silent + 1s, kEngine) == first);
}

Test(keeper_choice, knows_none_where_nobody_answers) {
  KeeperChoice choice(NodeId("outside"));
  choice.set_nodes(nodes(3));
  for (const NodeId& node : nodes(3)) choice.on_asked(kNow, node);
  cr_assert_not(choice.keeper(kNow + 1s, kEngine).has_value());
  KeeperChoice last(NodeId("n1"));
  last.set_nodes(nodes(3));
  for (const NodeId& node : nodes(3)) last.on_asked(kNow, node);
  cr_assert(last.keeper(kNow + 1s, kEngine) == NodeId("n1"));
}
