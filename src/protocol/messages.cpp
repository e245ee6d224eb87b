#include "protocol/messages.hpp"

#include <nlohmann/json.hpp>

namespace shuntbank {
namespace {

using nlohmann::json;

/// Nesting beyond this is refused before it can cost anything.
constexpr int kMaxDepth = 32;

json to_json(const MemberFact& fact) {
  return {{"node", fact.node.value()},    {"inc", fact.incarnation},
          {"state", to_text(fact.state)}, {"addr", fact.address},
          {"zone", fact.zone.value()},    {"region", fact.region.value()}};
}

MemberFact member_from_json(const json& item) {
  const auto state = parse_member_state(item.at("state").get<std::string>());
  if (!state) throw std::invalid_argument("unknown member state");
  return {NodeId(item.at("node").get<std::string>()),
          item.at("inc").get<std::uint64_t>(),
          *state,
          item.at("addr").get<std::string>(),
          ZoneName(item.at("zone").get<std::string>()),
          RegionName(item.at("region").get<std::string>())};
}

json to_json(const EngineFact& fact) {
  return {{"engine", fact.engine.value()}, {"fence", fact.stamp.fence},
          {"seq", fact.stamp.sequence},    {"change", fact.change},
          {"role", to_text(fact.role)},    {"state", to_text(fact.availability)}};
}

EngineFact engine_from_json(const json& item) {
  const auto role = parse_engine_role(item.at("role").get<std::string>());
  const auto availability = parse_availability(item.at("state").get<std::string>());
  if (!role || !availability) throw std::invalid_argument("unknown role or state");
  EngineFact fact;
  fact.engine = EngineId(item.at("engine").get<std::string>());
  fact.stamp = {item.at("fence").get<Fence>(), item.at("seq").get<Sequence>()};
  fact.change = item.at("change").get<std::uint32_t>();
  fact.role = *role;
  fact.availability = *availability;
  return fact;
}

template <typename Item>
json list_to_json(const std::vector<Item>& items) {
  json list = json::array();
  for (const Item& item : items) list.push_back(to_json(item));
  return list;
}

template <typename Item, typename Read>
std::vector<Item> list_from_json(const json& list, Read read) {
  std::vector<Item> items;
  for (const json& item : list) items.push_back(read(item));
  return items;
}

json body_of(const Heartbeat& message) {
  return {{"type", "heartbeat"},
          {"from", message.from.value()},
          {"answer", message.is_answer},
          {"rev", message.revision},
          {"members", list_to_json(message.members)},
          {"engines", list_to_json(message.engines)},
          {"digest", message.engines_digest}};
}

json body_of(const RevisionNotice& message) {
  return {{"type", "revision"}, {"from", message.from.value()}, {"rev", message.revision}};
}

json body_of(const DemandReport& message) {
  return {{"type", "demand"},
          {"from", message.from.value()},
          {"service", message.service.value()},
          {"prefill", message.prefill_tokens_per_second},
          {"decode", message.decode_tokens_per_second}};
}

json body_of(const ConfigPull& message) {
  return {{"type", "config_pull"}, {"have", message.have}};
}

json body_of(const ConfigChanges& message) {
  return {{"type", "config_changes"},
          {"base", message.base},
          {"document", shuntbank::to_json(message.document)}};
}

json body_of(const FactsPull&) {
  return {{"type", "facts_pull"}};
}

json body_of(const FactsReply& message) {
  return {{"type", "facts"},
          {"members", list_to_json(message.members)},
          {"engines", list_to_json(message.engines)}};
}

Message read_heartbeat(const json& body) {
  Heartbeat message;
  message.from = NodeId(body.at("from").get<std::string>());
  message.is_answer = body.at("answer").get<bool>();
  message.revision = body.at("rev").get<Revision>();
  message.members = list_from_json<MemberFact>(body.at("members"), member_from_json);
  message.engines = list_from_json<EngineFact>(body.at("engines"), engine_from_json);
  message.engines_digest = body.at("digest").get<std::uint64_t>();
  return message;
}

Message read_config_changes(const json& body) {
  auto document = document_from_json(body.at("document"));
  if (!document) throw std::invalid_argument(document.error().to_text());
  return ConfigChanges{body.at("base").get<Revision>(), std::move(*document)};
}

Message read_body(const json& body) {
  const auto type = body.at("type").get<std::string>();
  if (type == "heartbeat") return read_heartbeat(body);
  if (type == "revision") {
    return RevisionNotice{NodeId(body.at("from").get<std::string>()),
                          body.at("rev").get<Revision>()};
  }
  if (type == "demand") {
    return DemandReport{NodeId(body.at("from").get<std::string>()),
                        ServiceName(body.at("service").get<std::string>()),
                        body.at("prefill").get<double>(), body.at("decode").get<double>()};
  }
  if (type == "config_pull") return ConfigPull{body.at("have").get<Revision>()};
  if (type == "config_changes") return read_config_changes(body);
  if (type == "facts_pull") return FactsPull{};
  if (type == "facts") {
    return FactsReply{list_from_json<MemberFact>(body.at("members"), member_from_json),
                      list_from_json<EngineFact>(body.at("engines"), engine_from_json)};
  }
  throw std::invalid_argument("unknown message type");
}

}  // namespace

std::string encode(const Message& message) {
  json body = std::visit([](const auto& value) { return body_of(value); }, message);
  body["v"] = kProtocolVersion;
  return body.dump();
}

tl::expected<Message, std::string> decode(std::string_view text) {
  bool too_deep = false;
  const auto bounded = [&too_deep](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kMaxDepth;
    return !too_deep;
  };
  try {
    const json body = json::parse(text, bounded, true);
    if (too_deep) return tl::make_unexpected("nested too deeply");
    if (body.at("v").get<int>() != kProtocolVersion) {
      return tl::make_unexpected("another protocol version");
    }
    return read_body(body);
  } catch (const std::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

}  // namespace shuntbank
