#include "relay/zone_exchange.hpp"

#include <algorithm>
#include <set>

#include "common/log.hpp"
#include "relay/malformed_message.hpp"

namespace shuntbank::relay {
namespace {

/// Sent loads kept to subtract this node's share from received sums. Covers the maximum age of a
/// sum, a few hundred milliseconds, at one message per 15 ms.
constexpr std::size_t kMaxSentLoads = 128;

LoadByKey by_key(const std::map<EngineId, PeerLoad>& load) {
  LoadByKey keyed;
  for (const auto& [engine, work] : load) keyed[engine_key(engine)] += work;
  return keyed;
}

EngineUpdates updates_from(const LoadMessage& message) {
  EngineUpdates updates;
  for (const PromptRead& read : message.reads) {
    updates.reads.push_back({engine_key(read.engine), read.parts, read.unshared_tokens});
  }
  for (const EngineTrouble& trouble : message.troubles) {
    updates.troubles.push_back({engine_key(trouble.engine), trouble.stage, trouble.kind});
  }
  updates.crashes = message.crashes;
  for (const EngineLimitReport& limit : message.limits) {
    updates.limits.push_back({engine_key(limit.engine), limit.limit});
  }
  for (const EngineStageNotice& item : message.stage_notices) {
    updates.stage_notices.push_back({engine_key(item.engine), item.notice});
  }
  for (const auto& [engine, samples] : message.samples) {
    updates.samples[engine_key(engine)] += samples;
  }
  updates.served = message.served;
  return updates;
}

}  // namespace

ZoneExchange::ZoneExchange(Runtime& own_runtime, PeerTransport& own_transport, RelayNode& own_node,
                           const PeerDirectory& own_peers, std::uint64_t own_boot,
                           const ZoneExchangeSettings& own_settings)
    : runtime(own_runtime),
      transport(own_transport),
      node(own_node),
      peers(own_peers),
      self(own_peers.own_name()),
      zone(own_peers.own_record().zone),
      boot(own_boot),
      settings(own_settings),
      selector(own_settings.collector_selection),
      collector(own_settings.collector),
      zone_samples(own_settings.zone_samples),
      view_samples(own_settings.view_samples) {}

void ZoneExchange::start() {
  this->selector.set_order(collector_order(this->peers.nodes(), this->zone));
  this->update_zone_rankings();
  if (std::exchange(this->running, true)) return;
  log_event(LogArea::kControl, LogLevel::kInfo, "exchange_by_zones",
            {{"active", true}, {"nodes", this->peers.nodes().size()}});
  this->schedule();
  this->check_source();
}

void ZoneExchange::update_zone_rankings() {
  for (const auto& [name, record] : this->peers.nodes()) {
    if (record.zone != this->zone) {
      this->zone_selectors.try_emplace(record.zone, this->settings.collector_selection);
    }
  }
  for (auto& [name, zone_selector] : this->zone_selectors) {
    zone_selector.set_order(collector_order(this->peers.nodes(), name));
  }
}

void ZoneExchange::schedule() {
  this->timer = this->runtime.after(this->interval(), [this] {
    this->tick();
    this->schedule();
  });
}

/// A collector's interval depends on its machine's capacity; other nodes only check for a silent
/// collector.
Duration ZoneExchange::interval() const {
  if (this->collector.idle()) return this->settings.max_collect_interval;
  const double capacity = this->peers.own_record().capacity;
  // The capacity may be unknown (0).
  const double messages_per_second = std::max(1.0, this->settings.messages_per_core * capacity);
  const double seconds = static_cast<double>(this->view_messages) / messages_per_second;
  return std::clamp(from_seconds(seconds), this->settings.min_collect_interval,
                    this->settings.max_collect_interval);
}

void ZoneExchange::stop() {
  if (std::exchange(this->running, false)) {
    log_event(LogArea::kControl, LogLevel::kInfo, "exchange_by_zones",
              {{"active", false}, {"nodes", this->peers.nodes().size()}});
  }
  this->timer.reset();
  this->node.engines().set_shared_view_age(Duration::zero());
  this->selector.set_order({});
}

void ZoneExchange::send(const NodeId& name, std::string_view bytes) {
  const PeerRecord* record = this->peers.find(name);
  if (record != nullptr) this->transport.send(record->address, bytes);
}

void ZoneExchange::send_load(LoadMessage message) {
  this->sent_loads.push_back({message.sequence, by_key(message.load)});
  if (this->sent_loads.size() > kMaxSentLoads) this->sent_loads.pop_front();
  message.to_collector = true;
  for (const NodeId& name : this->selector.report_targets(this->runtime.now())) {
    message.wants_view = this->selector.source() == name;
    if (name == this->self) {
      this->on_member_load(message);
    } else {
      this->send(name, encode(message));
    }
  }
}

void ZoneExchange::on_member_load(const LoadMessage& message) {
  if (!this->peers.find(message.node)) return;
  if (this->collector.idle()) this->begin_collecting();
  MemberLoad member{{message.boot, message.sequence}, by_key(message.load), message.wants_view};
  if (!this->collector.on_member_load(this->runtime.now(), message.node, std::move(member))) return;
  for (const auto& [engine, samples] : message.samples) {
    this->zone_samples.add(this->runtime.now(), engine_key(engine), samples);
  }
  this->append_updates(this->zone_updates, updates_from(message));
  this->update_revisions(message.revisions);
  if (message.store_age_ms) this->update_store_confirmation(*message.store_age_ms);
}

void ZoneExchange::on_digest(std::string_view bytes) {
  if (this->collector.idle()) return;  // No members to forward it to.
  auto digest = decode_digest(bytes);
  if (!digest) return log_malformed_message("digest", digest.error());
  if (!this->peers.is_peer(digest->collector) || digest->zone == this->zone) return;
  const MonotonicTime now = this->runtime.now();
  const bool accepted =
      this->collector.on_zone_load(now, {digest->zone, digest->collector, digest->number,
                                         digest->node_count, std::move(digest->range)});
  if (accepted) this->append_updates(this->other_zone_updates, std::move(digest->updates));
  const auto found = this->zone_selectors.find(digest->zone);
  if (found != this->zone_selectors.end()) found->second.on_view(now, digest->collector);
  this->update_revisions(digest->revisions);
  this->update_store_confirmation(digest->store_age_ms);
}

void ZoneExchange::on_view(std::string_view bytes) {
  const auto view = decode_view(bytes);
  if (!view) return log_malformed_message("view", view.error());
  const LoadDigest& digest = view->digest;
  if (!this->peers.is_peer(digest.collector)) return;
  MessageNumber& last = this->last_view_numbers[digest.collector];
  const bool another_part = digest.number == last;
  if (!another_part && !digest.number.follows(last)) return;
  last = digest.number;
  const MonotonicTime now = this->runtime.now();
  this->selector.on_view(now, digest.collector);
  if (this->selector.source() != digest.collector) return;
  if (!another_part) this->record_view(now);
  this->apply_sum(now, digest, view->last_sequence);
  this->update_revisions(digest.revisions);
  this->update_store_confirmation(digest.store_age_ms);
}

void ZoneExchange::apply_sum(MonotonicTime now, const LoadDigest& sum, std::uint64_t counted) {
  this->view_nodes = sum.node_count;
  this->node.engines().on_fleet_load(now, sum.range, this->load_sent_with(counted));
  this->apply_updates(sum.updates);
}

/// Samples wait in a buffer of their own, which bounds their rate.
void ZoneExchange::append_updates(EngineUpdates& updates, EngineUpdates added) {
  for (const auto& [engine, samples] : std::exchange(added.samples, {})) {
    this->view_samples.add(this->runtime.now(), engine, samples);
  }
  if (updates.reads.size() + added.reads.size() > this->settings.max_prompt_reads) {
    log_event(LogArea::kControl, LogLevel::kWarning, "news_left_out",
              {{"reads", added.reads.size()}, {"waiting", updates.reads.size()}});
    return;
  }
  updates.append(added);
}

/// A change waits for the sum of its own zone and then for that of the receiver's, so a view is up
/// to two intervals old.
void ZoneExchange::record_view(MonotonicTime now) {
  const Duration elapsed =
      std::min(now - this->view_received_at, this->settings.max_collect_interval);
  this->view_received_at = now;
  this->node.engines().set_shared_view_age(2 * elapsed);
}

const LoadByKey& ZoneExchange::load_sent_with(std::uint64_t sequence) const {
  static const LoadByKey empty;
  const auto found =
      std::find_if(this->sent_loads.rbegin(), this->sent_loads.rend(),
                   [sequence](const SentLoad& entry) { return entry.sequence == sequence; });
  return found == this->sent_loads.rend() ? empty : found->load;
}

void ZoneExchange::apply_updates(const EngineUpdates& updates) {
  this->node.quarantine().on_peer_reports(updates.crashes);
  EngineDirectory& engines = this->node.engines();
  for (const KeyedRead& read : updates.reads) {
    const EngineView* engine = engines.find_by_key(read.engine);
    if (engine != nullptr)
      this->node.on_peer_prompt_read({engine->record.id, read.parts, read.unshared_tokens});
  }
  for (const KeyedLimit& keyed : updates.limits) {
    const EngineView* engine = engines.find_by_key(keyed.engine);
    if (engine != nullptr) this->node.on_peer_limit(engine->record.id, keyed.limit);
  }
  for (const KeyedStageNotice& keyed : updates.stage_notices) {
    engines.on_stage_notice(this->runtime.now(), keyed.engine, keyed.notice);
  }
  // The sum includes this node's own samples, which therefore count twice here; one node's share of
  // a fleet that uses collectors is small.
  for (const auto& [key, samples] : updates.samples) {
    const EngineView* engine = engines.find_by_key(key);
    if (engine != nullptr) engines.on_samples(this->runtime.now(), engine->record.id, samples);
  }
  this->node.on_peer_served(updates.served);
  for (const KeyedTrouble& trouble : updates.troubles) {
    const EngineView* engine = engines.find_by_key(trouble.engine);
    if (engine == nullptr) continue;
    this->node.listener().on_peer_trouble({engine->record.id, trouble.stage, trouble.kind});
  }
}

void ZoneExchange::update_revisions(const CatalogRevisions& revisions) {
  this->seen_revisions.configuration =
      std::max(this->seen_revisions.configuration, revisions.configuration);
  this->seen_revisions.engines = std::max(this->seen_revisions.engines, revisions.engines);
  if (this->revision_handler) this->revision_handler(revisions);
}

void ZoneExchange::update_store_confirmation(std::uint32_t store_age_ms) {
  this->store_confirmed_at =
      std::max(this->store_confirmed_at, from_age_ms(this->runtime.now(), store_age_ms));
}

bool ZoneExchange::is_designated_collector() const {
  if (!this->collecting()) return false;
  const auto designated = this->selector.report_targets(this->runtime.now());
  return std::find(designated.begin(), designated.end(), this->self) != designated.end();
}

std::vector<std::string> ZoneExchange::other_collector_addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [name, zone_selector] : this->zone_selectors) {
    for (const NodeId& target : zone_selector.report_targets(this->runtime.now())) {
      const PeerRecord* record = this->peers.find(target);
      if (record != nullptr) addresses.push_back(record->address);
    }
  }
  return addresses;
}

