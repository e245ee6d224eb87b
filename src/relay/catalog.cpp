#include "relay/catalog.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "relay/fallback_timing.hpp"

namespace shuntbank::relay {
namespace {

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
      large_answers_(runtime, {settings.link_megabits_per_second, settings.peer_bandwidth_share,
                               settings.large_answer_bytes}),
      started_at_(runtime.now()) {
  store::KindWatchHandlers configuration;
  configuration.on_list = [this](const store::ObjectList& list) {
    for (const store::StoredObject& object : list.objects) apply_configuration(object);
  };
  configuration.on_change = [this](const store::ObjectChange& change) {
    // If the object is deleted, the last configuration stays active.
    if (!change.deleted) apply_configuration(change.object);
  };
  store::KindWatchSettings watch;
  watch.freshness = store::Freshness::kMayLag;
  watch.confirm_first_list = settings.join_existing;
  watch.newest_only = true;
  configuration_ = std::make_unique<store::KindWatch>(runtime, store, codec.configuration_kind(),
                                                      watch, std::move(configuration));
  engines_ = std::make_unique<EngineCatalog>(
      runtime, store, codec.engine_kind(),
      [&codec](const store::StoredObject& object) { return codec.engine(object); }, node,
      large_answers_, settings);
  node.on_fleet_changed([this](const Fleet& fleet) { update_timing(fleet); });
}

void Catalog::update_timing(const Fleet& fleet) {
  // The number of store readers does not grow with the fleet.
  const auto nodes = static_cast<std::int64_t>(is_store_reader_ ? 1 : fleet.nodes);
  Duration wait =
      std::clamp(settings_.wait_per_node * nodes, settings_.min_wait, settings_.max_wait);
  if (is_store_reader_ && engines_->uses_peers())
    wait = fallback_timing(settings_, fleet).reader_wait;
  const Duration backoff = std::clamp(settings_.backoff_limit_per_node * nodes,
                                      settings_.min_backoff_limit, settings_.max_backoff_limit);
  configuration_->set_wait(wait);
  configuration_->set_max_backoff(backoff);
  engines_->set_timing(wait, backoff,
                       std::clamp(settings_.batch_delay_per_node * nodes, settings_.min_batch_delay,
                                  settings_.max_batch_delay));
}

StoreProgress Catalog::progress() const {
  const std::uint64_t configuration = std::max(configuration_->newest_change(), active_revision_);
  return {{configuration, engines_->newest_change()},
          std::min(configuration_->confirmed_latest_at(), engines_->confirmed_latest_at())};
}

void Catalog::use_peers(bool use) {
  if (engines_->uses_peers() == use) return;
  engines_->use_peers(use);
  update_timing(node_.fleet());
}

void Catalog::set_readers(const StoreReaders& readers) {
  // The calls that a new reader begins wait as long as a reader's.
  if (std::exchange(is_store_reader_, readers.self) != readers.self) update_timing(node_.fleet());
  // A starting node assumes that there are readers until it could have received their reports.
  const MonotonicTime confirmed_at = std::max(readers.confirmed_at, started_at_);
  const bool other_readers_active = runtime_.now() - confirmed_at <= reader_timeout();
  configuration_->set_freshness(readers.self || !other_readers_active ? store::Freshness::kLatest
                                                                      : store::Freshness::kMayLag);
  engines_->set_readers(readers);
}

Duration Catalog::reader_timeout() const {
  if (!engines_->uses_peers()) return settings_.reader_timeout;
  return fallback_timing(settings_, node_.fleet()).reader_timeout;
}

void Catalog::hint(const CatalogRevisions& revisions) {
  configuration_->hint(revisions.configuration);
  engines_->hint(revisions.engines);
  hinted_revision_ = std::max(hinted_revision_, revisions.configuration);
  if (hinted_revision_ <= active_revision_ || peer_fetch_timer_) return;
  peer_fetch_backoff_ = settings_.initial_peer_fetch_backoff;
  schedule_peer_fetch(settings_.peer_fetch_delay);
}

void Catalog::schedule_peer_fetch(Duration delay) {
  peer_fetch_timer_ = runtime_.after(delay, [this] { fetch_hinted(); });
}

/// Peers send only the difference, a few kilobytes. The store always sends the whole configuration:
/// about 245 KB with 1,450 routes, which takes 0.2 s on an idle link of 10 Mbit/s. The store watch
/// continues, as no peer may have the newest version.
void Catalog::fetch_hinted() {
  peer_fetch_timer_.reset();
  if (hinted_revision_ <= active_revision_) return;
  if (peer_fetch_) peer_fetch_();
  schedule_peer_fetch(peer_fetch_backoff_);
  peer_fetch_backoff_ = std::min(2 * peer_fetch_backoff_, settings_.max_peer_fetch_backoff);
}

ConfigurationCall Catalog::configuration_call() {
  const bool receiving = configuration_->receiving();
  return {own_summary(),
          receiving ? settings_.max_peer_answer_while_receiving : kMaxConfigurationMessage};
}

const ConfigurationSummary& Catalog::own_summary() {
  const RouteTable* table = node_.table();
  if (table == nullptr) return summary_;
  if (std::exchange(summarized_version_, table->version()) != table->version()) {
    summary_ = summarize(table->configuration(), active_revision_);
  }
  summary_.revision = active_revision_;
  return summary_;
}

void Catalog::apply_peer_configuration(ConfigurationMessage message) {
  if (message.revision <= active_revision_) return;
  const bool partial = message.delta.has_value();
  const RouteConfiguration empty;
  const RouteConfiguration& active = node_.table() ? node_.table()->configuration() : empty;
  auto completed = apply_delta(std::move(message), active);
  if (!completed) {
    // The active configuration changed after the request. The next retry requests it again.
    return log_event(LogArea::kConfig, LogLevel::kWarning, "config_part_unfit",
                     {{"in_force", active_revision_}, {"why", completed.error()}});
  }
  const std::uint64_t version = completed->configuration.version;
  log_event(LogArea::kConfig, LogLevel::kInfo, "config_from_peer",
            {{"version", version},
             {"revision", completed->revision},
             {"hinted", hinted_revision_},
             {"part", partial}});
  node_.adopt(std::move(completed->configuration));
  update_active_revision(version, completed->revision);
  configuration_->advance(active_revision_);
}

/// Ignores configurations that were rejected or superseded.
void Catalog::update_active_revision(std::uint64_t version, std::uint64_t revision) {
  if (node_.table() == nullptr || node_.table()->version() != version) return;
  active_revision_ = std::max(active_revision_, revision);
}

std::string Catalog::configuration_for_peer(const ConfigurationCall& call) {
  if (node_.table() == nullptr || active_revision_ <= call.known.revision) return "";
  ConfigurationMessage message{active_revision_, node_.table()->configuration()};
  if (call.known.revision != 0) message = make_delta(call.known, std::move(message), own_summary());
  std::string bytes = encode(message);
  return bytes.size() <= call.max_bytes && large_answers_.admit(bytes.size()) ? bytes : "";
}

void Catalog::apply_configuration(const store::StoredObject& object) {
  if (object.name != codec_.configuration_name()) return;
  auto configuration = codec_.configuration(object.content);
  if (!configuration) return log_malformed(object, configuration.error());
  const std::uint64_t version = configuration->version;
  node_.adopt(std::move(*configuration));
  update_active_revision(version, object.revision);
}

Duration Catalog::configuration_age() const {
  return runtime_.now() - configuration_->confirmed_at();
}

}  // namespace shuntbank::relay
