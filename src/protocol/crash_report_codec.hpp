/// @file
/// Encoding of crash reports in messages between nodes.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <vector>

#include "core/relay/crash_report.hpp"

namespace shuntbank {

/// Largest size of one report in MessagePack, in bytes.
constexpr std::size_t kMaxCrashReportBytes = 36;

nlohmann::json to_json(const std::vector<relay::CrashReport>& reports);

/// @return the reports, without those of unknown kinds.
/// @throw nlohmann::json::exception if the list is malformed.
std::vector<relay::CrashReport> crash_reports_from_json(const nlohmann::json& list);

}  // namespace shuntbank
