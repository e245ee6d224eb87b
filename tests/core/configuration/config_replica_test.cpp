#include "core/configuration/config_replica.hpp"

#include "support/property.hpp"

using namespace shuntbank;
using nlohmann::json;

Test(config_replica, revisions_only_grow_in_any_order_of_offers) {
  SHUNTBANK_PROPERTY("offers in any order, whole or as changes", [] {
    std::vector<ConfigDocument> history{ConfigDocument{}};
    const int revisions = *rc::gen::inRange(2, 8);
    for (int i = 1; i <= revisions; ++i) {
      std::vector<ObjectEdit> edits(1);
      edits[0].key = {ObjectKind::kTenant, "t" + std::to_string(i)};
      edits[0].spec = json::object();
      history.push_back(*apply_edits(history.back(), edits, std::to_string(i)));
    }
    ConfigReplica replica;
    const int steps = *rc::gen::inRange(1, 20);
    for (int i = 0; i < steps; ++i) {
      const Revision before = replica.revision();
      const auto& document = history[*rc::gen::inRange<std::size_t>(0, history.size())];
      if (*rc::gen::arbitrary<bool>()) {
        replica.offer(document);
      } else {
        const Revision base = *rc::gen::inRange<Revision>(0, document.revision + 1);
        replica.offer_changes(base, document.changes_since(base));
      }
      RC_ASSERT(replica.revision() >= before);
      // The held document is always one of the offered ones, never a mixture.
      RC_ASSERT(replica.document() == history[replica.revision()]);
    }
  });
}

Test(config_replica, an_invalid_offer_changes_nothing) {
  ConfigReplica replica;
  replica.offer(ConfigDocument{});
  ConfigDocument invalid;
  invalid.revision = 5;
  invalid.objects[{ObjectKind::kTenant, "t"}] = {5, false, json{{"weight", "heavy"}}};
  cr_assert_eq(replica.offer(invalid), OfferResult::kInvalid);
  cr_assert_eq(replica.revision(), 0);
  cr_assert(!replica.findings().empty());
}
