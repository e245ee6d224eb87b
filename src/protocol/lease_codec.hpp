/// @file
/// The stored form of a lease as JSON, for every store that holds leases.
#pragma once

#include <nlohmann/json.hpp>

#include "core/lease/lease_holder.hpp"

namespace shuntbank {

nlohmann::json lease_to_json(const LeaseRecord& record);

/// Reads a lease. What cannot be read counts as held by nobody known for 30 s; the epoch is kept
/// where it can be read, so that it only grows.
LeaseRecord lease_from_json(const nlohmann::json& json);

}  // namespace shuntbank
