#include "protocol/engine_facts_codec.hpp"

#include <algorithm>
#include <chrono>

#include "common/json_parsing.hpp"

namespace shuntbank {
namespace {

/// Longer validities are cut to this, so that a faulty value does not bar an engine for long.
constexpr std::uint32_t kMaxNoticeMs = 60'000;

}  // namespace

void append_notice(nlohmann::json& entry, const relay::StageNotice& notice) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(notice.valid_for).count();
  entry.push_back(static_cast<int>(notice.stage));
  entry.push_back(notice.fence);
  entry.push_back(static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, kMaxNoticeMs)));
}

relay::StageNotice notice_in(const nlohmann::json& entry) {
  const std::uint32_t ms = std::min(to_integer<std::uint32_t>(entry.at(3)), kMaxNoticeMs);
  return {static_cast<relay::EngineStage>(to_integer<int>(entry.at(1))),
          to_integer<std::uint64_t>(entry.at(2)), std::chrono::milliseconds(ms)};
}

void append_samples(nlohmann::json& entry, const relay::EngineSamples& samples) {
  entry.push_back(samples.prefills);
  entry.push_back(samples.prefill_percent);
  entry.push_back(samples.streams);
  entry.push_back(samples.interval_ms);
  entry.push_back(samples.longest_gap_ms);
  entry.push_back(samples.late_streams);
  entry.push_back(samples.slowdown_percent);
}

relay::EngineSamples samples_in(const nlohmann::json& entry) {
  const auto number = [&](std::size_t index) { return to_integer<std::uint32_t>(entry.at(index)); };
  return {number(1), number(2), number(3), number(4), number(5), number(6), number(7)};
}

nlohmann::json served_to_json(const relay::ServedByTenant& served) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [tenant, tokens] : served)
    list.push_back(nlohmann::json::array({tenant.value(), tokens}));
  return list;
}

relay::ServedByTenant served_from_json(const nlohmann::json& list) {
  relay::ServedByTenant served;
  for (const nlohmann::json& entry : list) {
    relay::add_served(served, {{TenantName(entry.at(0).get<std::string>()),
                                to_integer<std::uint64_t>(entry.at(1))}});
  }
  return served;
}

std::size_t max_served_bytes(const TenantName& tenant) {
  constexpr std::size_t kFixedBytes = 13;  // The array, the length of the name and the number.
  return kFixedBytes + tenant.value().size();
}

}  // namespace shuntbank
