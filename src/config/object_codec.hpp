/// @file
/// Reads declared objects from JSON and reports every problem with its place.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "common/findings.hpp"
#include "config/objects.hpp"

namespace shuntbank {

/// Reads and validates the fields of one object.
/// @param spec the object's fields without its kind and name.
/// @param place location of the object; the place of each finding starts with it.
/// @return the object; valid only if no finding was added.
DeclaredObject read_object(ObjectKind kind, const std::string& name, const nlohmann::json& spec,
                           const std::string& place, Findings& findings);

}  // namespace shuntbank
