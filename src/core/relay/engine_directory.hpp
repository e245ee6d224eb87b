/// @file
/// What a node believes of the engines: their declared records, the load that they report on
/// answers, what this node has under way at each, and what their caches hold.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/relay/engine_limit.hpp"
#include "core/relay/engine_model.hpp"
#include "core/relay/engine_notice.hpp"
#include "core/relay/engine_stage.hpp"
#include "core/relay/engine_trouble.hpp"
#include "core/relay/peer_load.hpp"
#include "core/relay/prompt_cache_view.hpp"

namespace shuntbank::relay {

/// An engine as it is registered. One record is one start of an engine: all that is believed of an
/// engine hangs on `id`, so that nothing of one start is taken for the next.
struct EngineRecord {
  EngineId id;       ///< Of this start; see `start_id`.
  std::string name;  ///< What the engine calls itself, at each start; empty: as `id`.
  std::uint64_t started_unix_ms = 0;  ///< By the engine's clock; a later start has a later time.
  ServiceName service;
  std::string address;  ///< IP:PORT
  ZoneName zone;
  std::uint32_t slots = 1;
  bool draining = false;
  bool spot = false;  ///< Cheap, and may be taken back at any time.
  EngineStage stage = EngineStage::kNone;

  /// @return what the engine is told that it should be.
  const std::string& own_name() const { return this->name.empty() ? this->id.value() : this->name; }

  bool operator==(const EngineRecord&) const = default;
};

/// @return the id of one start of an engine: its name alone where it does not tell when it started.
EngineId start_id(const std::string& name, std::uint64_t started_unix_ms);

/// Load that an engine reported with an answer.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// What an attempt gives an engine to read.
struct PromptWork {
  std::uint64_t unread_tokens = 0;
  bool deferred = false;  ///< Behind all prompts that can still be answered in time.

  bool operator==(const PromptWork&) const = default;
};

/// A prompt that an engine has read.
struct PromptRead {
  EngineId engine;
  std::vector<PromptPart> parts;
};

/// One engine as this node sees it.
struct EngineView {
  EngineRecord record;
  EngineKey key = 0;                  ///< Its name in sums of load.
  std::uint32_t in_flight = 0;        ///< Sent by this node and not ended.
  std::uint64_t unread_tokens = 0;    ///< Of this node's requests, still to be read there.
  std::uint64_t deferred_tokens = 0;  ///< Of `unread_tokens`: behind all that can be in time.
  std::optional<ReportedLoad> load;   ///< The last report.
  MonotonicTime load_at{};
  std::uint32_t in_flight_at_report = 0;
  std::optional<PeerLoad> peers;  ///< Of all other nodes; unset while none is heard.
  PeerLoad heard;                 ///< Sum of what the other nodes have told.
  std::uint32_t failures_in_a_row = 0;
  std::uint32_t refusals_in_a_row = 0;
  MonotonicTime avoided_until{};  ///< Not chosen before, while others can be.
  /// It has asked this node for rest until then. Unlike `avoided_until` this is no guess, and holds
  /// also where no other engine can be chosen.
  MonotonicTime rests_until{};
  /// When it takes a request next, as far as this node knows, where it has named how many a second
  /// it takes from all nodes together; unset where it takes what it gets.
  std::optional<MonotonicTime> next_permit_at;
  bool ended = false;         ///< Nobody listens at its address any more.
  MonotonicTime last_good{};  ///< The last attempt that ended well.
  double failure_share = 0;   ///< Moving average over ended attempts, 0 to 1.
  double latency_ms = 0;      ///< Moving average of the time to an answer; 0: unknown.
  PromptCacheView cache;
  std::uint64_t memory_tokens = 0;  ///< For running requests and cached parts; 0: unknown.
  double pace_ms = 0;               ///< Moving average of the time between events of its streams.
  MonotonicTime pace_at{};          ///< The last event that `pace_ms` counts.

