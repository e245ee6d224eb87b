#include "engine/engine_api.hpp"

#include <sstream>

#include "common/json_parsing.hpp"

namespace shuntbank::engine_api {
namespace {

nlohmann::json models_to_json(const std::vector<ModelSpec>& models) {
  nlohmann::json list = nlohmann::json::array();
  for (const ModelSpec& model : models) {
    list.push_back(
        {{"name", model.name}, {"version", model.version}, {"adapters", model.adapters}});
  }
  return list;
}

std::vector<ModelSpec> models_from_json(const nlohmann::json& list) {
  std::vector<ModelSpec> models;
  for (const nlohmann::json& item : list) {
    models.push_back({item.at("name").get<std::string>(), item.at("version").get<std::string>(),
                      item.at("adapters").get<std::vector<std::string>>()});
  }
  return models;
}

EngineRole role_from_json(const nlohmann::json& json) {
  const auto role = parse_engine_role(json.get<std::string>());
  if (!role) throw std::invalid_argument("unknown role");
  return *role;
}

DesiredState parse_desired_state(const nlohmann::json& json) {
  return {role_from_json(json.at("role")), models_from_json(json.at("models")),
          json.at("accepting").get<bool>()};
}

OrderStamp parse_order_stamp(const nlohmann::json& json) {
  return {json.at("fence").get<Fence>(), json.at("sequence").get<Sequence>()};
}

/// Runs `parse` and converts JSON exceptions for missing or invalid fields to an error message.
template <typename Result, typename Parse>
tl::expected<Result, std::string> try_parse(Parse parse) {
  try {
    return parse();
  } catch (const std::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

}  // namespace

nlohmann::json to_json(const DesiredState& desired) {
  return {{"role", to_text(desired.role)},
          {"models", models_to_json(desired.models)},
          {"accepting", desired.accepting}};
}

tl::expected<DesiredState, std::string> desired_state_from_json(const nlohmann::json& json) {
  return try_parse<DesiredState>([&] { return parse_desired_state(json); });
}

nlohmann::json to_json(const EngineOrder& order) {
  return {{"fence", order.stamp.fence},
          {"sequence", order.stamp.sequence},
          {"desired", to_json(order.desired)}};
}

tl::expected<EngineOrder, std::string> order_from_json(const nlohmann::json& json) {
  return try_parse<EngineOrder>([&] {
    return EngineOrder{parse_order_stamp(json), parse_desired_state(json.at("desired"))};
  });
}

nlohmann::json to_json(const EngineState& state) {
  return {{"fence", state.stamp.fence},
          {"sequence", state.stamp.sequence},
          {"desired", to_json(state.desired)},
          {"role", to_text(state.role)},
          {"changing", state.change_in_progress},
          {"models", models_to_json(state.models)},
          {"active", state.active}};
}

tl::expected<EngineState, std::string> state_from_json(const nlohmann::json& json) {
  return try_parse<EngineState>([&] {
    EngineState state;
    state.stamp = parse_order_stamp(json);
    state.desired = parse_desired_state(json.at("desired"));
    state.role = role_from_json(json.at("role"));
    state.change_in_progress = json.at("changing").get<bool>();
    state.models = models_from_json(json.at("models"));
    state.active = json.at("active").get<std::uint32_t>();
    return state;
  });
}

std::optional<std::string> handle_from_prefill_answer(std::string_view body) {
  const auto answer = parse_json(body);
  if (!answer || !answer->is_object()) return std::nullopt;
  const auto handle = answer->find("kv_handle");
  if (handle == answer->end() || !handle->is_string()) return std::nullopt;
  return handle->get<std::string>();
}

std::string to_header(const LoadReport& report) {
  return std::to_string(report.running) + "/" + std::to_string(report.waiting) + "/" +
         std::to_string(report.waiting_tokens);
}

tl::expected<LoadReport, std::string> load_from_header(const std::string& text) {
  std::istringstream input(text);
  LoadReport report;
  char first_separator = 0;
  char second_separator = 0;
  input >> report.running >> first_separator >> report.waiting >> second_separator >>
      report.waiting_tokens;
  if (!input || first_separator != '/' || second_separator != '/')
    return tl::make_unexpected("not a load report");
  return report;
}

}  // namespace shuntbank::engine_api