const PeerRecord* ZoneExchange::source() const {
  const auto& chosen = this->selector.source();
  if (!chosen || *chosen == this->self) return nullptr;
  return this->peers.find(*chosen);
}

void ZoneExchange::tick() {
  this->check_source();
  this->collector.expire(this->runtime.now());
  if (!this->collector.idle()) this->collect();
}

void ZoneExchange::check_source() {
  const auto previous = this->selector.source();
  const auto silent = this->selector.poll(this->runtime.now());
  if (this->selector.source() == previous) {
    if (this->selector.should_request_view(this->runtime.now())) this->request_view();
    return;
  }
  log_event(LogArea::kControl, LogLevel::kInfo, "collector_chosen",
            {{"collector", this->selector.source() ? this->selector.source()->value() : ""},
             {"silent", silent ? silent->value() : ""}});
  this->request_view();
}

void ZoneExchange::request_view() {
  if (this->view_request_handler) this->view_request_handler();
}

/// Resets the choice of collectors in other zones, as earlier silence is not significant.
void ZoneExchange::begin_collecting() {
  log_event(LogArea::kControl, LogLevel::kInfo, "collecting", {{"zone", this->zone.value()}});
  this->zone_selectors.clear();
  this->update_zone_rankings();
}

void ZoneExchange::collect() {
  const MonotonicTime now = this->runtime.now();
  ++this->sums_sent;
  this->zone_served.add(std::exchange(this->zone_updates.served, {}));
  this->other_zones_served.add(std::exchange(this->other_zone_updates.served, {}));
  this->zone_updates.served = this->zone_served.take(now);
  this->other_zone_updates.served = this->other_zones_served.take(now);
  LoadDigest zone_sum = this->digest(this->zone);
  zone_sum.node_count = this->collector.zone_nodes();
  zone_sum.range.load = this->collector.zone_load();
  zone_sum.updates = this->zone_updates;
  zone_sum.updates.samples = this->zone_samples.take(now);
  this->send_to_zones(now, zone_sum);

  EngineUpdates news = std::exchange(this->zone_updates, {});
  news.append(std::exchange(this->other_zone_updates, {}));
  // The zone's second collector usually has no subscribers.
  const auto subscribers = this->collector.subscribers();
  news.samples = this->view_samples.take(
      now, this->settings.member_samples_per_second /
               static_cast<double>(std::max<std::size_t>(1, subscribers.size())));
  this->view_messages = 0;
  const bool own_source = this->selector.source() == this->self;
  if (subscribers.empty() && !own_source) return;
  LoadDigest fleet_sum = this->digest(ZoneName());
  fleet_sum.node_count = this->collector.fleet_nodes(now);
  fleet_sum.range.load = this->collector.fleet_load(now);
  fleet_sum.updates = std::move(news);
  this->send_to_members(subscribers, fleet_sum);
  if (own_source) this->apply_own_sum(now, fleet_sum);
}

