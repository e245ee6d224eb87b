/// @file
/// Turns a plan of counts into wanted roles of single engines, where least is lost.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/roles/engine_controller.hpp"
#include "core/roles/role_planner.hpp"

namespace shuntbank {

/// A role that one engine should have from now on.
struct WantedRole {
  EngineId engine;
  EngineRole role = EngineRole::kMixed;
};

/// Roles to change, and why.
struct RoleAssignment {
  std::vector<WantedRole> roles;
  std::string reason;
};

/// Compares the plan with what engines are and chooses those with the least work to change.
/// @param statuses the engines as their controller knows them; those that do not answer are left
/// out.
RoleAssignment assign_roles(const RolePlanner& planner,
                            const std::vector<EngineController::EngineStatus>& statuses);

}  // namespace shuntbank
