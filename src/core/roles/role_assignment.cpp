#include "core/roles/role_assignment.hpp"

#include <algorithm>

namespace shuntbank {
namespace {

/// Share of the engines that prefill when a service is first split and no demand is known.
constexpr std::uint32_t kFirstPrefillDivisor = 3;

std::string describe(const RolePlan& plan) {
  return plan.reason + ": prefill " + std::to_string(plan.prefill_engines) + ", decode " +
         std::to_string(plan.decode_engines) + ", gain " + std::to_string(plan.expected_gain) +
         ", cost " + std::to_string(plan.expected_cost);
}

std::uint32_t active_of(const EngineController::Line& line) {
  return line.state ? line.state->active : 0;
}

/// Wants `count` engines of role `from` to become `to`, those with the least in flight first.
void move(std::vector<EngineController::Line> lines, EngineRole from, EngineRole to,
          std::uint32_t count, RoleAssignment& assignment) {
  std::erase_if(lines, [from](const auto& line) { return line.wanted != from; });
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) { return active_of(a) < active_of(b); });
  for (std::size_t i = 0; i < std::min<std::size_t>(count, lines.size()); ++i) {
    assignment.roles.push_back({lines[i].engine, to});
  }
}

std::uint32_t count_wanted(const std::vector<EngineController::Line>& lines, EngineRole role) {
  return static_cast<std::uint32_t>(std::count_if(
      lines.begin(), lines.end(), [role](const auto& line) { return line.wanted == role; }));
}

}  // namespace

RoleAssignment assign_roles(const RolePlanner& planner,
                            const std::vector<EngineController::Line>& all_lines) {
  std::vector<EngineController::Line> lines = all_lines;
  std::erase_if(lines, [](const auto& line) { return !line.answers || !line.state; });
  RoleAssignment assignment;
  const auto total = static_cast<std::uint32_t>(lines.size());
  if (total < 2) {
    assignment.reason = "fewer than two engines answer";
    return assignment;
  }
  const std::uint32_t mixed = count_wanted(lines, EngineRole::kMixed);
  if (mixed > 0) {
    // A first split: the counts come from the demand where there is some.
    const std::uint32_t prefill_now = count_wanted(lines, EngineRole::kPrefill);
    const std::uint32_t wanted = std::max(1U, total / kFirstPrefillDivisor);
    const std::uint32_t missing = wanted > prefill_now ? wanted - prefill_now : 0;
    const std::uint32_t to_prefill = std::min(mixed, missing);
    move(lines, EngineRole::kMixed, EngineRole::kPrefill, to_prefill, assignment);
    std::vector<EngineController::Line> rest = lines;
    std::erase_if(rest, [&assignment](const auto& line) {
      return std::any_of(assignment.roles.begin(), assignment.roles.end(),
                         [&line](const WantedRole& role) { return role.engine == line.engine; });
    });
    move(rest, EngineRole::kMixed, EngineRole::kDecode, mixed - to_prefill, assignment);
    assignment.reason = "first split";
    return assignment;
  }
  const std::uint32_t prefill_now = count_wanted(lines, EngineRole::kPrefill);
  const RolePlan plan = planner.plan(total, prefill_now);
  assignment.reason = describe(plan);
  if (plan.prefill_engines > prefill_now) {
    move(lines, EngineRole::kDecode, EngineRole::kPrefill, plan.prefill_engines - prefill_now,
         assignment);
  } else {
    move(lines, EngineRole::kPrefill, EngineRole::kDecode, prefill_now - plan.prefill_engines,
         assignment);
  }
  return assignment;
}

}  // namespace shuntbank
