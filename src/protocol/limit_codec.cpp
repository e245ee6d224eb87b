#include "protocol/limit_codec.hpp"

#include "common/json_parsing.hpp"

namespace shuntbank {

void append_limit(nlohmann::json& entry, const relay::LimitReport& limit) {
  entry.push_back(limit.per_second ? nlohmann::json(*limit.per_second) : nlohmann::json());
  entry.push_back(limit.age_ms);
}

relay::LimitReport limit_at(const nlohmann::json& entry, std::size_t index) {
  relay::LimitReport limit;
  const nlohmann::json& value = entry.at(index);
  if (!value.is_null()) limit.per_second = value.get<double>();
  limit.age_ms = to_integer<std::uint32_t>(entry.at(index + 1));
  return limit;
}

}  // namespace shuntbank
