/// @file
/// JSON encoding of leases, used by every store that holds them.
#pragma once

#include <nlohmann/json.hpp>

#include "core/lease/lease_holder.hpp"

namespace shuntbank {

nlohmann::json lease_to_json(const LeaseRecord& record);

/// Decodes a lease. A malformed holder becomes an empty one, a malformed duration 30 s. A readable
/// epoch is always kept, so that epochs never decrease.
LeaseRecord lease_from_json(const nlohmann::json& json);

}  // namespace shuntbank
