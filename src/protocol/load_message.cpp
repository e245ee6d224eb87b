#include "protocol/load_message.hpp"

#include <nlohmann/json.hpp>

#include "common/json_parsing.hpp"
#include "protocol/crash_report_codec.hpp"
#include "protocol/engine_facts_codec.hpp"
#include "protocol/limit_codec.hpp"
#include "protocol/msgpack_document.hpp"
#include "protocol/trouble_codec.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;

json reads_to_json(const std::vector<relay::PromptRead>& reads) {
  json list = json::array();
  for (const relay::PromptRead& read : reads) {
    json parts = json::array();
    for (const relay::PromptPart& part : read.parts) parts.push_back({part.id, part.tokens});
    json entry = {read.engine.value(), std::move(parts)};
    if (read.unshared_tokens > 0) entry.push_back(read.unshared_tokens);
    list.push_back(std::move(entry));
  }
  return list;
}

std::vector<relay::PromptRead> reads_from_json(const json& list) {
  std::vector<relay::PromptRead> reads;
  for (const json& item : list) {
    relay::PromptRead read;
    read.engine = EngineId(item.at(0).get<std::string>());
    for (const json& part : item.at(1)) {
      read.parts.push_back(
          {to_integer<std::uint64_t>(part.at(0)), to_integer<std::uint64_t>(part.at(1))});
    }
    if (item.size() > 2) read.unshared_tokens = to_integer<std::uint64_t>(item.at(2));
    reads.push_back(std::move(read));
  }
  return reads;
}

json troubles_to_json(const std::vector<relay::EngineTrouble>& troubles) {
  json list = json::array();
  for (const relay::EngineTrouble& trouble : troubles) {
    json entry = {trouble.engine.value(), static_cast<int>(trouble.stage)};
    append_kind(entry, trouble.kind);
    list.push_back(std::move(entry));
  }
  return list;
}

std::vector<relay::EngineTrouble> troubles_from_json(const json& list) {
  std::vector<relay::EngineTrouble> troubles;
  for (const json& item : list) {
    troubles.push_back({EngineId(item.at(0).get<std::string>()),
                        static_cast<relay::EngineStage>(to_integer<int>(item.at(1))),
                        trouble_kind(item)});
  }
  return troubles;
}

json limits_to_json(const std::vector<EngineLimitReport>& limits) {
  json list = json::array();
  for (const EngineLimitReport& report : limits) {
    json entry = json::array({report.engine.value()});
    append_limit(entry, report.limit);
    list.push_back(std::move(entry));
  }
  return list;
}

std::vector<EngineLimitReport> limits_from_json(const json& list) {
  std::vector<EngineLimitReport> limits;
  for (const json& item : list) {
    limits.push_back({EngineId(item.at(0).get<std::string>()), limit_at(item, 1)});
  }
  return limits;
}

json notices_to_json(const std::vector<relay::EngineStageNotice>& notices) {
  json list = json::array();
  for (const relay::EngineStageNotice& item : notices) {
    json entry = json::array({item.engine.value()});
    append_notice(entry, item.notice);
    list.push_back(std::move(entry));
  }
  return list;
}

std::vector<relay::EngineStageNotice> notices_from_json(const json& list) {
  std::vector<relay::EngineStageNotice> notices;
  for (const json& entry : list) {
    notices.push_back({EngineId(entry.at(0).get<std::string>()), notice_in(entry)});
  }
  return notices;
}

json samples_to_json(const relay::SamplesById& samples) {
  json list = json::array();
  for (const auto& [engine, sums] : samples) {
    json entry = json::array({engine.value()});
    append_samples(entry, sums);
    list.push_back(std::move(entry));
  }
  return list;
}

relay::SamplesById samples_from_json(const json& list) {
  relay::SamplesById samples;
  for (const json& entry : list) {
    samples[EngineId(entry.at(0).get<std::string>())] += samples_in(entry);
  }
  return samples;
}

json sightings_to_json(const std::vector<relay::VersionSighting>& sightings) {
  json document = json::array();
  for (const relay::VersionSighting& sighting : sightings) {
    document.push_back({sighting.service.value(), sighting.version, sighting.age_ms});
  }
  return document;
}

