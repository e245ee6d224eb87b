/// @file
/// Loads declared objects from JSON files; each file holds one object or a list of objects.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/findings.hpp"
#include "config/document.hpp"

namespace shuntbank {

/// Objects declared by a set of files.
struct DeclaredFiles {
  std::map<ObjectKey, nlohmann::json> objects;
  Findings findings;  ///< By file and position; use `objects` only if there are none.
};

/// Reads files, and all `*.json` files of directories.
DeclaredFiles read_declared_files(const std::vector<std::string>& paths);

/// Checks declared objects offline, as one configuration.
/// @return all findings.
Findings check_declared(const std::map<ObjectKey, nlohmann::json>& objects);

}  // namespace shuntbank
