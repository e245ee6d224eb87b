#include "protocol/crash_report_codec.hpp"

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
    const auto event = entry.at(0).get<unsigned>();
    if (event > static_cast<unsigned>(relay::kLastCrashEvent)) continue;
    reports.push_back({static_cast<relay::CrashEvent>(event),
                       {entry.at(1).get<std::uint64_t>(), entry.at(2).get<std::uint64_t>()},
                       entry.at(3).get<relay::EngineKey>(),
                       entry.at(4).get<relay::CallerAddressHash>(),
                       entry.at(5).get<std::uint32_t>()});
  }
  return reports;
}

}  // namespace shuntbank
