/// @file
/// A node's view of the engines: registered records, reported load, requests in flight and cache
/// contents.
#pragma once

#include <algorithm>
#include <cstdint>
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
#include "core/relay/engine_profile.hpp"
#include "core/relay/engine_samples.hpp"
#include "core/relay/engine_stage.hpp"
#include "core/relay/engine_trouble.hpp"
#include "core/relay/incarnation_index.hpp"
#include "core/relay/peer_load.hpp"
#include "core/relay/prompt_cache_view.hpp"
#include "core/relay/stage_notice.hpp"

namespace shuntbank::relay {

/// The registration of one engine incarnation. All state is keyed by `id`, so that none carries
/// over when the engine restarts.
struct EngineRecord {
  EngineId id;                        ///< Of this incarnation; see `incarnation_id`.
  std::string name;                   ///< Stable across restarts; empty: same as `id`.
  std::uint64_t started_unix_ms = 0;  ///< By the engine's clock; increases with each restart.
  ServiceName service;
  std::string address;  ///< IP:PORT
  ZoneName zone;
  std::uint32_t slots = 1;
  bool draining = false;
  bool spot = false;  ///< On a preemptible machine.
  EngineStage stage = EngineStage::kNone;
  std::string software_version;  ///< Not of the weights; empty: unknown.

  /// @return the version that a stream is bound to once this engine has sent its first event. An
  /// unknown version is equal to that of no other engine.
  std::string stream_version() const {
    return this->software_version.empty() ? "engine " + this->id.value() : this->software_version;
  }

  bool has_stream_version(const std::string& version) const {
    return this->software_version.empty() ? this->stream_version() == version
                                          : this->software_version == version;
  }

  /// @return the name by which requests address the engine.
  const std::string& own_name() const { return this->name.empty() ? this->id.value() : this->name; }

  bool operator==(const EngineRecord&) const = default;
};

/// @return the id of an engine incarnation; the name alone if the start time is unknown (0).
EngineId incarnation_id(const std::string& name, std::uint64_t started_unix_ms);

/// Load that an engine reported with an answer.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes there at this moment, in percent of the usual; 0: not reported.
  std::uint32_t slowdown = 0;
};

/// Prefill work that an attempt causes at an engine.
struct PromptWork {
  std::uint64_t prefill_tokens = 0;
  bool deferred = false;  ///< Queued behind all prompts that can meet their deadlines.

  bool operator==(const PromptWork&) const = default;
};

/// A prompt that an engine has prefilled.
struct PromptRead {
  EngineId engine;
  std::vector<PromptPart> parts;
  /// Tokens of the prompt that no other request shares; they take memory as well.
  std::uint64_t unshared_tokens = 0;
};

/// One engine as this node sees it.
struct EngineView {
  EngineRecord record;
  EngineKey key = 0;                  ///< Its key in load sums.
  std::uint32_t in_flight = 0;        ///< Attempts of this node.
  std::uint64_t prefill_tokens = 0;   ///< Pending prefill of this node's requests.
  std::uint64_t deferred_tokens = 0;  ///< Deferred part of `prefill_tokens`.
  std::optional<ReportedLoad> load;   ///< The last report.
  MonotonicTime load_at{};
  std::uint32_t in_flight_at_report = 0;
  std::optional<PeerLoad> peer_load;  ///< Of all other nodes; unset while none reports.
  EngineProfile profile;              ///< From the samples of all nodes.
  PeerLoad reported_peer_load;        ///< Sum of the other nodes' own reports.
  std::uint32_t consecutive_failures = 0;
  std::uint32_t consecutive_refusals = 0;
  MonotonicTime backoff_until{};  ///< Set after failures: not chosen while others can be.
  /// Requested by the engine. Unlike `backoff_until`, applies even if no other engine can be
  /// chosen.
  MonotonicTime cooldown_until{};
  /// When a rate-limited engine accepts its next request, as far as this node knows; unset if it is
  /// unlimited.
  std::optional<MonotonicTime> next_permit_at;
  bool terminated = false;          ///< Nothing listens at its address any more.
  MonotonicTime last_success_at{};  ///< The last successful attempt.
  double failure_rate = 0;          ///< Moving average over finished attempts, 0 to 1.
  double latency_ms = 0;            ///< Moving average of the time to an answer; 0: unknown.
  PromptCacheView cache;
  std::uint64_t memory_tokens = 0;    ///< For running requests and cached parts; 0: unknown.
  double event_interval_ms = 0;       ///< Moving average of the time between stream events.
  MonotonicTime event_interval_at{};  ///< When `event_interval_ms` was last updated.
  std::optional<ReceivedStageNotice> stage_notice;  ///< The last one, possibly expired.

  /// @return whether it is neither draining nor in cooldown.
  bool accepts_requests(MonotonicTime now) const {
    return !record.draining && cooldown_until <= now;
  }

  /// @return whether a change from this stage is announced.
  bool leaves_stage(MonotonicTime now, EngineStage stage) const {
    return stage_notice && stage_notice->valid_until > now && stage != EngineStage::kNone &&
           stage_notice->stage != stage;
  }

