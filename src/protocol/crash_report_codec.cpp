#include "protocol/crash_report_codec.hpp"

#include "common/json_parsing.hpp"

namespace shuntbank {

nlohmann::json to_json(const std::vector<relay::CrashReport>& reports) {
  nlohmann::json list = nlohmann::json::array();
  for (const relay::CrashReport& report : reports) {
    list.push_back({static_cast<unsigned>(report.event), report.request.high, report.request.low,
                    report.engine, report.caller, report.age_ms});
  }
  return list;
}

std::vector<relay::CrashReport> crash_reports_from_json(const nlohmann::json& list) {
  std::vector<relay::CrashReport> reports;
  for (const nlohmann::json& entry : list) {
    const auto event = to_integer<unsigned>(entry.at(0));
    if (event > static_cast<unsigned>(relay::kLastCrashEvent)) continue;
    reports.push_back(
        {static_cast<relay::CrashEvent>(event),
         {to_integer<std::uint64_t>(entry.at(1)), to_integer<std::uint64_t>(entry.at(2))},
         to_integer<relay::EngineKey>(entry.at(3)),
         to_integer<relay::CallerAddressHash>(entry.at(4)),
         to_integer<std::uint32_t>(entry.at(5))});
  }
  return reports;
}

}  // namespace shuntbank
