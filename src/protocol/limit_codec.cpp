#include "protocol/limit_codec.hpp"

namespace shuntbank {

void append_limit(nlohmann::json& entry, const relay::ToldLimit& limit) {
  entry.push_back(limit.a_second ? nlohmann::json(*limit.a_second) : nlohmann::json());
  entry.push_back(limit.age_ms);
}

relay::ToldLimit limit_at(const nlohmann::json& entry, std::size_t index) {
  relay::ToldLimit limit;
  const nlohmann::json& value = entry.at(index);
  if (!value.is_null()) limit.a_second = value.get<double>();
  limit.age_ms = entry.at(index + 1).get<std::uint32_t>();
  return limit;
}

}  // namespace shuntbank