  /// @return whether it is about to leave its stage, so that new work of this stage is likely to be
  /// refused there.
  bool leaves_stage(MonotonicTime now) const { return leaves_stage(now, record.stage); }

  /// @return how long a request has to wait for a permit, as far as this node knows.
  Duration permit_wait(MonotonicTime now) const {
    return next_permit_at ? std::max(Duration::zero(), *next_permit_at - now) : Duration::zero();
  }

  /// @return estimated requests of other nodes that run or wait there: from the nodes' own reports,
  /// or else from the engine's.
  double peer_requests(MonotonicTime now) const;

  /// @return whether other nodes report requests in flight there, so that they reach it.
  bool used_by_peers() const { return peer_load && peer_load->in_flight > 0; }

  /// @return estimated requests of all nodes that run or wait there.
  double total_requests(MonotonicTime now) const { return in_flight + peer_requests(now); }

  /// @return its known requests relative to its slots.
  Occupancy occupancy(MonotonicTime now) const {
    return {total_requests(now), static_cast<double>(record.slots)};
  }

  /// @return milliseconds between stream events, or `fallback` if this node has no recent sample.
  double recent_event_interval_ms(MonotonicTime now, double fallback) const;

  /// @return expected milliseconds between stream events: recent ones, or else by the profile.
  /// @param service_ms of a usual engine of the service.
  double expected_event_interval_ms(MonotonicTime now, double service_ms) const {
    return recent_event_interval_ms(now,
                                    service_ms * profile.pace_factor() * profile.slowdown(now));
  }

  /// @return prefill time at present relative to the service's model.
  double present_prefill_factor(MonotonicTime now) const {
    return profile.prefill_factor() * profile.slowdown(now);
  }
};

/// Result of an attempt with regard to the engine's health.
enum class AttemptHealth {
  kGood,
  kBusy,
  kFailed,
  kUnreachable,
  kHandleRefused,  ///< A decode engine rejected the handle of a prefilled prompt.
  kMisdirected,    ///< The address serves another incarnation, or the engine's stage differs.
};

/// @return whether the list contains the engine; null counts as empty.
bool listed(const std::vector<EngineId>* engines, const EngineId& id);

/// All engines that this node knows.
class EngineDirectory {
 public:
  /// @param seed differs between nodes; see `add_jitter`.
  explicit EngineDirectory(std::uint64_t seed = 0) : seed_(seed) {}

  /// Replaces the whole list. Engines that are not in it are removed.
  /// @return addresses of the removed engines.
  std::vector<std::string> replace_all(const std::vector<EngineRecord>& records);

  /// Adds or updates one record, unless a later incarnation has been seen. Removes the previous
  /// incarnation.
  void upsert(const EngineRecord& record);

  /// @return whether a later incarnation of the engine has been seen.
  bool outdated(const EngineRecord& record) const;

  /// @return the id of the engine's latest incarnation, even if the record is of an earlier one.
  const EngineId& current_id(const EngineRecord& record) const;

  /// @return the latest incarnation of the engine with this name, or null.
  const EngineView* find_by_name(const std::string& name) const;

  /// Removes an engine. @return its address, or an empty string.
  std::string remove(const EngineId& id);

  EngineView* find(const EngineId& id);
  const EngineView* find(const EngineId& id) const;

  /// @return the engines of a service, ordered by id. Valid until the next change.
  const std::vector<EngineView*>& find_by_service(const ServiceName& service) const;

  /// @return up to `count` different engines, drawn with this random number. The cost does not grow
  /// with the number of engines.
  std::vector<const EngineView*> sample(std::size_t count, std::uint64_t random) const;

  std::size_t size() const { return engines_.size(); }
  const std::map<EngineId, EngineView>& all() const { return engines_; }

  /// Sets the memory of each engine of a service, in tokens, also of engines that join later.
  void set_memory(const ServiceName& service, std::uint64_t tokens);

  /// An attempt was sent. @param work before the engine's first token.
  void on_attempt_sent(const EngineId& id, const PromptWork& work);

  /// The engine has begun to answer, so the prefill is complete.
  void on_prompt_read(const EngineId& id, const PromptWork& work);

  void on_attempt_ended(const EngineId& id);

  /// An answer carried the engine's load.
  void on_load(MonotonicTime now, const EngineId& id, const ReportedLoad& load);

  /// Replaces the load that another node reports for all engines.
  void on_peer_load(MonotonicTime now, const NodeId& peer, std::map<EngineId, PeerLoad> load);

  /// Sets the load of all nodes at a range of engines, as summed by a collector. While such sums
  /// arrive, they take precedence over reports of single nodes.
  /// @param own_counted this node's own share of the sum.
  void on_fleet_load(MonotonicTime now, const LoadRange& range, const LoadByKey& own_counted);

  /// Sets the maximum age of the load view that all nodes share and choose by meanwhile. Zero if
  /// nodes receive each other's reports directly.
  void set_shared_view_age(Duration age) { shared_view_age_ = age; }
  Duration shared_view_age() const { return shared_view_age_; }

