#include "relay/load_exchange.hpp"

#include <algorithm>
#include <utility>

#include "common/hash.hpp"
#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

constexpr Duration kRegisterTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRegisterAgain = std::chrono::seconds(2);
constexpr std::size_t kBootBytes = 7;

/// A silent store costs nothing here but a late look at new nodes. The wait stays below the history
/// that the store keeps; a longer one had to list again each time (seen in an incident).
store::KindWatchSettings watch_settings() {
  store::KindWatchSettings settings;
  settings.wait = std::chrono::seconds(12);
  settings.longest_backoff = std::chrono::seconds(4);
  return settings;
}

}  // namespace

LoadExchange::LoadExchange(Runtime& runtime, store::ObjectStore& store, PeerTransport& transport,
                           RelayNode& node, const std::string& self,
                           const LoadExchangeSettings& settings)
    : runtime_(runtime),
      store_(store),
      transport_(transport),
      node_(node),
      self_(self),
      settings_(settings),
      boot_(std::stoull(runtime.random_hex(kBootBytes), nullptr, 16)) {
  transport_.set_handlers(
      [this](std::string_view bytes, const std::string&) { on_message(bytes); },
      [this](const std::string& call, const std::function<void(std::string)>& reply) {
        reply(call == kSnapshotCall ? snapshot() : std::string());
      });
  node_.on_load_changed([this] { schedule_flush(); });
  register_self();
  const Duration first_look = settings.joins ? Duration::zero() : settings.first_look;
  start_timer_ = runtime.after(first_look, [this] { watch_nodes(); });
  if (settings.joins) {
    pulls_left_ = settings.most_pulls;
    pull_timer_ = runtime.after(settings.pull_interval, [this] { pull_caches(); });
  }
  refresh_ = std::make_unique<Periodic>(runtime, settings.refresh, [this] {
    node_.engines().forget_silent_peers(runtime_.now());
    if (had_load_ || !node_.engines().own_load().empty()) flush();
  });
}

LoadExchange::~LoadExchange() {
  *alive_ = false;
}

void LoadExchange::register_self() {
  const nlohmann::json content = {{"address", transport_.local_address()}};
  store_.create(
      settings_.kind, self_.value(), content, kRegisterTimeout,
      [this, alive = alive_](const tl::expected<store::StoredObject, store::StoreError>& made) {
        // A machine keeps its name and address when its process starts again.
        if (!*alive || made || made.error() == store::StoreError::kConflict) return;
        start_again_ = runtime_.after(kRegisterAgain, [this] { register_self(); });
      });
}

void LoadExchange::watch_nodes() {
  store::KindWatchHandlers handlers;
  handlers.on_list = [this](const store::ObjectList& list) {
    for (const store::StoredObject& object : list.objects) take_node(object);
    update_fleet();
  };
  handlers.on_change = [this](const store::ObjectChange& change) {
    if (change.gone) {
      peers_.erase(NodeId(change.object.name));
    } else {
      take_node(change.object);
    }
    update_fleet();
  };
  watch_ = std::make_unique<store::KindWatch>(runtime_, store_, settings_.kind, watch_settings(),
                                              std::move(handlers));
}

void LoadExchange::take_node(const store::StoredObject& object) {
  if (!object.content.is_object() || object.name == self_.value()) return;
  peers_[NodeId(object.name)] = object.content.value("address", "");
}

void LoadExchange::update_fleet() {
  targets_ = choose_targets();
  node_.set_fleet({nodes(), rank()});
  node_.engines().set_peer_count(peers_.size(), settings_.most_peers);
}

std::size_t LoadExchange::rank() const {
  const std::uint64_t own = hash64(self_.value());
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(),
                    [own](const auto& peer) { return hash64(peer.first.value()) < own; }));
}

void LoadExchange::connect_revisions(std::function<CatalogRevisions()> own,
                                     std::function<void(const CatalogRevisions&)> on_heard) {
  own_revisions_ = std::move(own);
  on_revisions_ = std::move(on_heard);
}

