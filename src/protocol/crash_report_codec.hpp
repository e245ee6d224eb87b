/// @file
/// Crash reports as they stand in the messages between nodes.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <vector>

#include "core/relay/crash_report.hpp"

namespace shuntbank {

/// Bytes of one report in MessagePack, at most.
constexpr std::size_t kMaxCrashReportBytes = 36;

nlohmann::json to_json(const std::vector<relay::CrashReport>& reports);

/// @return the reports; those of a kind that this version does not know are left out.
/// @throw nlohmann::json::exception when they cannot be read.
std::vector<relay::CrashReport> crash_reports_from_json(const nlohmann::json& list);

}  // namespace shuntbank
