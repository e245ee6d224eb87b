// Guards against one entry of another writer that ends the process or hides the other entries, as
// it is nested deeply, has a number or a type that can't be read, or bytes that are no text.
#include <sstream>

#include "platform/codec.hpp"
#include "platform/dialect.hpp"
#include "platform/store_client.hpp"
#include "relay/support/fakes.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace shuntbank::platform_adapter;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

using List = tl::expected<store::ObjectList, store::StoreError>;
using Batch = tl::expected<store::ChangeBatch, store::StoreError>;
using Object = tl::expected<store::StoredObject, store::StoreError>;

std::string repeated(const std::string& text, std::size_t count) {
  std::string result;
  result.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) result += text;
  return result;
}

std::string nested_arrays(std::size_t levels) {
  return repeated("[", levels) + repeated("]", levels);
}

std::string nested_objects(std::size_t levels) {
  return repeated(R"({"a":)", levels) + "0" + repeated("}", levels);
}

/// The text of an entry, of which a test replaces parts.
struct Entry {
  std::string name;
  std::string revision = "7";
  std::string slots = "8";
  std::string address = R"("10.0.0.1:80")";
  std::string in_meta = "null";
  std::string beside = "null";
  std::string in_value = "null";

  std::string text() const {
    std::ostringstream text;
    text << R"({"meta":{"note":)" << this->in_meta << R"(,"name":")" << this->name
         << R"(","revision":)" << this->revision << R"(},"status":)" << this->beside
         << R"(,"spec":{"service":"model","addr":)" << this->address
         << R"(,"zone":"z","state":"ready","slots":)" << this->slots << R"(,"more":)"
         << this->in_value << "}}";
    return text.str();
  }
};

std::string sound_entry(const std::string& name) {
  return Entry{name}.text();
}

struct OddEntry {
  std::string what;
  std::string text;
};

