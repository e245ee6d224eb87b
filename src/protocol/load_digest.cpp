#include "protocol/load_digest.hpp"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

#include "common/json_parsing.hpp"
#include "protocol/crash_report_codec.hpp"
#include "protocol/engine_facts_codec.hpp"
#include "protocol/limit_codec.hpp"
#include "protocol/load_message.hpp"
#include "protocol/msgpack_document.hpp"
#include "protocol/trouble_codec.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;

/// First byte of a message. MessagePack never uses the first one; the second begins an array,
/// while load messages are maps.
constexpr char kViewMark = '\xc1';
constexpr char kDigestMark = '\x9a';  // An array of ten.
constexpr std::size_t kSequenceBytes = 8;

/// A digest without load and updates; names of nodes and zones are shorter than 100 bytes.
constexpr std::size_t kMaxHeaderBytes = 300;

/// @return the size of a number in MessagePack, in bytes.
std::size_t packed_size(std::uint64_t number) {
  if (number < 128) return 1;
  if (number < 256) return 2;
  if (number < 65536) return 3;
  return number < (1ULL << 32U) ? 5 : 9;
}

std::size_t packed_size(const relay::PeerLoad& work) {
  constexpr std::size_t kKeyBytes = 5;
  return kKeyBytes + packed_size(work.in_flight) + packed_size(work.prefill_tokens) +
         packed_size(work.deferred_tokens);
}

std::size_t packed_size(const relay::KeyedRead& read) {
  std::size_t bytes = 9 + packed_size(read.unshared_tokens);
  for (const relay::PromptPart& part : read.parts) {
    bytes += packed_size(part.id) + packed_size(part.tokens);
  }
  return bytes;
}

constexpr std::size_t kMaxTroubleBytes = 9;
constexpr std::size_t kMaxLimitBytes = 20;

json load_to_json(const relay::LoadByKey& load) {
  json numbers = json::array();
  for (const auto& [key, work] : load) {
    numbers.push_back(key);
    numbers.push_back(work.in_flight);
    numbers.push_back(work.prefill_tokens);
    numbers.push_back(work.deferred_tokens);
  }
  return numbers;
}

relay::LoadByKey load_from_json(const json& numbers) {
  relay::LoadByKey load;
  for (std::size_t i = 0; i + 3 < numbers.size(); i += 4) {
    load[to_integer<relay::EngineKey>(numbers[i])] = {to_integer<std::uint32_t>(numbers[i + 1]),
                                                      to_integer<std::uint64_t>(numbers[i + 2]),
                                                      to_integer<std::uint64_t>(numbers[i + 3])};
  }
  return load;
}

json reads_to_json(const std::vector<relay::KeyedRead>& reads) {
  json list = json::array();
  for (const relay::KeyedRead& read : reads) {
    json entry = json::array({read.engine});
    for (const relay::PromptPart& part : read.parts) {
      entry.push_back(part.id);
      entry.push_back(part.tokens);
    }
    // Pairs follow the engine, so that earlier versions ignore a single last number.
    if (read.unshared_tokens > 0) entry.push_back(read.unshared_tokens);
    list.push_back(std::move(entry));
  }
  return list;
}

std::vector<relay::KeyedRead> reads_from_json(const json& list) {
  std::vector<relay::KeyedRead> reads;
  for (const json& entry : list) {
    relay::KeyedRead read{to_integer<relay::EngineKey>(entry.at(0)), {}, 0};
    for (std::size_t i = 1; i + 1 < entry.size(); i += 2) {
      read.parts.push_back(
          {to_integer<std::uint64_t>(entry[i]), to_integer<std::uint64_t>(entry[i + 1])});
    }
    if (entry.size() % 2 == 0) read.unshared_tokens = to_integer<std::uint64_t>(entry.back());
    reads.push_back(std::move(read));
  }
  return reads;
}

json troubles_to_json(const std::vector<relay::KeyedTrouble>& troubles) {
  json list = json::array();
  for (const relay::KeyedTrouble& trouble : troubles) {
    json entry = {trouble.engine, static_cast<int>(trouble.stage)};
    append_kind(entry, trouble.kind);
    list.push_back(std::move(entry));
  }
  return list;
}

std::vector<relay::KeyedTrouble> troubles_from_json(const json& list) {
  std::vector<relay::KeyedTrouble> troubles;
  for (const json& entry : list) {
    troubles.push_back({to_integer<relay::EngineKey>(entry.at(0)),
                        static_cast<relay::EngineStage>(to_integer<int>(entry.at(1))),
                        trouble_kind(entry)});
  }
  return troubles;
}

json limits_to_json(const std::vector<relay::KeyedLimit>& limits) {
  json list = json::array();
  for (const relay::KeyedLimit& keyed : limits) {
    json entry = json::array({keyed.engine});
    append_limit(entry, keyed.limit);
    list.push_back(std::move(entry));
  }
  return list;
}

