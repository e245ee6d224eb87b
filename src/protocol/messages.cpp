#include "protocol/messages.hpp"

#include <nlohmann/json.hpp>

#include "common/json_parsing.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;

/// Bounds the cost of parsing; deeper nesting is rejected.
constexpr int kMaxDepth = 32;

json to_json(const MemberFact& fact) {
  return {{"node", fact.node.value()},    {"inc", fact.incarnation}, {"boot", fact.boot},
          {"state", to_text(fact.state)}, {"addr", fact.address},    {"zone", fact.zone.value()},
          {"region", fact.region.value()}};
}

MemberFact member_from_json(const json& item) {
  const auto state = parse_member_state(item.at("state").get<std::string>());
  if (!state) throw std::invalid_argument("unknown member state");
  return {NodeId(item.at("node").get<std::string>()),
          to_integer<std::uint64_t>(item.at("inc")),
          to_integer<std::uint64_t>(item.at("boot")),
          *state,
          item.at("addr").get<std::string>(),
          ZoneName(item.at("zone").get<std::string>()),
          RegionName(item.at("region").get<std::string>())};
}

json to_json(const EngineFact& fact) {
  return {{"engine", fact.engine.value()}, {"fence", fact.stamp.fence},
          {"seq", fact.stamp.sequence},    {"change", fact.version},
          {"role", to_text(fact.role)},    {"state", to_text(fact.availability)}};
}

EngineFact engine_from_json(const json& item) {
  const auto role = parse_engine_role(item.at("role").get<std::string>());
  const auto availability = parse_availability(item.at("state").get<std::string>());
  if (!role || !availability) throw std::invalid_argument("unknown role or state");
  EngineFact fact;
  fact.engine = EngineId(item.at("engine").get<std::string>());
  fact.stamp = {to_integer<Fence>(item.at("fence")), to_integer<Sequence>(item.at("seq"))};
  fact.version = to_integer<std::uint32_t>(item.at("change"));
  fact.role = *role;
  fact.availability = *availability;
  return fact;
}

json to_json(const ClaimEntry& entry) {
  return {{"key", entry.key.value()},
          {"claimant", entry.claimant.value()},
          {"age_us", entry.age.count()}};
}

template <typename Item>
json list_to_json(const std::vector<Item>& items) {
  json list = json::array();
  for (const Item& item : items) list.push_back(to_json(item));
  return list;
}

template <typename Item, typename Decode>
std::vector<Item> list_from_json(const json& list, Decode decode_item) {
  std::vector<Item> items;
  for (const json& item : list) items.push_back(decode_item(item));
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

ClaimEntry claim_entry_from_json(const json& item) {
  return {ClaimKey(item.at("key").get<std::string>()),
          RequestId(item.at("claimant").get<std::string>()),
          Duration(to_integer<std::int64_t>(item.at("age_us")))};
}

const char* verdict_name(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kGranted:
      return "granted";
    case ClaimVerdict::kHeld:
      return "held";
    case ClaimVerdict::kUnavailable:
      break;
  }
  return "unavailable";
}

ClaimVerdict verdict_from_json(const json& name) {
  if (name == "granted") return ClaimVerdict::kGranted;
  if (name == "held") return ClaimVerdict::kHeld;
  return ClaimVerdict::kUnavailable;
}

json members_to_json(const std::vector<ClaimMember>& members) {
  json list = json::array();
  for (const ClaimMember& member : members) {
    list.push_back(
        {{"node", member.node.value()}, {"addr", member.address}, {"boot", member.boot}});
  }
  return list;
}

std::vector<ClaimMember> members_from_json(const json& list) {
  return list_from_json<ClaimMember>(list, [](const json& item) {
    return ClaimMember{NodeId(item.at("node").get<std::string>()),
                       item.at("addr").get<std::string>(),
                       to_integer<std::uint64_t>(item.at("boot"))};
  });
}

json body_of(const ClaimRequest& message) {
  return {{"type", "claim"},
          {"view", message.view},
          {"key", message.key.value()},
          {"claimant", message.claimant.value()}};
}

json body_of(const ClaimAnswer& message) {
  return {{"type", "claim_answer"}, {"verdict", verdict_name(message.verdict)}};
}

json body_of(const ClaimRelease& message) {
  return {{"type", "claim_release"},
          {"key", message.key.value()},
          {"claimant", message.claimant.value()}};
}

json body_of(const ClaimSeal& message) {
  return {{"type", "claim_seal"}, {"view", message.view}};
}

json body_of(const ClaimSealed& message) {
  return {{"type", "claim_sealed"},
          {"vouched", message.result.served_view},
          {"entries", list_to_json(message.result.entries)},
          {"quiet_us", message.result.grant_delay.count()}};
}

json body_of(const ClaimInstall& message) {
  return {{"type", "claim_install"},
          {"view", message.view},
          {"boot", message.boot},
          {"entries", list_to_json(message.entries)},
          {"quiet_us", message.quiet_for.count()}};
}

json body_of(const ClaimStatus& message) {
  return {{"type", "claim_status"}, {"active", message.active_view}};
}

