#include "relay/catalog.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

constexpr double kBytesPerMegabit = 125'000;

void log_malformed(const store::StoredObject& object, const std::string& why) {
  log_event(LogArea::kPlatform, LogLevel::kError, "object_malformed",
            {{"name", object.name}, {"revision", object.revision}, {"why", why}});
}

}  // namespace

Catalog::Catalog(Runtime& runtime, store::ObjectStore& store, const CatalogCodec& codec,
                 RelayNode& node, const CatalogSettings& settings)
    : runtime_(runtime),
      codec_(codec),
      node_(node),
      settings_(settings),
      started_at_(runtime.now()) {
  store::KindWatchHandlers configuration;
  configuration.on_list = [this](const store::ObjectList& list) {
    for (const store::StoredObject& object : list.objects) take_configuration(object);
  };
  configuration.on_change = [this](const store::ObjectChange& change) {
    // Without a configuration the last one serves on.
    if (!change.deleted) take_configuration(change.object);
  };
  store::KindWatchHandlers engines;
  engines.on_list = [this](const store::ObjectList& list) { take_engines(list); };
  engines.on_change = [this](const store::ObjectChange& change) { take_engine_change(change); };
  store::KindWatchSettings watch;
  watch.freshness = store::Freshness::kMayLag;
  watch.confirm_first_list = settings.joins;
  store::KindWatchSettings whole = watch;
  whole.newest_only = true;
  configuration_ = std::make_unique<store::KindWatch>(runtime, store, codec.configuration_kind(),
                                                      whole, std::move(configuration));
  engines_ = std::make_unique<store::KindWatch>(runtime, store, codec.engine_kind(), watch,
                                                std::move(engines));
  node.on_fleet_changed([this](const Fleet& fleet) { pace(fleet); });
}

void Catalog::pace(const Fleet& fleet) {
  // Readers are few in any fleet, and the others go by their hints.
  const auto nodes = static_cast<std::int64_t>(reads_for_others_ ? 1 : fleet.nodes);
  const Duration wait =
      std::clamp(settings_.wait_a_node * nodes, settings_.shortest_wait, settings_.longest_wait);
  const Duration backoff = std::clamp(settings_.backoff_a_node * nodes, settings_.shortest_backoff,
                                      settings_.longest_backoff);
  for (const auto& watch : {configuration_.get(), engines_.get()}) {
    watch->set_wait(wait);
    watch->set_max_backoff(backoff);
  }
  engines_->set_batch_delay(std::clamp(settings_.gather_a_node * nodes, settings_.shortest_gather,
                                       settings_.longest_gather));
}

StoreProgress Catalog::progress() const {
  const std::uint64_t configuration = std::max(configuration_->newest_change(), in_force_revision_);
  return {{configuration, engines_->newest_change()},
          std::min(configuration_->confirmed_latest_at(), engines_->confirmed_latest_at())};
}

void Catalog::set_readers(const StoreReaders& readers) {
  // A node that has just started counts on the readers until it has had the time to hear of them.
  const MonotonicTime heard_at = std::max(readers.heard_at, started_at_);
  const bool others_read = runtime_.now() - heard_at <= settings_.readers_silent;
  read_with(readers.self || !others_read ? store::Freshness::kLatest : store::Freshness::kMayLag);
  if (std::exchange(reads_for_others_, readers.self) != readers.self) pace(node_.fleet());
}

void Catalog::read_with(store::Freshness freshness) {
  configuration_->set_freshness(freshness);
  engines_->set_freshness(freshness);
}

void Catalog::hint(const CatalogRevisions& revisions) {
  configuration_->hint(revisions.configuration);
  engines_->hint(revisions.engines);
  hinted_ = std::max(hinted_, revisions.configuration);
  if (hinted_ <= in_force_revision_ || hinted_timer_) return;
  ask_again_ = settings_.ask_peer_again;
  ask_peer_after(settings_.ask_peer_after);
}

void Catalog::ask_peer_after(Duration delay) {
  hinted_timer_ = runtime_.after(delay, [this] { look_for_hinted(); });
}

/// A peer tells what this node lacks, some kilobytes, where the store tells all: 245 KB of each
/// version with 1,450 routes, 0.2 s of an idle link of 10 Mbit/s. The store is asked all the same:
/// there may be nobody else who knows.
void Catalog::look_for_hinted() {
  hinted_timer_.reset();
  if (hinted_ <= in_force_revision_) return;
  if (ask_peer_) ask_peer_();
  ask_peer_after(ask_again_);
  ask_again_ = std::min(2 * ask_again_, settings_.longest_ask_peer);
}

