#include "core/roles/role_assignment.hpp"

#include <algorithm>

namespace shuntbank {
namespace {

/// When a service is first split, one in this many engines gets the prefill role.
constexpr std::uint32_t kInitialPrefillDivisor = 3;

std::string describe(const RolePlan& plan) {
  return plan.reason + ": prefill " + std::to_string(plan.prefill_engines) + ", decode " +
         std::to_string(plan.decode_engines) + ", gain " + std::to_string(plan.expected_gain) +
         ", cost " + std::to_string(plan.expected_cost);
}

std::uint32_t active_requests(const EngineController::EngineStatus& status) {
  return status.state ? status.state->active : 0;
}

/// Reassigns `count` engines of role `from` to `to`, those with the fewest active requests first.
void reassign(std::vector<EngineController::EngineStatus> statuses, EngineRole from, EngineRole to,
              std::uint32_t count, RoleAssignment& assignment) {
  std::erase_if(statuses, [from](const auto& status) { return status.wanted_role != from; });
  std::stable_sort(statuses.begin(), statuses.end(), [](const auto& a, const auto& b) {
    return active_requests(a) < active_requests(b);
  });
  for (std::size_t i = 0; i < std::min<std::size_t>(count, statuses.size()); ++i) {
    assignment.roles.push_back({statuses[i].engine, to});
  }
}

std::uint32_t count_wanted(const std::vector<EngineController::EngineStatus>& statuses,
                           EngineRole role) {
  return static_cast<std::uint32_t>(
      std::count_if(statuses.begin(), statuses.end(),
                    [role](const auto& status) { return status.wanted_role == role; }));
}

}  // namespace

RoleAssignment assign_roles(const RolePlanner& planner,
                            const std::vector<EngineController::EngineStatus>& all_statuses) {
  std::vector<EngineController::EngineStatus> statuses = all_statuses;
  std::erase_if(statuses, [](const auto& status) { return !status.responsive || !status.state; });
  RoleAssignment assignment;
  const auto total = static_cast<std::uint32_t>(statuses.size());
  if (total < 2) {
    assignment.reason = "fewer than two engines answer";
    return assignment;
  }
  const std::uint32_t mixed = count_wanted(statuses, EngineRole::kMixed);
  if (mixed > 0) {
    // Initial split by a fixed ratio.
    const std::uint32_t current_prefill = count_wanted(statuses, EngineRole::kPrefill);
    const std::uint32_t wanted = std::max(1U, total / kInitialPrefillDivisor);
    const std::uint32_t missing = wanted > current_prefill ? wanted - current_prefill : 0;
    const std::uint32_t to_prefill = std::min(mixed, missing);
    reassign(statuses, EngineRole::kMixed, EngineRole::kPrefill, to_prefill, assignment);
    std::vector<EngineController::EngineStatus> remaining = statuses;
    std::erase_if(remaining, [&assignment](const auto& status) {
      return std::any_of(
          assignment.roles.begin(), assignment.roles.end(),
          [&status](const WantedRole& role) { return role.engine == status.engine; });
    });
    reassign(remaining, EngineRole::kMixed, EngineRole::kDecode, mixed - to_prefill, assignment);
    assignment.reason = "first split";
    return assignment;
  }
  const std::uint32_t current_prefill = count_wanted(statuses, EngineRole::kPrefill);
  const RolePlan plan = planner.plan(total, current_prefill);
  assignment.reason = describe(plan);
  if (plan.prefill_engines > current_prefill) {
    reassign(statuses, EngineRole::kDecode, EngineRole::kPrefill,
             plan.prefill_engines - current_prefill, assignment);
  } else {
    reassign(statuses, EngineRole::kPrefill, EngineRole::kDecode,
             current_prefill - plan.prefill_engines, assignment);
  }
  return assignment;
}

}  // namespace shuntbank
