#include "protocol/engine_list_message.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "common/json_parsing.hpp"
#include "protocol/msgpack_document.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;
using relay::EngineListUpdate;
using relay::EngineRecord;
using relay::EngineStage;
using relay::ListedEngine;

/// Distinguishes the call from others on the same port.
constexpr std::string_view kCallPrefix = "engines?";

constexpr unsigned kDrainingFlag = 1;
constexpr unsigned kSpotFlag = 2;

/// Texts that occur in many records, sent once and referred to by number.
class WordWriter {
 public:
  std::size_t number_of(const std::string& word) {
    const auto [it, added] = this->numbers.emplace(word, this->words.size());
    if (added) this->words.push_back(word);
    return it->second;
  }

  const std::vector<std::string>& all() const { return this->words; }

 private:
  std::map<std::string, std::size_t> numbers;
  std::vector<std::string> words;
};

json to_json(const ListedEngine& engine, WordWriter& words) {
  json entry = {engine.name};
  if (!engine.record) return entry;
  const EngineRecord& record = *engine.record;
  const unsigned flags = (record.draining ? kDrainingFlag : 0U) | (record.spot ? kSpotFlag : 0U);
  entry.push_back(record.name == engine.name ? json() : json(record.name));
  // Usually follows from the name and the start time.
  const bool id_follows = record.id == relay::incarnation_id(engine.name, record.started_unix_ms);
  entry.push_back(id_follows ? json() : json(record.id.value()));
  entry.push_back(record.started_unix_ms);
  entry.push_back(words.number_of(record.service.value()));
  entry.push_back(record.address);
  entry.push_back(words.number_of(record.zone.value()));
  entry.push_back(record.slots);
  entry.push_back(flags);
  entry.push_back(static_cast<int>(record.stage));
  entry.push_back(words.number_of(record.software_version));
  return entry;
}

EngineStage stage_from(int number) {
  for (const EngineStage stage : {EngineStage::kPrefill, EngineStage::kDecode}) {
    if (static_cast<int>(stage) == number) return stage;
  }
  return EngineStage::kNone;
}

ListedEngine engine_from_json(const json& entry, const std::vector<std::string>& words) {
  ListedEngine engine{entry.at(0).get<std::string>(), std::nullopt};
  if (entry.size() == 1) return engine;
  const auto word = [&](std::size_t field) {
    return words.at(to_integer<std::size_t>(entry.at(field)));
  };
  EngineRecord record;
  record.name = entry.at(1).is_null() ? engine.name : entry.at(1).get<std::string>();
  record.started_unix_ms = to_integer<std::uint64_t>(entry.at(3));
  record.id = entry.at(2).is_null() ? relay::incarnation_id(engine.name, record.started_unix_ms)
                                    : EngineId(entry.at(2).get<std::string>());
  record.service = ServiceName(word(4));
  record.address = entry.at(5).get<std::string>();
  record.zone = ZoneName(word(6));
  record.slots = to_integer<std::uint32_t>(entry.at(7));
  const auto flags = to_integer<unsigned>(entry.at(8));
  record.draining = (flags & kDrainingFlag) != 0;
  record.spot = (flags & kSpotFlag) != 0;
  record.stage = stage_from(to_integer<int>(entry.at(9)));
  record.software_version = word(10);
  engine.record = std::move(record);
  return engine;
}

EngineListUpdate update_from_json(const json& document) {
  const auto words = document.at("words").get<std::vector<std::string>>();
  EngineListUpdate update;
  update.revision = to_integer<std::uint64_t>(document.at("revision"));
  update.newest_change = to_integer<std::uint64_t>(document.at("newest"));
  update.complete = document.at("complete").get<bool>();
  update.changed.reserve(document.at("changed").size());
  for (const json& entry : document.at("changed")) {
    update.changed.push_back(engine_from_json(entry, words));
  }
  update.removed = document.at("removed").get<std::vector<std::string>>();
  return update;
}

}  // namespace

std::string encode(const EngineListCall& call) {
  std::string bytes(kCallPrefix);
  json::to_msgpack({{"known", call.known_revision}}, bytes);
  return bytes;
}

std::string encode(const EngineListUpdate& update) {
  WordWriter words;
  json changed = json::array();
  for (const ListedEngine& engine : update.changed) changed.push_back(to_json(engine, words));
  const json document = {{"revision", update.revision}, {"newest", update.newest_change},
                         {"complete", update.complete}, {"changed", std::move(changed)},
                         {"removed", update.removed},   {"words", words.all()}};
  std::string bytes;
  json::to_msgpack(document, bytes);
  return bytes;
}

bool is_engine_list_call(std::string_view bytes) {
  return bytes.substr(0, kCallPrefix.size()) == kCallPrefix;
}

tl::expected<EngineListCall, std::string> decode_engine_list_call(std::string_view bytes) {
  try {
    const std::string_view body = bytes.substr(std::min(kCallPrefix.size(), bytes.size()));
    const json document = msgpack_document(body);
    return EngineListCall{to_integer<std::uint64_t>(document.at("known"))};
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

tl::expected<EngineListUpdate, std::string> decode_engine_list(std::string_view bytes) {
  try {
    return update_from_json(msgpack_document(bytes));
  } catch (const std::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

}  // namespace shuntbank
