#include "protocol/lease_codec.hpp"

#include "common/units.hpp"

namespace shuntbank {
namespace {

/// Assumed for a lease whose own duration is missing or malformed.
constexpr Duration kFallbackLeaseDuration = std::chrono::seconds(30);

std::string text_of(const nlohmann::json& json, const char* key) {
  const auto found = json.find(key);
  return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

nlohmann::json lease_to_json(const LeaseRecord& record) {
  return {{"holder", record.holder.value()},
          {"epoch", record.epoch},
          {"write_id", record.write_id},
          {"length", format_duration(record.duration)}};
}

LeaseRecord lease_from_json(const nlohmann::json& json) {
  LeaseRecord record;
  record.duration = kFallbackLeaseDuration;
  if (!json.is_object()) return record;
  record.holder = NodeId(text_of(json, "holder"));
  record.write_id = text_of(json, "write_id");
  const auto epoch = json.find("epoch");
  if (epoch != json.end() && epoch->is_number_unsigned()) record.epoch = epoch->get<Fence>();
  record.duration = parse_duration(text_of(json, "length")).value_or(kFallbackLeaseDuration);
  return record;
}

}  // namespace shuntbank
