#include "config/document.hpp"

#include <algorithm>

#include "config/field_reader.hpp"
#include "config/snapshot.hpp"

namespace shuntbank {
namespace {

constexpr std::uint64_t kMaxRevision = static_cast<std::uint64_t>(INT64_MAX);

Revision version_of(const ConfigDocument& document, const ObjectKey& key) {
  const auto found = document.objects.find(key);
  const bool exists = found != document.objects.end() && !found->second.removed;
  return exists ? found->second.version : 0;
}

std::vector<EditConflict> find_conflicts(const ConfigDocument& current,
                                         const std::vector<ObjectEdit>& edits) {
  std::vector<EditConflict> conflicts;
  for (const ObjectEdit& edit : edits) {
    const Revision version = version_of(current, edit.key);
    if (version != edit.base_version) conflicts.push_back({edit.key, edit.base_version, version});
  }
  return conflicts;
}

std::optional<ObjectKey> read_key(FieldReader& reader) {
  const std::string kind_text = reader.text("kind", true);
  const std::string name = reader.text("name", true);
  const auto kind = parse_object_kind(kind_text);
  if (!kind) {
    if (!kind_text.empty()) {
      reader.add_finding("kind", "'" + kind_text + "' is none of Engine, Service, Tenant, Policy");
    }
    return std::nullopt;
  }
  return ObjectKey{*kind, name};
}

bool read_removed(const nlohmann::json& item, FieldReader& reader) {
  if (!item.is_object() || !item.contains("removed")) return false;
  if (item["removed"].is_boolean()) return item["removed"].get<bool>();
  reader.add_finding("removed", "must be true or false");
  return false;
}

nlohmann::json key_to_json(const ObjectKey& key) {
  return {{"kind", to_text(key.kind)}, {"name", key.name}};
}

}  // namespace

ConfigDocument ConfigDocument::changes_since(Revision from) const {
  ConfigDocument changes{revision, recent_writes, {}};
  for (const auto& [key, object] : objects) {
    if (object.version > from) changes.objects.emplace(key, object);
  }
  return changes;
}

bool ConfigDocument::contains_write(const std::string& write_id) const {
  return std::find(recent_writes.begin(), recent_writes.end(), write_id) != recent_writes.end();
}

void ConfigDocument::merge(const ConfigDocument& changes) {
  for (const auto& [key, object] : changes.objects) {
    const auto [entry, added] = objects.try_emplace(key, object);
    if (!added && entry->second.version < object.version) entry->second = object;
  }
  if (changes.revision > revision) {
    revision = changes.revision;
    recent_writes = changes.recent_writes;
  }
}

tl::expected<ConfigDocument, EditRefusal> apply_edits(const ConfigDocument& current,
                                                      const std::vector<ObjectEdit>& edits,
                                                      const std::string& write_id) {
  EditRefusal refusal;
  refusal.conflicts = find_conflicts(current, edits);
  if (!refusal.conflicts.empty()) return tl::make_unexpected(refusal);
  ConfigDocument next = current;
  next.revision = current.revision + 1;
  next.recent_writes.insert(next.recent_writes.begin(), write_id);
  if (next.recent_writes.size() > kMaxRecentWrites) next.recent_writes.resize(kMaxRecentWrites);
  for (const ObjectEdit& edit : edits) {
    const bool removed = !edit.spec.has_value();
    next.objects[edit.key] = {next.revision, removed, edit.spec.value_or(nlohmann::json::object())};
  }
  const auto snapshot = Snapshot::build(next);
  if (!snapshot) {
    refusal.findings = snapshot.error();
    return tl::make_unexpected(refusal);
  }
  return next;
}

ObjectEdit make_set_edit(ObjectKind kind, const std::string& name, Revision base_version,
                         nlohmann::json spec) {
  ObjectEdit edit;
  edit.key = {kind, name};
  edit.base_version = base_version;
  edit.spec = std::move(spec);
  return edit;
}

nlohmann::json to_json(const ConfigDocument& document) {
  nlohmann::json objects = nlohmann::json::array();
  for (const auto& [key, object] : document.objects) {
    nlohmann::json item = key_to_json(key);
    item["version"] = object.version;
    if (object.removed) item["removed"] = true;
    if (!object.removed) item["spec"] = object.spec;
    objects.push_back(std::move(item));
  }
  return {{"revision", document.revision},
          {"recent_writes", document.recent_writes},
          {"objects", std::move(objects)}};
}

tl::expected<ConfigDocument, Findings> document_from_json(const nlohmann::json& json) {
  Findings findings;
  ConfigDocument document;
  FieldReader reader(json, "", findings);
  document.revision = reader.unsigned_integer("revision", 0, kMaxRevision);
  document.recent_writes = reader.text_list("recent_writes");
  std::size_t index = 0;
  for (const nlohmann::json& item : reader.items("objects")) {
    FieldReader object_reader(item, "/objects/" + std::to_string(index++), findings);
    const auto key = read_key(object_reader);
    StoredObject object;
    object.version = object_reader.unsigned_integer("version", 0, kMaxRevision);
    object.removed = read_removed(item, object_reader);
    object.spec = object_reader.object("spec");
    if (key) document.objects.emplace(*key, std::move(object));
  }
  if (!findings.empty()) return tl::make_unexpected(findings);
  return document;
}

nlohmann::json to_json(const std::vector<ObjectEdit>& edits) {
  nlohmann::json items = nlohmann::json::array();
  for (const ObjectEdit& edit : edits) {
    nlohmann::json item = key_to_json(edit.key);
    item["base_version"] = edit.base_version;
    if (edit.spec) item["spec"] = *edit.spec;
    items.push_back(std::move(item));
  }
  return {{"edits", std::move(items)}};
}

tl::expected<std::vector<ObjectEdit>, Findings> edits_from_json(const nlohmann::json& json) {
  Findings findings;
  std::vector<ObjectEdit> edits;
  FieldReader reader(json, "", findings);
  std::size_t index = 0;
  for (const nlohmann::json& item : reader.items("edits")) {
    FieldReader edit_reader(item, "/edits/" + std::to_string(index++), findings);
    const auto key = read_key(edit_reader);
    ObjectEdit edit;
    edit.base_version = edit_reader.unsigned_integer("base_version", 0, kMaxRevision);
    const bool has_spec = item.is_object() && item.contains("spec");
    if (has_spec) edit.spec = edit_reader.object("spec");
    edit_reader.finish();
    if (!key) continue;
    edit.key = *key;
    edits.push_back(std::move(edit));
  }
  reader.finish();
  if (edits.empty() && findings.empty()) findings.add("/edits", "needs at least one edit");
  if (!findings.empty()) return tl::make_unexpected(findings);
  return edits;
}

}  // namespace shuntbank