std::vector<relay::VersionSighting> sightings_from_json(const json& document) {
  std::vector<relay::VersionSighting> sightings;
  for (const json& item : document) {
    sightings.push_back({ServiceName(item.at(0).get<std::string>()), item.at(1).get<std::string>(),
                         to_integer<std::uint32_t>(item.at(2))});
  }
  return sightings;
}

}  // namespace

std::string encode(const LoadMessage& message) {
  json load = json::array();
  for (const auto& [engine, work] : message.load) {
    json entry = {engine.value(), work.in_flight, work.prefill_tokens};
    if (work.deferred_tokens > 0) entry.push_back(work.deferred_tokens);
    load.push_back(std::move(entry));
  }
  json document = {{"node", message.node.value()},
                   {"boot", message.boot},
                   {"seq", message.sequence},
                   {"load", std::move(load)},
                   {"seen", {message.revisions.configuration, message.revisions.engines}}};
  if (message.store_age_ms) document["age"] = *message.store_age_ms;
  if (message.to_collector) document["sum"] = message.wants_view;
  if (!message.reads.empty()) document["reads"] = reads_to_json(message.reads);
  if (!message.troubles.empty()) document["troubles"] = troubles_to_json(message.troubles);
  if (!message.limits.empty()) document["limits"] = limits_to_json(message.limits);
  if (!message.crashes.empty()) document["crashes"] = to_json(message.crashes);
  if (!message.stage_notices.empty()) document["stages"] = notices_to_json(message.stage_notices);
  if (!message.samples.empty()) document["samples"] = samples_to_json(message.samples);
  if (!message.served.empty()) document["served"] = served_to_json(message.served);
  std::string bytes;
  json::to_msgpack(document, bytes);
  return bytes;
}

std::string encode(const CacheSnapshot& snapshot) {
  std::string bytes;
  json document = {{"kept", reads_to_json(snapshot.cached_prompts)}};
  if (!snapshot.samples.empty()) document["samples"] = samples_to_json(snapshot.samples);
  if (snapshot.versions) document["versions"] = sightings_to_json(*snapshot.versions);
  json::to_msgpack(document, bytes);
  return bytes;
}

tl::expected<CacheSnapshot, std::string> decode_cache_snapshot(std::string_view bytes) {
  try {
    const json document = msgpack_document(bytes);
    CacheSnapshot snapshot{reads_from_json(document.at("kept")), {}};
    if (document.contains("samples")) snapshot.samples = samples_from_json(document["samples"]);
    if (document.contains("versions")) {
      snapshot.versions = sightings_from_json(document["versions"]);
    }
    return snapshot;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

tl::expected<LoadMessage, std::string> decode_load_message(std::string_view bytes) {
  try {
    const json document = msgpack_document(bytes);
    LoadMessage message;
    message.node = NodeId(document.at("node").get<std::string>());
    message.boot = to_integer<std::uint64_t>(document.at("boot"));
    message.sequence = to_integer<std::uint64_t>(document.at("seq"));
    for (const json& item : document.at("load")) {
      relay::PeerLoad& work = message.load[EngineId(item.at(0).get<std::string>())];
      work.in_flight = to_integer<std::uint32_t>(item.at(1));
      work.prefill_tokens = to_integer<std::uint64_t>(item.at(2));
      if (item.size() > 3) work.deferred_tokens = to_integer<std::uint64_t>(item.at(3));
    }
    if (document.contains("seen")) {
      message.revisions.configuration = to_integer<std::uint64_t>(document["seen"].at(0));
      message.revisions.engines = to_integer<std::uint64_t>(document["seen"].at(1));
    }
    if (document.contains("age")) message.store_age_ms = to_integer<std::uint32_t>(document["age"]);
    if (document.contains("sum")) {
      message.to_collector = true;
      message.wants_view = document["sum"].get<bool>();
    }
    if (document.contains("troubles")) {
      message.troubles = troubles_from_json(document["troubles"]);
    }
    if (document.contains("limits")) message.limits = limits_from_json(document["limits"]);
    if (document.contains("crashes"))
      message.crashes = crash_reports_from_json(document["crashes"]);
    if (document.contains("stages")) message.stage_notices = notices_from_json(document["stages"]);
    if (document.contains("samples")) message.samples = samples_from_json(document["samples"]);
    if (document.contains("served")) message.served = served_from_json(document["served"]);
    if (document.contains("reads")) message.reads = reads_from_json(document["reads"]);
    return message;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

}  // namespace shuntbank