  /// @return whether it may be sent requests, as far as the engine itself has a say in it.
  bool takes_requests(MonotonicTime now) const { return !record.draining && rests_until <= now; }

  /// @return how long a request that is sent there has to wait for its permit, as far as this node
  /// knows.
  Duration permit_wait(MonotonicTime now) const {
    return next_permit_at ? std::max(Duration::zero(), *next_permit_at - now) : Duration::zero();
  }

  /// @return requests of other nodes that run or wait there, as far as this node can tell: what
  /// they tell themselves, or else what the engine reported.
  double others_there(MonotonicTime now) const;

  /// @return requests that run or wait there, as far as this node can tell.
  double requests_there(MonotonicTime now) const { return in_flight + others_there(now); }

  /// @return milliseconds between the events of streams there now, or `fallback` where this node
  /// has seen none lately.
  double recent_pace_ms(MonotonicTime now, double fallback) const;
};

/// How an attempt ended, as far as it tells of the engine's health.
enum class AttemptHealth {
  kGood,
  kBusy,
  kFailed,
  kUnreachable,
  kHandleRefused,  ///< The engine did not take up a prompt that was read elsewhere.
  kMisdirected,    ///< Another start of an engine has the address, or the engine has another stage.
};

/// @return whether an engine is one of these; null: of none.
bool listed(const std::vector<EngineId>* engines, const EngineId& id);

/// All engines that this node knows.
class EngineDirectory {
 public:
  /// @param seed tells this node from others; see `longer_by_lot`.
  explicit EngineDirectory(std::uint64_t seed = 0) : seed_(seed) {}

  /// Takes the whole list. Engines that are not in it are forgotten.
  /// @return addresses of engines that are gone.
  std::vector<std::string> replace_all(const std::vector<EngineRecord>& records);

  /// Takes one record, unless a later start of the engine has been known. Forgets what was known of
  /// an earlier start.
  void upsert(const EngineRecord& record);

  /// @return whether the record is of an earlier start than one that has been known.
  bool outdated(const EngineRecord& record) const;

  /// @return the start that a record in a list stands for: an old list names the engine, if not the
  /// start of it that is known.
  const EngineId& start_named_by(const EngineRecord& record) const;

  /// @return the start that is known of the engine which calls itself so, or null.
  const EngineView* find_named(const std::string& name) const;

  /// Forgets an engine. @return its address, or empty text.
  std::string remove(const EngineId& id);

  EngineView* find(const EngineId& id);
  const EngineView* find(const EngineId& id) const;

  /// @return the engines of a service in order of their ids. Valid until the next change.
  std::vector<EngineView*> of_service(const ServiceName& service);

  std::size_t size() const { return engines_.size(); }
  const std::map<EngineId, EngineView>& all() const { return engines_; }

  /// Learns the memory of an engine, in tokens.
  void set_memory(const EngineId& id, std::uint64_t tokens);

  /// An attempt was sent. @param work that the engine has to do before its first token.
  void on_sent(const EngineId& id, const PromptWork& work);

  /// The engine has begun to answer, so that its prompt has been read.
  void on_read(const EngineId& id, const PromptWork& work);

  /// An attempt has ended.
  void on_ended(const EngineId& id);

  /// Load came with an answer.
  void on_load(MonotonicTime now, const EngineId& id, const ReportedLoad& load);

  /// Another node told all that it has under way.
  void on_peer_load(MonotonicTime now, const NodeId& peer, std::map<EngineId, PeerLoad> load);

  /// What all nodes have under way at some engines, as a collector has summed it up. While such
  /// sums come, they stand for what single nodes tell.
  /// @param own_counted this node's own work in the sum.
  void on_fleet_load(MonotonicTime now, const LoadRange& part, const LoadByKey& own_counted);

  /// Sets how old what all nodes see at the same moment may be: other nodes choose on the same view
  /// meanwhile. Zero where each node hears the others one by one.
  void set_shared_view_age(Duration age) { shared_view_age_ = age; }
  Duration shared_view_age() const { return shared_view_age_; }

