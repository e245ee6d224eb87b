/// @file
/// Turns planned engine counts into roles of individual engines.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/roles/engine_controller.hpp"
#include "core/roles/role_planner.hpp"

namespace shuntbank {

/// New role of one engine.
struct WantedRole {
  EngineId engine;
  EngineRole role = EngineRole::kMixed;
};

/// Roles to change, and the reason.
struct RoleAssignment {
  std::vector<WantedRole> roles;
  std::string reason;
};

/// Compares the plan with the current roles; changes the engines with the fewest active requests.
/// @param statuses engines as known to the controller; unresponsive ones are ignored.
RoleAssignment assign_roles(const RolePlanner& planner,
                            const std::vector<EngineController::EngineStatus>& statuses);

}  // namespace shuntbank