LoadDigest ZoneExchange::digest(const ZoneName& of_zone) const {
  LoadDigest digest;
  digest.collector = this->self;
  digest.number = {this->boot, this->sums_sent};
  digest.zone = of_zone;
  digest.revisions = this->seen_revisions;
  digest.store_age_ms = to_age_ms(this->runtime.now(), this->store_confirmed_at);
  return digest;
}

/// Sends to the selected collectors of each other zone and to those recently heard from.
void ZoneExchange::send_to_zones(MonotonicTime now, const LoadDigest& sum) {
  if (this->zone_selectors.empty()) return;
  const auto parts = encode_parts(sum);
  for (auto& [name, zone_selector] : this->zone_selectors) {
    zone_selector.poll(now);
    const std::vector<NodeId> selected = zone_selector.report_targets(now);
    std::set<NodeId> targets(selected.begin(), selected.end());
    for (NodeId& recent : this->collector.active_collectors(now, name))
      targets.insert(std::move(recent));
    for (const NodeId& target : targets) {
      for (const std::string& part : parts) this->send(target, part);
    }
  }
}

void ZoneExchange::send_to_members(const std::vector<Subscriber>& subscribers,
                                   const LoadDigest& sum) {
  const auto parts = encode_parts(sum);
  this->view_messages = parts.size() * subscribers.size();
  for (const Subscriber& subscriber : subscribers) {
    if (subscriber.node == this->self) continue;
    for (const std::string& part : parts) {
      this->send(subscriber.node, encode_view(subscriber.last_sequence, part));
    }
  }
}

/// Applies the sum locally if this node is its own collector.
void ZoneExchange::apply_own_sum(MonotonicTime now, const LoadDigest& sum) {
  this->selector.on_view(now, this->self);
  this->record_view(now);
  this->apply_sum(now, sum, this->sent_loads.empty() ? 0 : this->sent_loads.back().sequence);
}

}  // namespace shuntbank::relay