/// All have the name `odd`.
std::vector<OddEntry> odd_entries() {
  std::vector<OddEntry> entries;
  const auto add = [&entries](const std::string& what, auto change) {
    Entry entry{"odd"};
    change(entry);
    entries.push_back({what, entry.text()});
  };
  for (const std::size_t levels : {1'000, 10'000, 100'000}) {
    for (const std::string& nested : {nested_arrays(levels), nested_objects(levels)}) {
      const std::string what = std::to_string(levels) + " levels of " + nested.front();
      add(what + " in the value", [&](Entry& entry) { entry.in_value = nested; });
      add(what + " beside the value", [&](Entry& entry) { entry.beside = nested; });
      add(what + " in the meta", [&](Entry& entry) { entry.in_meta = nested; });
      add(what + " as a number", [&](Entry& entry) { entry.slots = nested; });
    }
  }
  for (const std::string number : {"1e400", "-1e400", "-1", "1e300", "2.5", "true",
                                   "1234567890123456789012345678901234567890"}) {
    add(number + " slots", [&](Entry& entry) { entry.slots = number; });
    add(number + " as revision", [&](Entry& entry) { entry.revision = number; });
  }
  for (const std::string address :
       {"\"10.0.0.1:99999\"", "\"10.0.0.1:-1\"", "\"10.0.0.1:99999999999999999999\"",
        "\"300.0.0.1:80\"", "80", "null", "{}", "[]"}) {
    add(address + " as address", [&](Entry& entry) { entry.address = address; });
  }
  add("unreadable bytes", [](Entry& entry) { entry.in_value = "\"\xff\xfe\xc3\""; });
  add("a control character", [](Entry& entry) { entry.in_value = std::string("\"\x01\""); });
  add("no JSON", [](Entry& entry) { entry.in_value = "nothing at all"; });
  return entries;
}

std::string list_text(const std::vector<std::string>& entries, bool more = false) {
  std::string text = R"({"items":[)";
  for (const std::string& entry : entries) text += (text.back() == '[' ? "" : ",") + entry;
  return text + R"(],"more":)" + (more ? "true" : "false") + R"(,"at":9})";
}

std::string batch_text(const std::vector<std::string>& entries, const std::string& gone = "false") {
  std::string text = R"({"events":[)";
  for (const std::string& entry : entries) {
    text +=
        (text.back() == '[' ? "" : ",") + (R"({"object":)" + entry) + R"(,"gone":)" + gone + "}";
  }
  return text + R"(],"at":12})";
}

/// @return an arbitrary value as text, valid or not, with balanced brackets.
std::string arbitrary_value() {
  const auto kind = *rc::gen::inRange(0, 7);
  const auto levels = *rc::gen::elementOf(std::vector<std::size_t>{1, 10, 1'000, 70'000});
  if (kind == 0) return nested_arrays(levels);
  if (kind == 1) return nested_objects(levels);
  if (kind == 2) {
    return *rc::gen::elementOf(std::vector<std::string>{
        "1e400", "-1e400", "1e300", "-1", "0", "2.5", "null", "true", "{}", "99999999999", "01"});
  }
  if (kind == 3) return std::to_string(*rc::gen::arbitrary<std::int64_t>());
  // Any bytes but those that would end the string.
  const auto byte = rc::gen::suchThat<char>([](char c) { return c != '"' && c != '\\'; });
  const auto bytes = *rc::gen::container<std::string>(byte);
  return kind == 4 ? "\"10.0.0.1:" + bytes + "\"" : "\"" + bytes + "\"";
}

/// @return the text of an entry of which some parts are arbitrary.
std::string arbitrary_entry() {
  Entry entry{"odd"};
  for (std::string* part : {&entry.revision, &entry.slots, &entry.address, &entry.in_meta,
                            &entry.beside, &entry.in_value}) {
    if (*rc::gen::inRange(0, 3) == 0) *part = arbitrary_value();
  }
  return *rc::gen::inRange(0, 20) == 0 ? arbitrary_value() : entry.text();
}

/// A client of a store whose answers the test gives.
struct StoreFixture {
  List list(const std::vector<std::string>& pages) {
    List result = tl::make_unexpected(store::StoreError::kNotDone);
    this->client.list("servers", store::Freshness::kLatest, 1s,
                      [&](auto list) { result = std::move(list); });
    for (const std::string& page : pages) this->http.answer(this->http.count() - 1, 200, {}, page);
    return result;
  }

  Batch watch(const std::string& body) {
    Batch result = tl::make_unexpected(store::StoreError::kNotDone);
    this->client.watch("servers", 5, store::Freshness::kLatest, 1s, 2s,
                       [&](auto batch) { result = std::move(batch); });
    this->http.answer(this->http.count() - 1, 200, {}, body);
    return result;
  }

  Object read(const std::string& body) {
    Object result = tl::make_unexpected(store::StoreError::kNotDone);
    this->client.read("servers", "odd", 1s, [&](auto object) { result = std::move(object); });
    this->http.answer(this->http.count() - 1, 200, {}, body);
    return result;
  }

  ScriptedHttpClient http;
  StoreClient client{this->http, "10.0.0.1:1"};
};

template <typename Range, typename ObjectOf>
std::set<std::string> usable(const Range& entries, ObjectOf object_of) {
  std::set<std::string> names;
  for (const auto& entry : entries) {
    const store::StoredObject& object = object_of(entry);
    if (ObjectCodec().engine(object)) names.insert(object.name);
  }
  return names;
}

std::set<std::string> engines(const List& list) {
  cr_assert(list.has_value(), "the list is unreadable");
  return usable(list->objects, [](const auto& object) { return object; });
}

std::set<std::string> engines(const Batch& batch) {
  cr_assert(batch.has_value(), "the batch is unreadable");
  return usable(batch->changes, [](const auto& change) { return change.object; });
}

const std::set<std::string> kSound = {"a", "z"};

/// A relay node that follows the engines of a store whose answers the test gives.
struct NodeFixture {
  NodeFixture() {
    this->catalog = std::make_unique<relay::Catalog>(this->runtime, this->client, this->codec,
                                                     *this->site.node, this->settings);
  }

  /// Answers the newest call for engines.
  void answer(const std::string& body) {
    for (std::size_t i = this->http.count(); i-- > 0;) {
      if (this->http.at(i).request.url.find("/servers") == std::string::npos) continue;
      this->http.answer(i, 200, {}, body);
      break;
    }
    this->runtime.advance(1s);
  }

  bool uses(const std::string& name) const {
    const auto& directory = this->site.node->engines();
    return directory.find_by_name(name) != nullptr;
  }

  ManualRuntime runtime;
  ScriptedHttpClient http;
  StoreClient client{this->http, "10.0.0.1:1"};
  ObjectCodec codec;
  RelayFixture site;
  relay::CatalogSettings settings;
  std::unique_ptr<relay::Catalog> catalog;
};

}  // namespace

Test(odd_entry, leaves_the_other_entries_of_a_list) {
  for (const OddEntry& odd : odd_entries()) {
    StoreFixture store;
    const List list = store.list({list_text({sound_entry("a"), odd.text, sound_entry("z")})});
    cr_expect(list.has_value(), "%s", odd.what.c_str());
    if (list) cr_expect(engines(list) == kSound, "%s", odd.what.c_str());
  }
}

Test(odd_entry, leaves_the_other_pages_of_a_list) {
  for (const OddEntry& odd : odd_entries()) {
    StoreFixture store;
    const List list = store.list(
        {list_text({sound_entry("a"), odd.text}, true), list_text({odd.text, sound_entry("z")})});
    cr_expect(store.http.at(1).request.url.ends_with("?after=odd"), "%s", odd.what.c_str());
    cr_expect(list.has_value(), "%s", odd.what.c_str());
    if (list) cr_expect(engines(list) == kSound, "%s", odd.what.c_str());
  }
}