  /// Forgets nodes, and sums of the fleet, that were not heard of for a while.
  void forget_silent_peers(MonotonicTime now);

  /// @return the engine of a key, or null.
  EngineView* find_by_key(EngineKey key);

  /// @return what this node has under way, by engine; engines without any are left out.
  std::map<EngineId, PeerLoad> own_load() const;

  /// Learns from the end of an attempt.
  void on_health(MonotonicTime now, const EngineId& id, AttemptHealth health);

  /// An engine has said that it leaves, whether it is known by its entry now or not.
  /// @return whether that is news.
  bool on_leaving(const EngineId& id);

  /// An engine wants no request of this node for so long.
  void on_rest(MonotonicTime now, const EngineId& id, Duration rest);

  const EngineNotices& notices() const { return notices_; }

  /// An engine's word on how many requests a second it takes from all nodes together has come, from
  /// itself or by another node. @return whether its limit has changed.
  bool on_limit(const EngineId& id, const HeardLimit& heard);

  /// Sets when a limited engine takes a request next.
  void on_next_permit(const EngineId& id, MonotonicTime at);

  const EngineLimits& limits() const { return limits_; }

  /// @return when the first of the engines of a service that can answer takes requests again, where
  /// all of them rest or wait for permits; nothing where one takes them now, or all leave. @param
  /// except these engines.
  std::optional<MonotonicTime> first_return(MonotonicTime now, const ServiceName& service,
                                            const std::vector<EngineId>* except = nullptr) const;

  /// Another node has met trouble at an engine.
  void on_peer_trouble(MonotonicTime now, const EngineTrouble& trouble);

  /// @return the moving average of the tokens that a prompt read apart leaves to be read.
  double usual_unread_tokens() const { return usual_unread_tokens_; }

  /// Learns from a prompt that is sent to be read apart.
  void on_prompt_sent(std::uint64_t unread);

  /// @return what work costs at the engines of a service.
  const EngineModel& model_of(const ServiceName& service) const;
  EngineModel& model_of(const ServiceName& service) { return models_[service]; }

  /// Learns from the time between two events of a stream.
  void on_event_gap(MonotonicTime now, const EngineId& id, Duration gap);

  /// Learns the time to an answer of a plain request.
  void on_latency(const EngineId& id, Duration latency);

 private:
  /// What one node told last.
  struct Peer {
    MonotonicTime heard_at{};
    std::map<EngineId, PeerLoad> load;
  };
  /// The latest start that was known of one engine.
  struct LatestStart {
    EngineId id;
    std::uint64_t started_unix_ms = 0;
  };
  void note_start(const EngineRecord& record);
  void forget_oldest_names();
  void add_to_peers(const std::map<EngineId, PeerLoad>& load, bool subtract);
  void show_peers(EngineView& engine) const;
  void forget_key(const EngineView& engine);
  Duration longer_by_lot(Duration shortest, const EngineId& engine);
  void show_all_peers();

  std::uint64_t seed_;
  std::uint64_t lots_drawn_ = 0;
  Duration shared_view_age_ = Duration::zero();
  std::map<EngineId, EngineView> engines_;
  std::multimap<EngineKey, EngineView*> by_key_;  ///< In order, as the parts of sums are.
  /// The latest start of each engine that was known, by name, also of those that are gone.
  std::unordered_map<std::string, LatestStart> latest_;
  std::deque<std::string> latest_order_;
  EngineNotices notices_;
  EngineLimits limits_;
  std::map<NodeId, Peer> peers_;
  std::optional<MonotonicTime> fleet_load_at_;  ///< The last sum of the fleet, while it is fresh.
  double usual_unread_tokens_ = 2000;
  std::map<ServiceName, EngineModel> models_;
};

}  // namespace shuntbank::relay