  /// Drops load reports and fleet sums that were not renewed in time, and lets engine profiles
  /// forget. Call about once a second.
  void expire_peer_load(MonotonicTime now);

  /// @return the engine with this key, or null.
  EngineView* find_by_key(EngineKey key);

  /// @return this node's own load by engine; idle engines are omitted.
  std::map<EngineId, PeerLoad> own_load() const;

  /// Updates health and backoff after an attempt.
  void on_attempt_health(MonotonicTime now, const EngineId& id, AttemptHealth health);

  /// Marks an engine as draining, even if it has no record.
  /// @return whether it was not marked before.
  bool on_draining(const EngineId& id);

  /// Starts a cooldown that an engine requested.
  void on_cooldown(MonotonicTime now, const EngineId& id, Duration cooldown);

  const EngineNotices& notices() const { return notices_; }

  /// Applies an engine's rate limit, received from the engine or another node.
  /// @return whether the limit has changed.
  bool on_limit(const EngineId& id, const ObservedLimit& limit);

  /// Sets when a rate-limited engine accepts its next request.
  void on_next_permit(const EngineId& id, MonotonicTime at);

  const EngineLimits& limits() const { return limits_; }

  /// Applies a notice of an upcoming stage change, unless it is of an earlier lease than the last.
  /// A notice of an engine without a record is kept until the record arrives or it expires.
  void on_stage_notice(MonotonicTime now, const EngineId& id, const StageNotice& notice);
  void on_stage_notice(MonotonicTime now, EngineKey key, const StageNotice& notice);

  /// @return whether a refusal of work that was sent for `stage` is due to an announced stage
  /// change, and thus no sign of poor health.
  bool refusal_announced(MonotonicTime now, const EngineId& id, EngineStage stage) const;

  /// Adds observations of this node or another one.
  void on_samples(MonotonicTime now, const EngineId& id, const EngineSamples& samples);

  /// @return when the first engine of a service that can answer accepts requests again; unset if
  /// one accepts them now or all are draining. @param except engines to leave out.
  /// @param stream_version the only one to consider; null: all.
  std::optional<MonotonicTime> next_available_at(MonotonicTime now, const ServiceName& service,
                                                 const std::vector<EngineId>* except = nullptr,
                                                 const std::string* stream_version = nullptr) const;

  /// Applies a problem that another node reports.
  void on_peer_trouble(MonotonicTime now, const EngineTrouble& trouble);

  /// @return the moving average of the tokens that a remote prefill has to process.
  double average_prefill_tokens() const { return average_prefill_tokens_; }

  /// Updates `average_prefill_tokens` when a remote prefill is sent.
  void on_prompt_sent(std::uint64_t prefill_tokens);

  /// @return the cost model for the engines of a service.
  const EngineModel& model_of(const ServiceName& service) const;
  EngineModel& model_of(const ServiceName& service) { return models_[service]; }

  /// Updates the average time between two events of a stream.
  void on_event_interval(MonotonicTime now, const EngineId& id, Duration interval);

  /// Updates the average time to an answer of a plain request.
  void on_latency(const EngineId& id, Duration latency);

 private:
  /// The last load report of one node.
  struct Peer {
    MonotonicTime last_report_at{};
    std::map<EngineId, PeerLoad> load;
  };
  void keep_unlisted_notice(MonotonicTime now, EngineKey key, const StageNotice& notice);
  void record_incarnation(const EngineRecord& record);
  void apply_peer_load(const std::map<EngineId, PeerLoad>& load, bool subtract);
  void update_peer_load(EngineView& engine) const;
  void add_to_indexes(EngineView& engine);
  void remove_from_indexes(EngineView& engine);
  void add_to_service(EngineView& engine);
  void remove_from_service(EngineView& engine);
  Duration add_jitter(Duration base, const EngineId& engine);
  void update_all_peer_loads();
  void update_profiles(MonotonicTime now);

  std::uint64_t seed_;
  std::uint64_t jitter_draws_ = 0;
  Duration shared_view_age_ = Duration::zero();
  std::map<EngineId, EngineView> engines_;
  std::multimap<EngineKey, EngineView*> by_key_;  ///< Sorted, as load sums cover ranges of keys.
  std::map<ServiceName, std::vector<EngineView*>> by_service_;  ///< Each ordered by engine id.
  IncarnationIndex incarnations_;
  EngineNotices notices_;
  EngineLimits limits_;
  std::map<EngineKey, ReceivedStageNotice> unlisted_notices_;  ///< Of engines without a record.
  std::map<NodeId, Peer> peers_;
  std::optional<MonotonicTime> fleet_load_at_;  ///< The last fleet sum; unset once expired.
  double average_prefill_tokens_ = 2000;
  std::map<ServiceName, EngineModel> models_;
  std::map<ServiceName, std::uint64_t> memory_tokens_;     ///< Of one engine, by service.
  std::map<ServiceName, EngineProfile> service_profiles_;  ///< Of all engines together.
  MonotonicTime profiles_updated_at_{};
};

}  // namespace shuntbank::relay