std::vector<relay::KeyedLimit> limits_from_json(const json& list) {
  std::vector<relay::KeyedLimit> limits;
  for (const json& entry : list) {
    limits.push_back({to_integer<relay::EngineKey>(entry.at(0)), limit_at(entry, 1)});
  }
  return limits;
}

json notices_to_json(const std::vector<relay::KeyedStageNotice>& notices) {
  json list = json::array();
  for (const relay::KeyedStageNotice& keyed : notices) {
    json entry = json::array({keyed.engine});
    append_notice(entry, keyed.notice);
    list.push_back(std::move(entry));
  }
  return list;
}

std::vector<relay::KeyedStageNotice> notices_from_json(const json& list) {
  std::vector<relay::KeyedStageNotice> notices;
  for (const json& entry : list) {
    notices.push_back({to_integer<relay::EngineKey>(entry.at(0)), notice_in(entry)});
  }
  return notices;
}

json samples_to_json(const relay::SamplesByKey& samples) {
  json list = json::array();
  for (const auto& [engine, sums] : samples) {
    json entry = json::array({engine});
    append_samples(entry, sums);
    list.push_back(std::move(entry));
  }
  return list;
}

relay::SamplesByKey samples_from_json(const json& list) {
  relay::SamplesByKey samples;
  for (const json& entry : list)
    samples[to_integer<relay::EngineKey>(entry.at(0))] += samples_in(entry);
  return samples;
}

/// Lists that are usually empty come last, so that they can be omitted.
json updates_to_json(const relay::EngineUpdates& updates) {
  constexpr std::size_t kRequiredLists = 3;
  json lists = {reads_to_json(updates.reads),
                troubles_to_json(updates.troubles),
                to_json(updates.crashes),
                limits_to_json(updates.limits),
                notices_to_json(updates.stage_notices),
                samples_to_json(updates.samples),
                served_to_json(updates.served)};
  while (lists.size() > kRequiredLists && lists.back().empty()) lists.erase(lists.size() - 1);
  return lists;
}

relay::EngineUpdates updates_from_json(const json& lists) {
  relay::EngineUpdates updates;
  updates.reads = reads_from_json(lists.at(0));
  updates.troubles = troubles_from_json(lists.at(1));
  // Earlier versions omit these lists.
  if (lists.size() > 2) updates.crashes = crash_reports_from_json(lists.at(2));
  if (lists.size() > 3) updates.limits = limits_from_json(lists.at(3));
  if (lists.size() > 4) updates.stage_notices = notices_from_json(lists.at(4));
  if (lists.size() > 5) updates.samples = samples_from_json(lists.at(5));
  if (lists.size() > 6) updates.served = served_from_json(lists.at(6));
  return updates;
}

std::string encode(const LoadDigest& digest) {
  const json document = {digest.collector.value(),
                         digest.number.boot,
                         digest.number.sequence,
                         digest.zone.value(),
                         digest.node_count,
                         {digest.range.first, digest.range.last},
                         load_to_json(digest.range.load),
                         updates_to_json(digest.updates),
                         {digest.revisions.configuration, digest.revisions.engines},
                         digest.store_age_ms};
  std::string bytes;
  json::to_msgpack(document, bytes);
  return bytes;
}

/// Splits a digest into messages that hold the load first and then the updates.
class Splitter {
 public:
  explicit Splitter(const LoadDigest& own_whole) : whole(own_whole) {
    this->part = this->empty_part();
  }

  std::vector<std::string> split() {
    for (const auto& [key, work] : this->whole.range.load) this->add_load(key, work);
    this->part.range.last = this->whole.range.last;
    for (const relay::KeyedRead& read : this->whole.updates.reads) this->add_read(read);
    for (const relay::KeyedTrouble& trouble : this->whole.updates.troubles)
      this->add_trouble(trouble);
    for (const relay::CrashReport& crash : this->whole.updates.crashes) this->add_crash(crash);
    for (const relay::KeyedLimit& limit : this->whole.updates.limits) this->add_limit(limit);
    for (const relay::KeyedStageNotice& notice : this->whole.updates.stage_notices)
      this->add_notice(notice);
    for (const auto& [engine, samples] : this->whole.updates.samples)
      this->add_samples(engine, samples);
    for (const auto& [tenant, tokens] : this->whole.updates.served)
      this->add_served(tenant, tokens);
    this->parts.push_back(encode(this->part));
    return std::move(this->parts);
  }

 private:
  LoadDigest empty_part() const {
    LoadDigest digest = this->whole;
    digest.range.load.clear();
    digest.updates = {};
    return digest;
  }

  /// Counts `added_bytes` towards the current message, or towards a new one if it is full.
  /// @return whether a new message has to begin.
  bool overflows(std::size_t added_bytes) {
    constexpr std::size_t kCapacity = kMaxLoadMessage - kMaxHeaderBytes - kSequenceBytes;
    const bool is_new_part = this->bytes > 0 && this->bytes + added_bytes > kCapacity;
    this->bytes = is_new_part ? added_bytes : this->bytes + added_bytes;
    return is_new_part;
  }