// A page without a readable entry used to pass for the end of the list.
Test(odd_entry, does_not_end_a_list_early) {
  for (const OddEntry& odd : odd_entries()) {
    StoreFixture store;
    const List list = store.list({list_text({sound_entry("a")}, true), list_text({odd.text}, true),
                                  list_text({sound_entry("z")})});
    cr_expect(list.has_value(), "%s", odd.what.c_str());
    if (list) cr_expect(engines(list) == kSound, "%s", odd.what.c_str());
  }
}

// Where no page follows, as no entry has a name or the store repeats a page, a list fails rather
// than passing for the whole.
Test(odd_entry, fails_a_list_that_cannot_go_on) {
  StoreFixture store;
  const List nameless = store.list({list_text({sound_entry("a")}, true), list_text({"{}"}, true)});
  cr_assert_eq(nameless.error(), store::StoreError::kMalformed);
  const List repeated =
      store.list({list_text({sound_entry("a")}, true), list_text({sound_entry("a")}, true)});
  cr_assert_eq(repeated.error(), store::StoreError::kMalformed);
}

// Unescaped, the rest of the name would be another parameter, and the same page come for ever.
Test(odd_entry, escapes_the_name_that_a_page_follows) {
  StoreFixture store;
  store.list({list_text({sound_entry("a&b c/%")}, true)});
  const std::string& url = store.http.at(1).request.url;
  cr_assert(url.ends_with("?after=a%26b%20c%2F%25"), "%s", url.c_str());
}

Test(odd_entry, leaves_the_other_events_of_a_watch) {
  for (const OddEntry& odd : odd_entries()) {
    StoreFixture store;
    const Batch batch = store.watch(batch_text({sound_entry("a"), odd.text, sound_entry("z")}));
    cr_expect(batch.has_value(), "%s", odd.what.c_str());
    if (batch) cr_expect(engines(batch) == kSound, "%s", odd.what.c_str());
  }
}

Test(odd_entry, is_an_error_of_a_single_read) {
  for (const OddEntry& odd : odd_entries()) {
    StoreFixture store;
    const Object object = store.read(odd.text);
    cr_expect(!object || !ObjectCodec().engine(*object), "%s", odd.what.c_str());
  }
}

// The engine must not be used with what its entry said before.
Test(odd_entry, ends_the_use_of_the_engine_that_it_names) {
  for (const OddEntry& odd : odd_entries()) {
    NodeFixture node;
    node.answer(list_text({sound_entry("a"), sound_entry("odd"), sound_entry("z")}));
    node.answer(batch_text({}));  // Confirms the list.
    cr_assert(node.uses("odd"));
    node.answer(batch_text({odd.text}));
    cr_expect_not(node.uses("odd"), "%s", odd.what.c_str());
    cr_expect(node.uses("a") && node.uses("z"), "%s", odd.what.c_str());
    node.answer(batch_text({sound_entry("odd")}));
    cr_expect(node.uses("odd"), "%s", odd.what.c_str());
  }
}

Test(odd_entry, never_hides_the_entries_beside_it) {
  SHUNTBANK_PROPERTY("sound entries among arbitrary ones are all read", [] {
    std::vector<std::string> entries;
    std::set<std::string> sound;
    const auto count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
      const std::string name = "sound" + std::to_string(i);
      const bool odd = *rc::gen::arbitrary<bool>();
      entries.push_back(odd ? arbitrary_entry() : sound_entry(name));
      if (!odd) sound.insert(name);
    }
    StoreFixture store;
    std::set<std::string> listed = engines(store.list({list_text(entries)}));
    listed.erase("odd");
    RC_ASSERT(listed == sound);
    std::set<std::string> watched = engines(store.watch(batch_text(entries)));
    watched.erase("odd");
    RC_ASSERT(watched == sound);
    store.read(entries.front());
  });
}

Test(odd_entry, may_be_removed) {
  for (const OddEntry& odd : odd_entries()) {
    StoreFixture store;
    const Batch batch = store.watch(batch_text({odd.text}, "true"));
    cr_expect(batch && batch->changes.size() == 1, "%s", odd.what.c_str());
    if (batch && !batch->changes.empty()) {
      cr_expect(batch->changes.front().deleted, "%s", odd.what.c_str());
      cr_expect_eq(batch->changes.front().object.name, "odd");
    }
  }
}

Test(odd_entry, is_one_whose_removal_is_no_boolean) {
  StoreFixture store;
  const Batch batch = store.watch(batch_text({sound_entry("odd")}, "\"yes\""));
  cr_assert_eq(batch->changes.size(), 1);
  cr_assert(engines(batch).empty());
}