/// Asks one peer after the other until one answers. Parts are kept only for engines that are known,
/// so this waits for their list.
void LoadExchange::pull_caches() {
  if (pulls_left_-- <= 0) return;
  pull_timer_ = runtime_.after(settings_.pull_interval, [this] { pull_caches(); });
  if (peers_.empty() || !node_.ready()) return;
  pull_timer_.reset();
  const std::size_t drawn = std::stoul(runtime_.random_hex(2), nullptr, 16) % peers_.size();
  const auto peer = std::next(peers_.begin(), static_cast<std::ptrdiff_t>(drawn));
  transport_.call(peer->second, std::string(kSnapshotCall), settings_.pull_timeout,
                  [this, alive = alive_](const tl::expected<std::string, std::string>& answer) {
                    if (*alive) take_caches(answer);
                  });
}

void LoadExchange::take_caches(const tl::expected<std::string, std::string>& answer) {
  const auto snapshot =
      answer ? decode_cache_snapshot(*answer) : tl::make_unexpected(answer.error());
  if (!snapshot || snapshot->kept.empty()) {
    pull_timer_ = runtime_.after(settings_.pull_interval, [this] { pull_caches(); });
    return;
  }
  for (const PromptRead& kept : snapshot->kept) node_.learn_prompt_read(kept);
  log_event(LogArea::kControl, LogLevel::kInfo, "caches_learned",
            {{"engines", snapshot->kept.size()}, {"bytes", answer->size()}});
}

std::string LoadExchange::snapshot() const {
  CacheSnapshot snapshot;
  for (const auto& [id, engine] : node_.engines().all()) {
    auto parts = engine.cache.kept();
    if (!parts.empty()) snapshot.kept.push_back({id, std::move(parts)});
  }
  std::string bytes = encode(snapshot);
  return bytes.size() <= kMaxCacheSnapshot ? bytes : std::string();
}

/// In a large fleet each node tells a few others, chosen by a hash so that all are told by as many.
std::vector<std::string> LoadExchange::choose_targets() const {
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const auto& [name, address] : peers_) {
    order.emplace_back(hash64(name.value() + "/" + self_.value()), address);
  }
  std::sort(order.begin(), order.end());
  if (order.size() > settings_.most_peers) order.resize(settings_.most_peers);
  std::vector<std::string> targets;
  targets.reserve(order.size());
  for (auto& [weight, address] : order) targets.push_back(std::move(address));
  return targets;
}

void LoadExchange::schedule_flush() {
  if (flush_timer_) return;
  flush_timer_ = runtime_.after(flush_delay(), [this] {
    flush_timer_.reset();
    flush();
  });
}

Duration LoadExchange::flush_delay() const {
  const std::size_t told = targets_.size();
  const std::size_t least = std::max<std::size_t>(settings_.peers_a_flush, 1);
  if (told <= least) return settings_.flush_delay;
  return settings_.flush_delay * static_cast<std::int64_t>(told) / static_cast<std::int64_t>(least);
}

void LoadExchange::flush() {
  LoadMessage message;
  message.node = self_;
  message.boot = boot_;
  message.sequence = ++sequence_;
  message.load = node_.engines().own_load();
  message.reads = node_.take_prompt_reads();
  message.troubles = node_.take_troubles();
  if (own_revisions_) message.seen = own_revisions_();
  had_load_ = !message.load.empty();
  std::string bytes = encode(message);
  if (bytes.size() > kMaxLoadMessage) {
    message.reads.clear();
    bytes = encode(message);
  }
  if (bytes.size() > kMaxLoadMessage) return;
  for (const std::string& address : targets_) transport_.send(address, bytes);
}

void LoadExchange::on_message(std::string_view bytes) {
  auto message = decode_load_message(bytes);
  if (!message || message->node == self_) return;
  Heard& heard = heard_[message->node];
  if (heard.boot == message->boot && message->sequence <= heard.sequence) return;
  heard = {message->boot, message->sequence};
  const MonotonicTime now = runtime_.now();
  node_.engines().on_peer_load(now, message->node, std::move(message->load));
  for (const EngineTrouble& trouble : message->troubles) {
    node_.engines().on_peer_trouble(now, trouble);
  }
  if (on_revisions_) on_revisions_(message->seen);
  for (const PromptRead& read : message->reads) node_.learn_prompt_read(read);
}

}  // namespace shuntbank::relay
