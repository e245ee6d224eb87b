#include "config/document.hpp"

#include "config/snapshot.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using nlohmann::json;

namespace {

ObjectKey tenant(const std::string& name) {
  return {ObjectKind::kTenant, name};
}

ObjectEdit edit(const std::string& name, Revision base, double weight) {
  return {tenant(name), base, json{{"weight", weight}}};
}

}  // namespace

Test(document, applies_all_edits_or_none) {
  const auto first = apply_edits({}, {edit("a", 0, 1), edit("b", 0, 1)}, "w1");
  cr_assert(first.has_value());
  cr_assert_eq(first->revision, 1);
  const auto second = apply_edits(*first, {edit("a", 1, 2), edit("b", 1, -5)}, "w2");
  cr_assert(!second.has_value());
  cr_assert_eq(second.error().findings.items().size(), 1);
  cr_assert_eq(second.error().findings.items()[0].place, "Tenant/b/weight");
}

Test(document, reports_both_versions_of_a_conflict) {
  const auto first = apply_edits({}, {edit("a", 0, 1)}, "w1");
  const auto second = apply_edits(*first, {edit("a", 1, 2)}, "w2");
  const auto stale = apply_edits(*second, {edit("a", 1, 3)}, "w3");
  cr_assert(!stale.has_value());
  cr_assert_eq(stale.error().conflicts.size(), 1);
  cr_assert_eq(stale.error().conflicts[0].base_version, 1);
  cr_assert_eq(stale.error().conflicts[0].current_version, 2);
}

Test(document, accepts_edits_of_other_objects) {
  const auto first = apply_edits({}, {edit("a", 0, 1)}, "w1");
  const auto second = apply_edits(*first, {edit("b", 0, 1)}, "w2");
  cr_assert(apply_edits(*second, {edit("a", 1, 2)}, "w3").has_value());
}

Test(document, records_recent_writes_and_removals) {
  auto document = *apply_edits({}, {edit("a", 0, 1)}, "w1");
  document = *apply_edits(document, {{tenant("a"), 1, std::nullopt}}, "w2");
  cr_assert(document.contains_write("w1") && document.contains_write("w2"));
  cr_assert(!document.contains_write("w3"));
  cr_assert(document.objects.at(tenant("a")).removed);
  cr_assert(apply_edits(document, {edit("a", 0, 3)}, "w4").has_value());
}

Test(document, merging_changes_gives_the_newer_document) {
  SHUNTBANK_PROPERTY("old + changes_since(old) == new", [] {
    ConfigDocument document;
    std::vector<ConfigDocument> history{document};
    const int steps = *rc::gen::inRange(1, 12);
    for (int i = 0; i < steps; ++i) {
      const std::string name(1, *rc::gen::inRange('a', 'e'));
      const auto found = document.objects.find(tenant(name));
      const bool exists = found != document.objects.end() && !found->second.removed;
      ObjectEdit change = edit(name, exists ? found->second.version : 0, i + 1);
      if (exists && *rc::gen::arbitrary<bool>()) change.spec.reset();
      document = *apply_edits(document, {change}, std::to_string(i));
      history.push_back(document);
    }
    for (ConfigDocument old : history) {
      old.merge(document.changes_since(old.revision));
      RC_ASSERT(old == document);
    }
    RC_ASSERT(*document_from_json(to_json(document)) == document);
  });
}

Test(snapshot, reports_every_finding_with_its_place) {
  ConfigDocument document;
  document.objects[{ObjectKind::kEngine, "e"}] = {1, false, {{"address", "host:80"}, {"speed", 1}}};
  document.objects[{ObjectKind::kPolicy, "p"}] = {
      1, false, {{"targets", {{"first_token", 5}}}, {"limits", {{"queue_length", -1}}}}};
  const auto snapshot = Snapshot::build(document);
  cr_assert(!snapshot.has_value());
  cr_assert_eq(snapshot.error().items().size(), 5, "%s", snapshot.error().to_text().c_str());
}

Test(snapshot, rejects_an_engine_in_two_services) {
  ConfigDocument document;
  document.objects[{ObjectKind::kEngine, "e"}] = {
      1, false, {{"address", "127.0.0.1:1"}, {"zone", "z"}, {"labels", {{"a", "b"}}}}};
  for (const char* name : {"s", "t"}) {
    document.objects[{ObjectKind::kService, name}] = {1, false, {{"kind", "plain"}}};
  }
  cr_assert(!Snapshot::build(document).has_value());
}

Test(snapshot, accepts_both_keys_until_the_old_one_expires) {
  ConfigDocument document;
  const json keys = json::array(
      {{{"sha256", "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"},
        {"expires_at", 100}},
       {{"sha256", "3e23e8160039594a33894f6564e1b1348bbd7a0088d42c4acb73eeaed59c009d"}}});
  document.objects[tenant("t")] = {1, false, {{"keys", keys}}};
  const auto snapshot = *Snapshot::build(document);
  cr_assert_not_null(snapshot->authenticate("abc", 99));
  cr_assert_null(snapshot->authenticate("abc", 100));
  cr_assert_not_null(snapshot->authenticate("b", 100));
  cr_assert_null(snapshot->authenticate("c", 0));
}

// Guards against a stored configuration that ends the nodes which read it.
Test(document, rejects_a_removal_that_is_no_boolean) {
  for (const char* removed : {"5", "\"true\"", "null", "[]"}) {
    const std::string text = R"({"revision":1,"recent_writes":[],"objects":[)"
                             R"({"kind":"Tenant","name":"t","version":1,"spec":{},"removed":)" +
                             std::string(removed) + "}]}";
    cr_expect_not(document_from_json(nlohmann::json::parse(text)).has_value(), "%s", removed);
  }
}
