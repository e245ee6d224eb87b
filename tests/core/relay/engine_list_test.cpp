/// Guards against nodes that differ in their lists of engines after they have exchanged updates.
#include "core/relay/engine_list.hpp"

#include <criterion/criterion.h>

#include "support/property.hpp"

using namespace shuntbank;

namespace {

relay::ListedEngine engine(const std::string& name, std::uint32_t slots = 1) {
  relay::EngineRecord record;
  record.id = EngineId(name);
  record.slots = slots;
  return {name, record};
}

/// A list at revision 10 with the engines a, b and c.
relay::EngineList small_list() {
  relay::EngineList list;
  list.replace({engine("a"), engine("b"), engine("c")}, 10);
  return list;
}

/// @return all engines of a list.
std::vector<relay::ListedEngine> contents(const relay::EngineList& list) {
  const auto update = list.update_since(0);
  return update ? update->changed : std::vector<relay::ListedEngine>();
}

}  // namespace

Test(engine_list, gives_only_what_has_changed) {
  relay::EngineList list = small_list();
  list.set(engine("b", 2));
  list.remove("c");
  list.advance(12);
  const auto update = list.update_since(10);
  cr_assert(update.has_value());
  cr_assert_not(update->complete);
  cr_assert_eq(update->revision, 12);
  cr_assert_eq(update->changed.size(), 1);
  cr_assert_eq(update->changed.front(), engine("b", 2));
  cr_assert_eq(update->removed, std::vector<std::string>{"c"});
  cr_assert_not(list.update_since(12).has_value());
}

Test(engine_list, gives_the_whole_list_to_a_node_without_one) {
  const auto update = small_list().update_since(0);
  cr_assert(update->complete);
  cr_assert_eq(update->changed.size(), 3);
  cr_assert_not(relay::EngineList().update_since(0).has_value(), "it has none itself");
}

Test(engine_list, gives_the_whole_list_where_it_has_forgotten_the_changes) {
  relay::EngineList list = small_list();
  for (std::uint64_t revision = 11; revision < 3000; ++revision) {
    list.set(engine("a", static_cast<std::uint32_t>(revision)));
    list.advance(revision);
  }
  cr_assert(list.update_since(10)->complete);
  cr_assert_not(list.update_since(2990)->complete);
}

Test(engine_list, keeps_the_changes_over_a_new_list_from_the_store) {
  relay::EngineList list = small_list();
  list.replace({engine("a"), engine("b", 5), engine("d")}, 20);
  const auto update = list.update_since(10);
  cr_assert_not(update->complete, "other nodes need only the difference");
  cr_assert_eq(update->changed.size(), 2);
  cr_assert_eq(update->removed, std::vector<std::string>{"c"});
}

Test(engine_list, gives_no_changes_of_an_unfinished_batch) {
  relay::EngineList list = small_list();
  list.set(engine("b", 2));
  cr_assert_not(list.update_since(9).has_value() && !list.update_since(9)->complete);
  cr_assert_not(list.update_since(10).has_value());
}

Test(engine_list, ignores_updates_that_are_not_newer) {
  relay::EngineList list = small_list();
  relay::EngineListUpdate update;
  update.revision = 10;
  update.complete = true;
  cr_assert_not(list.apply(update));
  cr_assert_eq(list.size(), 3);
}

Test(engine_list, passes_unreadable_entries_on) {
  relay::EngineList list = small_list();
  list.set({"a", std::nullopt});
  list.advance(11);
  const auto update = list.update_since(10);
  cr_assert_eq(update->changed.size(), 1);
  cr_assert_not(update->changed.front().record.has_value());
  cr_assert(update->removed.empty());
}

Test(engine_list, is_the_same_at_all_nodes_whichever_node_they_ask) {
  SHUNTBANK_PROPERTY("the lists agree", [] {
    std::vector<relay::EngineList> nodes(4);
    relay::EngineList& reader = nodes.front();
    std::uint64_t revision = 1;
    reader.replace({}, revision);
    const auto steps =
        *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>());
    for (const std::uint32_t step : steps) {
      const std::string name = "e" + std::to_string(step / 16 % 8);
      if (step % 4 == 0) reader.set(engine(name, step));
      if (step % 4 == 1) reader.remove(name);
      if (step % 4 == 2) reader.advance(++revision);
      if (step % 4 == 3) {
        relay::EngineList& asking = nodes[1 + step / 16 % 3];
        const auto update = nodes[step / 64 % 4].update_since(asking.revision());
        if (update) asking.apply(*update);
      }
    }
    reader.advance(++revision);
    for (relay::EngineList& node : nodes) {
      const auto update = reader.update_since(node.revision());
      if (update) node.apply(*update);
      RC_ASSERT(contents(node) == contents(reader));
    }
  });
}
