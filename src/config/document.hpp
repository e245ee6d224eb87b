/// @file
/// The stored form of a configuration: a versioned document, and edits to it.
/// The whole document is written by compare-and-set, so a change to several objects is atomic.
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

/// Identifies one declared object by kind and name.
struct ObjectKey {
  ObjectKind kind = ObjectKind::kEngine;
  std::string name;

  auto operator<=>(const ObjectKey&) const = default;
  std::string to_text() const { return std::string(shuntbank::to_text(kind)) + "/" + name; }
};

/// A declared object as stored. Removed objects stay as tombstones, for nodes that lag behind.
struct StoredObject {
  Revision version = 0;  ///< Document revision in which this object last changed.
  bool removed = false;
  nlohmann::json spec;

  bool operator==(const StoredObject&) const = default;
};

/// All declared objects at one revision.
struct ConfigDocument {
  Revision revision = 0;
  /// Identifiers of the last writes, newest first. They show whether a write whose answer was lost
  /// took effect, even if others have written since.
  std::vector<std::string> recent_writes;
  std::map<ObjectKey, StoredObject> objects;

  /// @return the objects changed after revision `from`, with this document's revision.
  ConfigDocument changes_since(Revision from) const;

  /// @return whether `write_id` is among the recent writes.
  bool contains_write(const std::string& write_id) const;

  /// Applies the changes of a newer document.
  /// @pre `changes` contains all changes since this document's revision.
  void merge(const ConfigDocument& changes);

  bool operator==(const ConfigDocument&) const = default;
};

/// Number of write identifiers that a document retains.
constexpr std::size_t kMaxRecentWrites = 64;

/// One requested edit: a new spec, or none to remove the object.
struct ObjectEdit {
  ObjectKey key;
  Revision base_version = 0;  ///< Version that was edited; zero: the object must not exist.
  std::optional<nlohmann::json> spec;
};

/// @return an edit that gives an object a new spec.
ObjectEdit make_set_edit(ObjectKind kind, const std::string& name, Revision base_version,
                         nlohmann::json spec);

/// The object has changed since the version that an edit is based on.
struct EditConflict {
  ObjectKey key;
  Revision base_version = 0;
  Revision current_version = 0;
};

/// Why a change was rejected: version conflicts or invalid objects. Nothing was changed.
struct EditRefusal {
  std::vector<EditConflict> conflicts;
  Findings findings;
};

/// Applies all edits or none.
/// @return the next document, validated as a whole, or every conflict or finding.
tl::expected<ConfigDocument, EditRefusal> apply_edits(const ConfigDocument& current,
                                                      const std::vector<ObjectEdit>& edits,
                                                      const std::string& write_id);

nlohmann::json to_json(const ConfigDocument& document);
tl::expected<ConfigDocument, Findings> document_from_json(const nlohmann::json& json);

nlohmann::json to_json(const std::vector<ObjectEdit>& edits);
tl::expected<std::vector<ObjectEdit>, Findings> edits_from_json(const nlohmann::json& json);

}  // namespace shuntbank
