/// @file
/// Declared objects from JSON, with every problem reported at its place.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "common/findings.hpp"
#include "config/objects.hpp"

namespace shuntbank {

/// Checks and reads the fields of one object.
/// @param spec the object's fields without its kind and name.
/// @param place prefix for findings.
/// @return the object; only meaningful when `findings` gained nothing.
DeclaredObject read_object(ObjectKind kind, const std::string& name, const nlohmann::json& spec,
                           const std::string& place, Findings& findings);

}  // namespace shuntbank