  void add_load(relay::EngineKey key, const relay::PeerLoad& work) {
    if (this->overflows(packed_size(work))) {
      this->part.range.last = key - 1;
      this->parts.push_back(encode(this->part));
      this->part = this->empty_part();
      this->part.range.first = key;
    }
    this->part.range.load[key] = work;
  }

  /// A message that holds only updates covers an empty range of engines.
  void begin_updates_part() {
    this->parts.push_back(encode(this->part));
    this->part = this->empty_part();
    this->part.range.first = 1;
    this->part.range.last = 0;
  }

  void add_read(const relay::KeyedRead& read) {
    if (this->overflows(packed_size(read))) this->begin_updates_part();
    this->part.updates.reads.push_back(read);
  }

  void add_trouble(const relay::KeyedTrouble& trouble) {
    if (this->overflows(kMaxTroubleBytes)) this->begin_updates_part();
    this->part.updates.troubles.push_back(trouble);
  }

  void add_crash(const relay::CrashReport& crash) {
    if (this->overflows(kMaxCrashReportBytes)) this->begin_updates_part();
    this->part.updates.crashes.push_back(crash);
  }

  void add_limit(const relay::KeyedLimit& limit) {
    if (this->overflows(kMaxLimitBytes)) this->begin_updates_part();
    this->part.updates.limits.push_back(limit);
  }

  void add_notice(const relay::KeyedStageNotice& notice) {
    if (this->overflows(kMaxStageNoticeBytes)) this->begin_updates_part();
    this->part.updates.stage_notices.push_back(notice);
  }

  void add_samples(relay::EngineKey engine, const relay::EngineSamples& samples) {
    if (this->overflows(kMaxSamplesBytes)) this->begin_updates_part();
    this->part.updates.samples[engine] = samples;
  }

  void add_served(const TenantName& tenant, std::uint64_t tokens) {
    if (this->overflows(max_served_bytes(tenant))) this->begin_updates_part();
    this->part.updates.served[tenant] = tokens;
  }

  const LoadDigest& whole;
  LoadDigest part;
  std::size_t bytes = 0;
  std::vector<std::string> parts;
};

}  // namespace

std::uint32_t to_age_ms(MonotonicTime now, MonotonicTime confirmed_at) {
  if (confirmed_at == MonotonicTime{}) return kNeverConfirmed;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - confirmed_at).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, kNeverConfirmed - 1));
}

MonotonicTime from_age_ms(MonotonicTime now, std::uint32_t age_ms) {
  return age_ms == kNeverConfirmed ? MonotonicTime{} : now - std::chrono::milliseconds(age_ms);
}

std::vector<std::string> encode_parts(const LoadDigest& whole) {
  return Splitter(whole).split();
}

std::string encode_view(std::uint64_t last_sequence, std::string_view digest) {
  std::string bytes(1, kViewMark);
  for (std::size_t i = 0; i < kSequenceBytes; ++i) {
    bytes += static_cast<char>(last_sequence >> (8 * (kSequenceBytes - 1 - i)));
  }
  bytes += digest;
  return bytes;
}

bool is_view(std::string_view bytes) {
  return !bytes.empty() && bytes.front() == kViewMark;
}

bool is_digest(std::string_view bytes) {
  return !bytes.empty() && bytes.front() == kDigestMark;
}

tl::expected<LoadDigest, std::string> decode_digest(std::string_view bytes) {
  try {
    const json document = msgpack_document(bytes);
    LoadDigest digest;
    digest.collector = NodeId(document.at(0).get<std::string>());
    digest.number = {to_integer<std::uint64_t>(document.at(1)),
                     to_integer<std::uint64_t>(document.at(2))};
    digest.zone = ZoneName(document.at(3).get<std::string>());
    digest.node_count = to_integer<std::size_t>(document.at(4));
    digest.range.first = to_integer<relay::EngineKey>(document.at(5).at(0));
    digest.range.last = to_integer<relay::EngineKey>(document.at(5).at(1));
    digest.range.load = load_from_json(document.at(6));
    digest.updates = updates_from_json(document.at(7));
    digest.revisions = {to_integer<std::uint64_t>(document.at(8).at(0)),
                        to_integer<std::uint64_t>(document.at(8).at(1))};
    digest.store_age_ms = to_integer<std::uint32_t>(document.at(9));
    return digest;
  } catch (const json::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

tl::expected<FleetView, std::string> decode_view(std::string_view bytes) {
  if (!is_view(bytes) || bytes.size() <= 1 + kSequenceBytes) {
    return tl::make_unexpected(std::string("too short for a view"));
  }
  FleetView view;
  for (std::size_t i = 0; i < kSequenceBytes; ++i) {
    view.last_sequence = (view.last_sequence << 8U) | static_cast<unsigned char>(bytes[1 + i]);
  }
  auto digest = decode_digest(bytes.substr(1 + kSequenceBytes));
  if (!digest) return tl::make_unexpected(digest.error());
  view.digest = std::move(*digest);
  return view;
}

}  // namespace shuntbank
