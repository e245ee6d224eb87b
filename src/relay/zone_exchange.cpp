#include "relay/zone_exchange.hpp"

#include <algorithm>
#include <set>

#include "common/log.hpp"
#include "relay/malformed_message.hpp"

namespace shuntbank::relay {
namespace {

/// Own messages that are remembered, to be taken out of the sums that hold them. A sum is a few
/// hundred milliseconds old at most, and a message is sent every 15 ms at most.
constexpr std::size_t kMostTold = 128;

LoadByKey by_key(const std::map<EngineId, PeerLoad>& load) {
  LoadByKey keyed;
  for (const auto& [engine, work] : load) keyed[engine_key(engine)] += work;
  return keyed;
}

EngineNews news_of(const LoadMessage& message) {
  EngineNews news;
  for (const PromptRead& read : message.reads) {
    news.reads.push_back({engine_key(read.engine), read.parts});
  }
  for (const EngineTrouble& trouble : message.troubles) {
    news.troubles.push_back({engine_key(trouble.engine), trouble.stage, trouble.kind});
  }
  news.crashes = message.crashes;
  for (const EngineLimitReport& told : message.limits) {
    news.limits.push_back({engine_key(told.engine), told.limit});
  }
  return news;
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
      choice(own_settings.choice),
      collector(own_settings.collector) {}

void ZoneExchange::start() {
  this->choice.set_order(collector_order(this->peers.nodes(), this->zone));
  this->order_other_zones();
  if (std::exchange(this->running, true)) return;
  this->schedule();
  this->watch_source();
}

void ZoneExchange::order_other_zones() {
  for (const auto& [name, record] : this->peers.nodes()) {
    if (record.zone != this->zone) {
      this->other_zones.try_emplace(record.zone, this->settings.choice);
    }
  }
  for (auto& [name, there] : this->other_zones) {
    there.set_order(collector_order(this->peers.nodes(), name));
  }
}

void ZoneExchange::schedule() {
  this->timer = this->runtime.after(this->interval(), [this] {
    this->tick();
    this->schedule();
  });
}

/// A collector sums up as often as its machine bears the messages; the others only look whether
/// theirs is silent.
Duration ZoneExchange::interval() const {
  if (this->collector.idle()) return this->settings.longest_collect;
  const double capacity = this->peers.own_record().capacity;
  // A machine may tell no capacity.
  const double a_second = std::max(1.0, this->settings.messages_a_core * capacity);
  const double seconds = static_cast<double>(this->view_messages) / a_second;
  return std::clamp(from_seconds(seconds), this->settings.collect_every,
                    this->settings.longest_collect);
}

void ZoneExchange::stop() {
  this->running = false;
  this->timer.reset();
  this->node.engines().set_shared_view_age(Duration::zero());
  this->choice.set_order({});
}

void ZoneExchange::send(const NodeId& name, std::string_view bytes) {
  const PeerRecord* record = this->peers.find(name);
  if (record != nullptr) this->transport.send(record->address, bytes);
}

void ZoneExchange::tell(LoadMessage message) {
  this->told.push_back({message.sequence, by_key(message.load)});
  if (this->told.size() > kMostTold) this->told.pop_front();
  message.to_collector = true;
  for (const NodeId& name : this->choice.told(this->runtime.now())) {
    message.wants_view = this->choice.source() == name;
    if (name == this->self) {
      this->on_report(message);
    } else {
      this->send(name, encode(message));
    }
  }
}

void ZoneExchange::on_report(const LoadMessage& message) {
  if (!this->peers.find(message.node)) return;
  if (this->collector.idle()) this->begin_collecting();
  MemberLoad member{{message.boot, message.sequence}, by_key(message.load), message.wants_view};
  if (!this->collector.on_member(this->runtime.now(), message.node, std::move(member))) return;
  this->append_news(this->zone_news, news_of(message));
  this->note_seen(message.revisions);
  if (message.store_age_ms) this->note_reader(*message.store_age_ms);
}

void ZoneExchange::on_digest(std::string_view bytes) {
  if (this->collector.idle()) return;  // Nobody here to hand it on to.
  auto digest = decode_digest(bytes);
  if (!digest) return log_malformed_message("digest", digest.error());
  if (!this->peers.is_peer(digest->collector) || digest->zone == this->zone) return;
  const MonotonicTime now = this->runtime.now();
  const bool taken = this->collector.on_zone(now, {digest->zone, digest->collector, digest->number,
                                                   digest->node_count, std::move(digest->range)});
  if (taken) this->append_news(this->other_news, digest->updates);
  const auto there = this->other_zones.find(digest->zone);
  if (there != this->other_zones.end()) there->second.on_view(now, digest->collector);
  this->note_seen(digest->revisions);
  this->note_reader(digest->store_age_ms);
}

void ZoneExchange::on_view(std::string_view bytes) {
  const auto view = decode_view(bytes);
  if (!view) return log_malformed_message("view", view.error());
  const LoadDigest& digest = view->digest;
  if (!this->peers.is_peer(digest.collector)) return;
  MessageNumber& last = this->views[digest.collector];
  const bool another_part = digest.number == last;
  if (!another_part && !digest.number.follows(last)) return;
  last = digest.number;
  const MonotonicTime now = this->runtime.now();
  this->choice.on_view(now, digest.collector);
  if (this->choice.source() != digest.collector) return;
  if (!another_part) this->note_view(now);
  this->take_sum(now, digest, view->last_sequence);
  this->note_seen(digest.revisions);
  this->note_reader(digest.store_age_ms);
}

void ZoneExchange::take_sum(MonotonicTime now, const LoadDigest& sum, std::uint64_t counted) {
  this->view_nodes = sum.node_count;
  this->node.engines().on_fleet_load(now, sum.range, this->told_with(counted));
  this->take_news(sum.updates);
}

void ZoneExchange::append_news(EngineNews& news, const EngineNews& more) {
  if (news.reads.size() + more.reads.size() > this->settings.most_reads) {
    log_event(LogArea::kControl, LogLevel::kWarning, "news_left_out",
              {{"reads", more.reads.size()}, {"waiting", news.reads.size()}});
    return;
  }
  news.append(more);
}

/// A change waits for the sum of its own zone and then for that of the reader's: what is seen is up
/// to two sums old before the next one comes.
void ZoneExchange::note_view(MonotonicTime now) {
  const Duration since = std::min(now - this->viewed_at, this->settings.longest_collect);
  this->viewed_at = now;
  this->node.engines().set_shared_view_age(2 * since);
}

const LoadByKey& ZoneExchange::told_with(std::uint64_t sequence) const {
  static const LoadByKey nothing;
  const auto found =
      std::find_if(this->told.rbegin(), this->told.rend(),
                   [sequence](const Told& entry) { return entry.sequence == sequence; });
  return found == this->told.rend() ? nothing : found->load;
}

void ZoneExchange::take_news(const EngineNews& news) {
  this->node.quarantine().learn(news.crashes);
  EngineDirectory& engines = this->node.engines();
  for (const KeyedRead& read : news.reads) {
    const EngineView* engine = engines.find_by_key(read.engine);
    if (engine != nullptr) this->node.learn_prompt_read({engine->record.id, read.parts});
  }
  for (const KeyedLimit& keyed : news.limits) {
    const EngineView* engine = engines.find_by_key(keyed.engine);
    if (engine != nullptr) this->node.learn_limit(engine->record.id, keyed.limit);
  }
  for (const KeyedTrouble& trouble : news.troubles) {
    const EngineView* engine = engines.find_by_key(trouble.engine);
    if (engine == nullptr) continue;
    this->node.listener().on_peer_trouble({engine->record.id, trouble.stage, trouble.kind});
  }
}

void ZoneExchange::note_seen(const CatalogRevisions& revisions) {
  this->seen.configuration = std::max(this->seen.configuration, revisions.configuration);
  this->seen.engines = std::max(this->seen.engines, revisions.engines);
  if (this->on_seen) this->on_seen(revisions);
}

void ZoneExchange::note_reader(std::uint32_t store_age_ms) {
  this->store_heard_at =
      std::max(this->store_heard_at, from_age_ms(this->runtime.now(), store_age_ms));
}

bool ZoneExchange::collects_by_rank() const {
  if (!this->collecting()) return false;
  const auto ranked = this->choice.told(this->runtime.now());
  return std::find(ranked.begin(), ranked.end(), this->self) != ranked.end();
}

const PeerRecord* ZoneExchange::source() const {
  const auto& chosen = this->choice.source();
  if (!chosen || *chosen == this->self) return nullptr;
  return this->peers.find(*chosen);
}

void ZoneExchange::tick() {
  this->watch_source();
  this->collector.expire(this->runtime.now());
  if (!this->collector.idle()) this->collect();
}

void ZoneExchange::watch_source() {
  const auto before = this->choice.source();
  const auto given_up = this->choice.poll(this->runtime.now());
  if (this->choice.source() == before) {
    if (this->choice.waits(this->runtime.now())) this->ask();
    return;
  }
  log_event(LogArea::kControl, LogLevel::kInfo, "collector_chosen",
            {{"collector", this->choice.source() ? this->choice.source()->value() : ""},
             {"silent", given_up ? given_up->value() : ""}});
  this->ask();
}

void ZoneExchange::ask() {
  if (this->on_ask) this->on_ask();
}

/// The choice for the other zones begins anew: silence from before means nothing.
void ZoneExchange::begin_collecting() {
  log_event(LogArea::kControl, LogLevel::kInfo, "collecting", {{"zone", this->zone.value()}});
  this->other_zones.clear();
  this->order_other_zones();
}

void ZoneExchange::collect() {
  const MonotonicTime now = this->runtime.now();
  ++this->sums_sent;
  LoadDigest zone_sum = this->digest(this->zone);
  zone_sum.node_count = this->collector.zone_nodes();
  zone_sum.range.load = this->collector.zone_load();
  zone_sum.updates = this->zone_news;
  this->send_to_zones(now, zone_sum);

  EngineNews news = std::exchange(this->zone_news, {});
  news.append(std::exchange(this->other_news, {}));
  // The zone's second collector knows all that the first does, and is asked by nobody.
  const auto subscribers = this->collector.subscribers();
  this->view_messages = 0;
  const bool own_source = this->choice.source() == this->self;
  if (subscribers.empty() && !own_source) return;
  LoadDigest fleet_sum = this->digest(ZoneName());
  fleet_sum.node_count = this->collector.fleet_nodes(now);
  fleet_sum.range.load = this->collector.fleet_load(now);
  fleet_sum.updates = std::move(news);
  this->send_to_members(subscribers, fleet_sum);
  if (own_source) this->take_own_sum(now, fleet_sum);
}

LoadDigest ZoneExchange::digest(const ZoneName& of_zone) const {
  LoadDigest digest;
  digest.collector = this->self;
  digest.number = {this->boot, this->sums_sent};
  digest.zone = of_zone;
  digest.revisions = this->seen;
  digest.store_age_ms = to_age_ms(this->runtime.now(), this->store_heard_at);
  return digest;
}

/// Two collectors of each other zone, and those that are heard from there.
void ZoneExchange::send_to_zones(MonotonicTime now, const LoadDigest& whole) {
  if (this->other_zones.empty()) return;
  const auto parts = encode_parts(whole);
  for (auto& [name, there] : this->other_zones) {
    there.poll(now);
    const std::vector<NodeId> likely = there.told(now);
    std::set<NodeId> targets(likely.begin(), likely.end());
    for (NodeId& heard : this->collector.heard_of(now, name)) targets.insert(std::move(heard));
    for (const NodeId& target : targets) {
      for (const std::string& part : parts) this->send(target, part);
    }
  }
}

void ZoneExchange::send_to_members(const std::vector<Subscriber>& subscribers,
                                   const LoadDigest& whole) {
  const auto parts = encode_parts(whole);
  this->view_messages = parts.size() * subscribers.size();
  for (const Subscriber& subscriber : subscribers) {
    if (subscriber.node == this->self) continue;
    for (const std::string& part : parts) {
      this->send(subscriber.node, encode_view(subscriber.counted, part));
    }
  }
}

/// A collector that listens to itself needs no messages.
void ZoneExchange::take_own_sum(MonotonicTime now, const LoadDigest& whole) {
  this->choice.on_view(now, this->self);
  this->note_view(now);
  this->take_sum(now, whole, this->told.empty() ? 0 : this->told.back().sequence);
}

}  // namespace shuntbank::relay
