#include "relay/load_exchange.hpp"

#include <algorithm>
#include <utility>

#include "common/hash.hpp"
#include "common/log.hpp"
#include "protocol/usage_message.hpp"

namespace shuntbank::relay {
namespace {

/// Stage notices in one message: about 400 bytes, which leaves room for the load. The others follow
/// with the next flush.
constexpr std::size_t kMaxStageNotices = 12;

PeerRecord own_record(const PeerTransport& transport, const LoadExchangeSettings& settings) {
  return {transport.local_address(), settings.zone, settings.capacity};
}

/// A node that joins a running system lists its peers immediately.
PeerDirectorySettings directory_settings(const LoadExchangeSettings& settings) {
  PeerDirectorySettings peers = settings.peers;
  if (settings.join_existing) peers.initial_list_delay = Duration::zero();
  return peers;
}

}  // namespace

LoadExchange::LoadExchange(Runtime& runtime, store::ObjectStore& store, PeerTransport& transport,
                           RelayNode& node, const std::string& self,
                           const LoadExchangeSettings& settings)
    : runtime_(runtime),
      transport_(transport),
      node_(node),
      self_(self),
      settings_(settings),
      boot_(random_number(runtime)),
      peers_(runtime, store, self_, own_record(transport, settings), directory_settings(settings),
             [this] { update_fleet(); }),
      reaper_(runtime, transport, peers_, settings.liveness),
      zones_(runtime, transport, node, peers_, boot_, settings.zones),
      configurations_(runtime, transport, peers_, zones_, settings.configurations),
      engine_lists_(runtime, transport, peers_, zones_, settings.configurations.first_byte_timeout),
      permits_(transport, peers_, node.permits(), node.quotas(),
               [this] { return live_fraction(); }) {
  node_.streams().connect(transport, peers_);
  transport_.set_handlers(
      [this](std::string_view bytes, const std::string&) { on_message(bytes); },
      [this](const std::string& call, const std::function<void(std::string)>& reply) {
        reply(answer(call));
      });
  node_.on_load_changed([this] { schedule_flush(); });
  zones_.connect(
      [this](const CatalogRevisions& seen) {
        if (on_revisions_) on_revisions_(seen);
      },
      [this] { flush(); });
  if (settings.join_existing) {
    pulls_left_ = settings.max_pulls;
    pull_timer_ = runtime.after(settings.pull_interval, [this] { pull_cache_snapshot(); });
  }
  refresh_timer_ =
      std::make_unique<Periodic>(runtime, settings.refresh_interval, [this] { refresh(); });
}

LoadExchange::~LoadExchange() {
  *alive_ = false;
  // The node outlives this object and completes its requests.
  node_.on_load_changed(nullptr);
  node_.permits().disconnect();
  node_.quotas().disconnect();
  node_.streams().disconnect();
}

/// Idle nodes send messages too, as silent peers are considered dead.
void LoadExchange::refresh() {
  node_.engines().expire_peer_load(runtime_.now());
  flush();
}

void LoadExchange::update_fleet() {
  if (uses_zones()) {
    zones_.start();
  } else {
    zones_.stop();
  }
  node_.paths().peers().set_nodes(peers_.nodes(), self_);
  if (uses_zones()) node_.paths().peers().expect_no_messages();
  node_.set_fleet({node_count(), rank()});
  std::erase_if(peer_states_, [this](const auto& peer) { return !peers_.is_peer(peer.first); });
  reaper_.update_nodes();
  permits_.update_nodes();
}

double LoadExchange::live_fraction() const {
  const MonotonicTime now = runtime_.now();
  const Duration timeout = settings_.zones.collector.member_timeout;
  std::size_t live = 1;
  if (uses_zones()) {
    if (now - zones_.last_view_at() <= timeout) live = std::max(live, zones_.view_node_count());
  } else {
    live += static_cast<std::size_t>(
        std::count_if(peer_states_.begin(), peer_states_.end(),
                      [&](const auto& peer) { return now - peer.second.received_at <= timeout; }));
  }
  return std::min(1.0, static_cast<double>(live) / static_cast<double>(node_count()));
}

std::size_t LoadExchange::rank() const {
  const std::uint64_t own_hash = hash64(self_.value());
  const PeerRecords& nodes = peers_.nodes();
  return static_cast<std::size_t>(std::count_if(
      nodes.begin(), nodes.end(),
      [own_hash](const auto& peer) { return hash64(peer.first.value()) < own_hash; }));
}

void LoadExchange::connect_revisions(
    std::function<StoreProgress()> own_progress,
    std::function<void(const CatalogRevisions&)> on_peer_revisions) {
  own_progress_ = std::move(own_progress);
  on_revisions_ = std::move(on_peer_revisions);
}

void LoadExchange::request_configuration(const ConfigurationCall& call,
                                         std::function<void(ConfigurationMessage)> handler) {
  configurations_.request(call, uses_zones(), std::move(handler));
}

/// Asks one peer after another until one answers. Waits for the list of engines, as entries of
/// unknown engines are discarded.
void LoadExchange::pull_cache_snapshot() {
  if (pulls_left_-- <= 0) return;
  pull_timer_ = runtime_.after(settings_.pull_interval, [this] { pull_cache_snapshot(); });
  if (!node_.ready()) return;
  const bool sent = call_random_peer(
      kSnapshotCall, [this, alive = alive_](const tl::expected<std::string, std::string>& answer) {
        if (*alive) apply_cache_snapshot(answer);
      });
  if (sent) pull_timer_.reset();
}

/// @return false if there is no peer to call.
bool LoadExchange::call_random_peer(std::string_view call, PeerTransport::AnswerHandler handler) {
  const auto addresses = peers_.nearby_addresses();
  if (addresses.empty()) return false;
  const std::size_t index = random_number(runtime_) % addresses.size();
  transport_.call(addresses[index], std::string(call), settings_.pull_timeout, std::move(handler));
  return true;
}

void LoadExchange::apply_cache_snapshot(const tl::expected<std::string, std::string>& answer) {
  const auto snapshot =
      answer ? decode_cache_snapshot(*answer) : tl::make_unexpected(answer.error());
  if (snapshot && snapshot->versions) node_.streams().adopt_sightings(*snapshot->versions);
  if (!snapshot || snapshot->cached_prompts.empty()) {
    pull_timer_ = runtime_.after(settings_.pull_interval, [this] { pull_cache_snapshot(); });
    return;
  }
  for (const PromptRead& read : snapshot->cached_prompts) node_.on_peer_prompt_read(read);
  for (const auto& [engine, samples] : snapshot->samples)
    node_.engines().on_samples(runtime_.now(), engine, samples);
  log_event(LogArea::kControl, LogLevel::kInfo, "caches_learned",
            {{"engines", snapshot->cached_prompts.size()}, {"bytes", answer->size()}});
}

std::string LoadExchange::answer(const std::string& call) const {
  if (call == kSnapshotCall) return cache_snapshot();
  if (call == kNameCall) return self_.value();
  if (is_engine_list_call(call)) return engine_lists_.answer(call);
  return is_configuration_call(call) ? configurations_.answer(call) : "";
}

std::string LoadExchange::cache_snapshot() const {
  CacheSnapshot snapshot;
  snapshot.versions = node_.streams().sightings();
  for (const auto& [id, engine] : node_.engines().all()) {
    auto parts = engine.cache.cached_parts();
    if (!parts.empty()) snapshot.cached_prompts.push_back({id, std::move(parts)});
    const EngineSamples samples = engine.profile.samples(runtime_.now());
    if (!samples.empty()) snapshot.samples[id] = samples;
  }
  std::string bytes = encode(snapshot);
  return bytes.size() <= kMaxCacheSnapshot ? bytes : std::string();
}

void LoadExchange::schedule_flush() {
  if (flush_timer_) return;
  flush_timer_ = runtime_.after(flush_delay(), [this] {
    flush_timer_.reset();
    flush();
  });
}

Duration LoadExchange::flush_delay() const {
  const std::size_t receivers = uses_zones() ? 0 : peers_.peer_count();
  const std::size_t per_flush = std::max<std::size_t>(settings_.peers_per_flush, 1);
  if (receivers <= per_flush) return settings_.flush_delay;
  return settings_.flush_delay * static_cast<std::int64_t>(receivers) /
         static_cast<std::int64_t>(per_flush);
}

LoadMessage LoadExchange::own_message() {
  LoadMessage message;
  message.node = self_;
  message.boot = boot_;
  message.sequence = ++sequence_;
  message.load = node_.engines().own_load();
  message.reads = node_.take_prompt_reads();
  message.troubles = node_.take_troubles();
  for (const LimitUpdate& update : node_.take_limit_updates()) {
    message.limits.push_back({update.engine, to_report(update.limit, runtime_.now())});
  }
  message.crashes = node_.quarantine().take_reports();
  message.stage_notices = node_.take_stage_notices(kMaxStageNotices);
  if (message.stage_notices.size() == kMaxStageNotices) schedule_flush();
  message.samples = node_.take_samples();
  message.served = node_.take_served();
  if (!own_progress_) return message;
  const StoreProgress progress = own_progress_();
  message.revisions = progress.seen;
  if (is_store_reader()) message.store_age_ms = to_age_ms(runtime_.now(), progress.confirmed_at);
  return message;
}

/// In a small fleet every node, so that none depends on whether others reach the store; in a large
/// one the collectors.
bool LoadExchange::is_store_reader() const {
  if (uses_zones()) return zones_.is_designated_collector();
  return peers_.peer_count() > 0;  // Otherwise there are no peers, or they are not listed yet.
}

StoreReaders LoadExchange::store_readers() const {
  return {is_store_reader(), std::max(readers_confirmed_at_, zones_.readers_confirmed_at())};
}

void LoadExchange::flush() {
  LoadMessage message = own_message();
  std::string bytes = encode(message);
  if (bytes.size() > kMaxLoadMessage && !message.samples.empty()) {
    message.samples.clear();
    bytes = encode(message);
  }
  if (bytes.size() > kMaxLoadMessage) {
    log_event(LogArea::kControl, LogLevel::kWarning, "news_left_out",
              {{"reads", message.reads.size()}, {"engines", message.load.size()}});
    message.reads.clear();
    message.served.clear();
    bytes = encode(message);
  }
  if (bytes.size() > kMaxLoadMessage) return;
  if (uses_zones()) return zones_.send_load(std::move(message));
  for (const auto& [name, record] : peers_.nodes()) {
    if (name != self_) transport_.send(record.address, bytes);
  }
}

void LoadExchange::on_message(std::string_view bytes) {
  if (is_view(bytes)) return zones_.on_view(bytes);
  if (is_digest(bytes)) return zones_.on_digest(bytes);
  if (PermitExchange::handles(bytes)) return permits_.on_message(bytes);
  if (StreamOrigins::handles(bytes)) return node_.streams().on_message(bytes);
  if (is_usage_call(bytes) || is_usage_counts(bytes)) {
    if (on_usage_message_) on_usage_message_(bytes);
    return;
  }
  auto message = decode_load_message(bytes);
  if (!message || message->node == self_) return;
  if (message->to_collector) return zones_.on_member_load(*message);
  apply(std::move(*message));
}

void LoadExchange::apply(LoadMessage message) {
  if (!peers_.is_peer(message.node)) return;
  const MonotonicTime now = runtime_.now();
  PeerState& state = peer_states_[message.node];
  const MessageNumber number{message.boot, message.sequence};
  if (!number.follows(state.last_message)) return;
  state = {number, now};
  reaper_.on_message(message.node);
  if (!uses_zones()) node_.paths().peers().on_heard(now, message.node);
  configurations_.record_peer_revision(message.node, message.revisions.configuration);
  if (message.store_age_ms) {
    readers_confirmed_at_ =
        std::max(readers_confirmed_at_, from_age_ms(now, *message.store_age_ms));
  }
  node_.engines().on_peer_load(now, message.node, std::move(message.load));
  for (const EngineTrouble& trouble : message.troubles) {
    node_.listener().on_peer_trouble(trouble);
  }
  for (const EngineLimitReport& report : message.limits)
    node_.on_peer_limit(report.engine, report.limit);
  for (const EngineStageNotice& item : message.stage_notices)
    node_.engines().on_stage_notice(now, item.engine, item.notice);
  for (const auto& [engine, samples] : message.samples)
    node_.engines().on_samples(now, engine, samples);
  node_.on_peer_served(message.served);
  node_.quarantine().on_peer_reports(message.crashes);
  if (on_revisions_) on_revisions_(message.revisions);
  for (const PromptRead& read : message.reads) node_.on_peer_prompt_read(read);
}

}  // namespace shuntbank::relay