json body_of(const ClaimProbe&) {
  return {{"type", "claim_probe"}};
}

json body_of(const ClaimGroupPull&) {
  return {{"type", "claim_group_pull"}};
}

json body_of(const ClaimGroupReply& message) {
  return {{"type", "claim_group"}, {"record", shuntbank::to_json(message.record)}};
}

Message read_heartbeat(const json& body) {
  Heartbeat message;
  message.from = NodeId(body.at("from").get<std::string>());
  message.is_answer = body.at("answer").get<bool>();
  message.revision = to_integer<Revision>(body.at("rev"));
  message.members = list_from_json<MemberFact>(body.at("members"), member_from_json);
  message.engines = list_from_json<EngineFact>(body.at("engines"), engine_from_json);
  message.engines_digest = to_integer<std::uint64_t>(body.at("digest"));
  return message;
}

Message read_config_changes(const json& body) {
  auto document = document_from_json(body.at("document"));
  if (!document) throw std::invalid_argument(document.error().to_text());
  return ConfigChanges{to_integer<Revision>(body.at("base")), std::move(*document)};
}

std::optional<Message> read_claim_message(const std::string& type, const json& body) {
  if (type == "claim") {
    return ClaimRequest{to_integer<ClaimView>(body.at("view")),
                        ClaimKey(body.at("key").get<std::string>()),
                        RequestId(body.at("claimant").get<std::string>())};
  }
  if (type == "claim_answer") return ClaimAnswer{verdict_from_json(body.at("verdict"))};
  if (type == "claim_release") {
    return ClaimRelease{ClaimKey(body.at("key").get<std::string>()),
                        RequestId(body.at("claimant").get<std::string>())};
  }
  if (type == "claim_seal") return ClaimSeal{to_integer<ClaimView>(body.at("view"))};
  if (type == "claim_sealed") {
    return ClaimSealed{{to_integer<ClaimView>(body.at("vouched")),
                        list_from_json<ClaimEntry>(body.at("entries"), claim_entry_from_json),
                        Duration(to_integer<std::int64_t>(body.at("quiet_us")))}};
  }
  if (type == "claim_install") {
    return ClaimInstall{to_integer<ClaimView>(body.at("view")),
                        to_integer<std::uint64_t>(body.at("boot")),
                        list_from_json<ClaimEntry>(body.at("entries"), claim_entry_from_json),
                        Duration(to_integer<std::int64_t>(body.at("quiet_us")))};
  }
  if (type == "claim_status") return ClaimStatus{to_integer<ClaimView>(body.at("active"))};
  if (type == "claim_probe") return ClaimProbe{};
  if (type == "claim_group_pull") return ClaimGroupPull{};
  if (type == "claim_group") return ClaimGroupReply{claim_group_from_json(body.at("record"))};
  return std::nullopt;
}

Message read_body(const json& body) {
  const auto type = body.at("type").get<std::string>();
  if (auto claim = read_claim_message(type, body)) return std::move(*claim);
  if (type == "heartbeat") return read_heartbeat(body);
  if (type == "revision") {
    return RevisionNotice{NodeId(body.at("from").get<std::string>()),
                          to_integer<Revision>(body.at("rev"))};
  }
  if (type == "demand") {
    return DemandReport{NodeId(body.at("from").get<std::string>()),
                        ServiceName(body.at("service").get<std::string>()),
                        body.at("prefill").get<double>(), body.at("decode").get<double>()};
  }
  if (type == "config_pull") return ConfigPull{to_integer<Revision>(body.at("have"))};
  if (type == "config_changes") return read_config_changes(body);
  if (type == "facts_pull") return FactsPull{};
  if (type == "facts") {
    return FactsReply{list_from_json<MemberFact>(body.at("members"), member_from_json),
                      list_from_json<EngineFact>(body.at("engines"), engine_from_json)};
  }
  throw std::invalid_argument("unknown message type");
}

}  // namespace

json to_json(const ClaimGroupRecord& record) {
  return {{"view", record.view},
          {"members", members_to_json(record.members)},
          {"stable", record.stable},
          {"previous_view", record.previous_view},
          {"previous_members", members_to_json(record.previous_members)}};
}

ClaimGroupRecord claim_group_from_json(const json& item) {
  return {to_integer<ClaimView>(item.at("view")), members_from_json(item.at("members")),
          item.at("stable").get<bool>(), to_integer<ClaimView>(item.at("previous_view")),
          members_from_json(item.at("previous_members"))};
}

std::string encode(const Message& message) {
  json body = std::visit([](const auto& value) { return body_of(value); }, message);
  body["v"] = kProtocolVersion;
  return body.dump();
}

tl::expected<Message, std::string> decode(std::string_view text) {
  bool too_deep = false;
  const auto limit_depth = [&too_deep](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kMaxDepth;
    return !too_deep;
  };
  try {
    const json body = json::parse(text, limit_depth, true);
    if (too_deep) return tl::make_unexpected("nested too deeply");
    if (to_integer<int>(body.at("v")) != kProtocolVersion) {
      return tl::make_unexpected("another protocol version");
    }
    return read_body(body);
  } catch (const std::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

}  // namespace shuntbank
