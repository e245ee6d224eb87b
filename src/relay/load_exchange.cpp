#include "relay/load_exchange.hpp"

#include <algorithm>
#include <utility>

#include "common/hash.hpp"
#include "common/log.hpp"
#include "protocol/usage_message.hpp"

namespace shuntbank::relay {
namespace {

PeerRecord own_record(const PeerTransport& transport, const LoadExchangeSettings& settings) {
  return {transport.local_address(), settings.zone, settings.capacity};
}

/// A node that joins looks at once.
PeerDirectorySettings directory_settings(const LoadExchangeSettings& settings) {
  PeerDirectorySettings peers = settings.peers;
  if (settings.joins) peers.first_look = Duration::zero();
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
      zones_(runtime, transport, node, peers_, boot_, settings.zones),
      configurations_(runtime, transport, peers_, zones_, settings.configurations),
      permits_(transport, peers_, node.permits(), [this] { return share_heard(); }) {
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
  if (settings.joins) {
    pulls_left_ = settings.most_pulls;
    pull_timer_ = runtime.after(settings.pull_interval, [this] { pull_caches(); });
  }
  refresh_ = std::make_unique<Periodic>(runtime, settings.refresh, [this] { refresh(); });
}

LoadExchange::~LoadExchange() {
  *alive_ = false;
  // The node outlives this, and still ends its requests.
  node_.on_load_changed(nullptr);
  node_.permits().disconnect();
}

/// Idle nodes speak as well: who is silent is taken for dead.
void LoadExchange::refresh() {
  node_.engines().forget_silent_peers(runtime_.now());
  flush();
}

void LoadExchange::update_fleet() {
  if (by_zones()) {
    zones_.start();
  } else {
    zones_.stop();
  }
  node_.set_fleet({nodes(), rank()});
  permits_.update_nodes();
}

double LoadExchange::share_heard() const {
  const MonotonicTime now = runtime_.now();
  const Duration life = settings_.zones.collector.member_life;
  std::size_t heard = 1;
  if (by_zones()) {
    if (now - zones_.view_at() <= life) heard = std::max(heard, zones_.nodes_seen());
  } else {
    heard +=
        static_cast<std::size_t>(std::count_if(heard_.begin(), heard_.end(), [&](const auto& peer) {
          return now - peer.second.at <= life;
        }));
  }
  return std::min(1.0, static_cast<double>(heard) / static_cast<double>(nodes()));
}

std::size_t LoadExchange::rank() const {
  const std::uint64_t own = hash64(self_.value());
  const PeerRecords& nodes = peers_.nodes();
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(),
                    [own](const auto& peer) { return hash64(peer.first.value()) < own; }));
}

void LoadExchange::connect_revisions(std::function<StoreProgress()> own,
                                     std::function<void(const CatalogRevisions&)> on_heard) {
  own_progress_ = std::move(own);
  on_revisions_ = std::move(on_heard);
}

void LoadExchange::ask_configuration(const ConfigurationCall& call,
                                     std::function<void(ConfigurationMessage)> handler) {
  configurations_.ask(call, by_zones(), std::move(handler));
}

/// Asks one peer after the other until one answers. Parts are kept only for engines that are known,
/// so this waits for their list.
void LoadExchange::pull_caches() {
  if (pulls_left_-- <= 0) return;
  pull_timer_ = runtime_.after(settings_.pull_interval, [this] { pull_caches(); });
  if (!node_.ready()) return;
  const bool asked = ask_a_peer(
      kSnapshotCall, [this, alive = alive_](const tl::expected<std::string, std::string>& answer) {
        if (*alive) take_caches(answer);
      });
  if (asked) pull_timer_.reset();
}

/// @return whether there was anybody to ask.
bool LoadExchange::ask_a_peer(std::string_view call, PeerTransport::AnswerHandler handler) {
  const auto askable = peers_.near_addresses();
  if (askable.empty()) return false;
  const std::size_t drawn = random_number(runtime_) % askable.size();
  transport_.call(askable[drawn], std::string(call), settings_.pull_timeout, std::move(handler));
  return true;
}

void LoadExchange::take_caches(const tl::expected<std::string, std::string>& answer) {
  const auto snapshot =
      answer ? decode_cache_snapshot(*answer) : tl::make_unexpected(answer.error());
  if (!snapshot || snapshot->cached_prompts.empty()) {
    pull_timer_ = runtime_.after(settings_.pull_interval, [this] { pull_caches(); });
    return;
  }
  for (const PromptRead& kept : snapshot->cached_prompts) node_.learn_prompt_read(kept);
  log_event(LogArea::kControl, LogLevel::kInfo, "caches_learned",
            {{"engines", snapshot->cached_prompts.size()}, {"bytes", answer->size()}});
}

std::string LoadExchange::answer(const std::string& call) const {
  if (call == kSnapshotCall) return snapshot();
  return is_configuration_call(call) ? configurations_.answer(call) : "";
}

std::string LoadExchange::snapshot() const {
  CacheSnapshot snapshot;
  for (const auto& [id, engine] : node_.engines().all()) {
    auto parts = engine.cache.kept();
    if (!parts.empty()) snapshot.cached_prompts.push_back({id, std::move(parts)});
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
  const std::size_t told = by_zones() ? 0 : peers_.peer_count();
  const std::size_t least = std::max<std::size_t>(settings_.peers_a_flush, 1);
  if (told <= least) return settings_.flush_delay;
  return settings_.flush_delay * static_cast<std::int64_t>(told) / static_cast<std::int64_t>(least);
}

LoadMessage LoadExchange::own_message() {
  LoadMessage message;
  message.node = self_;
  message.boot = boot_;
  message.sequence = ++sequence_;
  message.load = node_.engines().own_load();
  message.reads = node_.take_prompt_reads();
  message.troubles = node_.take_troubles();
  for (const LimitNews& news : node_.take_limits()) {
    message.limits.push_back({news.engine, to_told(news.limit, runtime_.now())});
  }
  message.crashes = node_.quarantine().take_reports();
  if (!own_progress_) return message;
  const StoreProgress progress = own_progress_();
  message.revisions = progress.seen;
  if (reads_for_others()) message.store_age_ms = to_age_ms(runtime_.now(), progress.latest_at);
  return message;
}

/// In a small fleet the first few of those that are heard, by a hash; in a large one the
/// collectors.
bool LoadExchange::reads_for_others() const {
  if (by_zones()) return zones_.collects_by_rank();
  if (peers_.peer_count() == 0) return false;  // There are none, or the list is still to come.
  const std::uint64_t own = hash64(self_.value());
  const MonotonicTime now = runtime_.now();
  const auto before = std::count_if(heard_.begin(), heard_.end(), [&](const auto& peer) {
    return now - peer.second.at <= settings_.zones.collector.member_life &&
           hash64(peer.first.value()) < own;
  });
  return static_cast<std::size_t>(before) < settings_.readers;
}

StoreReaders LoadExchange::readers() const {
  return {reads_for_others(), std::max(readers_heard_at_, zones_.readers_heard_at())};
}

void LoadExchange::flush() {
  LoadMessage message = own_message();
  std::string bytes = encode(message);
  if (bytes.size() > kMaxLoadMessage) {
    log_event(LogArea::kControl, LogLevel::kWarning, "news_left_out",
              {{"reads", message.reads.size()}, {"engines", message.load.size()}});
    message.reads.clear();
    bytes = encode(message);
  }
  if (bytes.size() > kMaxLoadMessage) return;
  if (by_zones()) return zones_.tell(std::move(message));
  for (const auto& [name, record] : peers_.nodes()) {
    if (name != self_) transport_.send(record.address, bytes);
  }
}

void LoadExchange::on_message(std::string_view bytes) {
  if (is_view(bytes)) return zones_.on_view(bytes);
  if (is_digest(bytes)) return zones_.on_digest(bytes);
  if (is_permit_call(bytes) || is_permit_answer(bytes)) return permits_.on_message(bytes);
  if (is_usage_call(bytes) || is_usage_counts(bytes)) {
    if (on_usage_message_) on_usage_message_(bytes);
    return;
  }
  auto message = decode_load_message(bytes);
  if (!message || message->node == self_) return;
  if (message->to_collector) return zones_.on_report(*message);
  take(std::move(*message));
}

void LoadExchange::take(LoadMessage message) {
  if (!peers_.is_peer(message.node)) return;
  const MonotonicTime now = runtime_.now();
  Heard& last = heard_[message.node];
  const MessageNumber number{message.boot, message.sequence};
  if (!number.follows(last.number)) return;
  last = {number, now};
  configurations_.note_peer(message.node, message.revisions.configuration);
  if (message.store_age_ms) {
    readers_heard_at_ = std::max(readers_heard_at_, from_age_ms(now, *message.store_age_ms));
  }
  node_.engines().on_peer_load(now, message.node, std::move(message.load));
  for (const EngineTrouble& trouble : message.troubles) {
    node_.listener().on_peer_trouble(trouble);
  }
  for (const EngineLimitReport& news : message.limits) node_.learn_limit(news.engine, news.limit);
  node_.quarantine().learn(message.crashes);
  if (on_revisions_) on_revisions_(message.revisions);
  for (const PromptRead& read : message.reads) node_.learn_prompt_read(read);
}

}  // namespace shuntbank::relay