ConfigurationCall Catalog::configuration_call() {
  const bool coming = configuration_->receiving();
  return {summary(), coming ? settings_.most_beside_store : kMaxConfigurationMessage};
}

const ConfigurationSummary& Catalog::summary() {
  const RouteTable* table = node_.table();
  if (table == nullptr) return summary_;
  if (std::exchange(summarized_, table->version()) != table->version()) {
    summary_ = summarize(table->configuration(), in_force_revision_);
  }
  summary_.revision = in_force_revision_;
  return summary_;
}

void Catalog::take_from_peer(ConfigurationMessage message) {
  if (message.revision <= in_force_revision_) return;
  const bool part = message.part.has_value();
  const RouteConfiguration nothing;
  const RouteConfiguration& held = node_.table() ? node_.table()->configuration() : nothing;
  auto whole = complete(std::move(message), held);
  if (!whole) {
    // Another configuration came into force since this node asked. It asks again.
    return log_event(LogArea::kConfig, LogLevel::kWarning, "config_part_unfit",
                     {{"in_force", in_force_revision_}, {"why", whole.error()}});
  }
  const std::uint64_t version = whole->configuration.version;
  log_event(
      LogArea::kConfig, LogLevel::kInfo, "config_from_peer",
      {{"version", version}, {"revision", whole->revision}, {"hinted", hinted_}, {"part", part}});
  node_.adopt(std::move(whole->configuration));
  note_in_force(version, whole->revision);
  configuration_->advance(in_force_revision_);
}

/// A configuration that was refused, or is older than the one in force, has no say.
void Catalog::note_in_force(std::uint64_t version, std::uint64_t revision) {
  if (node_.table() == nullptr || node_.table()->version() != version) return;
  in_force_revision_ = std::max(in_force_revision_, revision);
}

std::string Catalog::configuration_for_peer(const ConfigurationCall& call) {
  if (node_.table() == nullptr || in_force_revision_ <= call.known.revision) return "";
  ConfigurationMessage message{in_force_revision_, node_.table()->configuration()};
  if (call.known.revision != 0) message = part_for(call.known, std::move(message), summary());
  std::string bytes = encode(message);
  return bytes.size() <= call.most_bytes && may_give(bytes.size()) ? bytes : "";
}

/// Long answers to many peers at once would take this node's link from its callers.
bool Catalog::may_give(std::size_t bytes) {
  if (bytes <= settings_.long_answer) return true;
  const MonotonicTime now = runtime_.now();
  if (now < gives_again_at_) return false;
  // A machine may tell no link.
  const double megabits = std::max(1.0, settings_.link_megabits_per_second);
  const double bytes_a_second = settings_.link_share_for_peers * megabits * kBytesPerMegabit;
  gives_again_at_ = now + from_seconds(static_cast<double>(bytes) / bytes_a_second);
  return true;
}

void Catalog::take_configuration(const store::StoredObject& object) {
  if (object.name != codec_.configuration_name()) return;
  auto configuration = codec_.configuration(object.content);
  if (!configuration) return log_malformed(object, configuration.error());
  const std::uint64_t version = configuration->version;
  node_.adopt(std::move(*configuration));
  note_in_force(version, object.revision);
}

void Catalog::take_engines(const store::ObjectList& list) {
  std::vector<EngineRecord> records;
  for (const store::StoredObject& object : list.objects) {
    auto record = codec_.engine(object);
    if (record) {
      records.push_back(std::move(*record));
    } else {
      log_malformed(object, record.error());
    }
  }
  node_.set_engines(records);
}

void Catalog::take_engine_change(const store::ObjectChange& change) {
  if (change.deleted) return node_.remove_engine(change.object.name);
  const auto record = codec_.engine(change.object);
  if (!record) {
    log_malformed(change.object, record.error());
    return node_.distrust_engine(change.object.name);
  }
  node_.set_engine(*record);
}

Duration Catalog::configuration_age() const {
  return runtime_.now() - configuration_->confirmed_at();
}

Duration Catalog::engines_age() const {
  return runtime_.now() - engines_->confirmed_at();
}

}  // namespace shuntbank::relay
