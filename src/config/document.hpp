/// @file
/// The stored form of a configuration: one document with a revision, and changes to it.
/// A document is written whole by compare-and-set, which makes a change over many objects atomic.
#pragma once

#include <compare>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/findings.hpp"
#include "common/identifiers.hpp"
#include "config/objects.hpp"

namespace shuntbank {

/// Names one declared object.
struct ObjectKey {
  ObjectKind kind = ObjectKind::kEngine;
  std::string name;

  auto operator<=>(const ObjectKey&) const = default;
  std::string to_text() const { return std::string(shuntbank::to_text(kind)) + "/" + name; }
};

/// A declared object as stored. `removed` entries stay, so that nodes which lag learn of them.
struct StoredObject {
  Revision version = 0;  ///< Revision of the document that last changed this object.
  bool removed = false;
  nlohmann::json spec;

  bool operator==(const StoredObject&) const = default;
};

/// A whole configuration.
struct ConfigDocument {
  Revision revision = 0;
  /// Identifiers of the last writes, newest first. They settle a write whose answer was lost, also
  /// when others have written since.
  std::vector<std::string> recent_writes;
  std::map<ObjectKey, StoredObject> objects;

  /// @return only the objects changed after `from`, with this document's revision.
  ConfigDocument changes_since(Revision from) const;

  /// @return whether the write of that identifier took effect, as far back as is remembered.
  bool contains_write(const std::string& write_id) const;

  /// Takes over a newer document's changes. @pre `changes` was made since this revision or earlier.
  void merge(const ConfigDocument& changes);

  bool operator==(const ConfigDocument&) const = default;
};

/// Writes whose identifiers are remembered.
constexpr std::size_t kMaxRecentWrites = 64;

/// One wanted edit: a new spec, or none to remove the object.
struct ObjectEdit {
  ObjectKey key;
  Revision base_version = 0;  ///< Version that the operator saw; zero: the object did not exist.
  std::optional<nlohmann::json> spec;
};

/// @return an edit that gives an object a new spec.
ObjectEdit make_set_edit(ObjectKind kind, const std::string& name, Revision base_version,
                         nlohmann::json spec);

/// Two operators changed the same object.
struct EditConflict {
  ObjectKey key;
  Revision base_version = 0;
  Revision current_version = 0;
};

/// Why a change was refused: it conflicts, or it is wrong. Nothing was changed.
struct EditRefusal {
  std::vector<EditConflict> conflicts;
  Findings findings;
};

/// Applies all edits or none.
/// @return the next document, checked as a whole, or every reason against it.
tl::expected<ConfigDocument, EditRefusal> apply_edits(const ConfigDocument& current,
                                                      const std::vector<ObjectEdit>& edits,
                                                      const std::string& write_id);

nlohmann::json to_json(const ConfigDocument& document);
tl::expected<ConfigDocument, Findings> document_from_json(const nlohmann::json& json);

nlohmann::json to_json(const std::vector<ObjectEdit>& edits);
tl::expected<std::vector<ObjectEdit>, Findings> edits_from_json(const nlohmann::json& json);

}  // namespace shuntbank
