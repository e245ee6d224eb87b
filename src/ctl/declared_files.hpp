/// @file
/// Declared objects from files: one object or a list of objects a file, in JSON.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/findings.hpp"
#include "config/document.hpp"

namespace shuntbank {

/// What a set of files declares.
struct DeclaredFiles {
  std::map<ObjectKey, nlohmann::json> objects;
  Findings findings;  ///< Each with its file and place; the objects are usable only without any.
};

/// Reads files, and all `*.json` files of folders.
DeclaredFiles read_declared_files(const std::vector<std::string>& paths);

/// Checks declared objects offline, as one configuration.
/// @return all findings.
Findings check_declared(const std::map<ObjectKey, nlohmann::json>& objects);

}  // namespace shuntbank
