/// @file
/// Feeds a relay node from the store: the operator's configuration and the engines' records.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "core/relay/catalog_revisions.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/routes.hpp"
#include "protocol/configuration_message.hpp"
#include "relay/relay_node.hpp"
#include "relay/relay_settings.hpp"
#include "store/kind_watch.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// Reads objects of the store. Holds names and formats and decides nothing.
class CatalogCodec {
 public:
  CatalogCodec() = default;
  virtual ~CatalogCodec() = default;
  CatalogCodec(const CatalogCodec&) = delete;
  CatalogCodec& operator=(const CatalogCodec&) = delete;

  virtual std::string configuration_kind() const = 0;
  virtual std::string configuration_name() const = 0;
  virtual std::string engine_kind() const = 0;

  /// @return the configuration, or what cannot be read.
  virtual tl::expected<RouteConfiguration, std::string> configuration(
      const nlohmann::json& content) const = 0;

  /// @return the engine's record, or what cannot be read.
  virtual tl::expected<EngineRecord, std::string> engine(
      const store::StoredObject& object) const = 0;
};

/// Watches both kinds until it is destroyed.
class Catalog {
 public:
  Catalog(Runtime& runtime, store::ObjectStore& store, const CatalogCodec& codec, RelayNode& node,
          const CatalogSettings& settings);
  Catalog(const Catalog&) = delete;
  Catalog& operator=(const Catalog&) = delete;

  /// @return the newest changes that this node has seen, and when the store confirmed them.
  StoreProgress progress() const;

  /// Tells who reads the store. While others do, this node's own reading may lag: they give hints.
  void set_readers(const StoreReaders& readers);

  /// Another node has seen changes up to these.
  void hint(const CatalogRevisions& revisions);

  /// Sets how another node is asked for its configuration: the store may turn this node away while
  /// it serves the others, and a key that was taken away must not stay in force here.
  void set_peer_fetch(std::function<void()> peer_fetch) { peer_fetch_ = std::move(peer_fetch); }

  /// @return what this node asks of another one: all that is newer than its own.
  ConfigurationCall configuration_call();

  /// Another node has answered what `asking` asked.
  void apply_peer_configuration(ConfigurationMessage message);

  /// @return what another node lacks of the configuration in force; empty: nothing, or it should
  /// ask somebody else.
  std::string configuration_for_peer(const ConfigurationCall& call);

  /// @return how long ago the store last confirmed the configuration.
  Duration configuration_age() const;

  /// @return how long ago the store last confirmed the engines.
  Duration engines_age() const;

 private:
  void apply_configuration(const store::StoredObject& object);
  void apply_engines(const store::ObjectList& list);
  void apply_engine_change(const store::ObjectChange& change);
  void update_timing(const Fleet& fleet);
  void set_watch_freshness(store::Freshness freshness);
  void update_active_revision(std::uint64_t version, std::uint64_t revision);
  void schedule_peer_fetch(Duration delay);
  void fetch_hinted();
  const ConfigurationSummary& own_summary();
  bool admit_peer_answer(std::size_t bytes);

  Runtime& runtime_;
  const CatalogCodec& codec_;
  RelayNode& node_;
  std::unique_ptr<store::KindWatch> configuration_;
  std::unique_ptr<store::KindWatch> engines_;
  CatalogSettings settings_;
  MonotonicTime started_at_;
  bool is_store_reader_ = false;
  std::uint64_t active_revision_ = 0;     ///< Of the store, at which it holds what is in force.
  std::uint64_t hinted_revision_ = 0;     ///< Newest revision that others have told of.
  Duration peer_fetch_backoff_{};         ///< Until the next peer is asked.
  ConfigurationSummary summary_;          ///< Of `summarized_`.
  std::uint64_t summarized_version_ = 0;  ///< The version whose summary is known; 0: none.
  MonotonicTime next_large_answer_at_{};  ///< When peers may have a long answer again.
  std::function<void()> peer_fetch_;
  std::unique_ptr<Timer> peer_fetch_timer_;
};

}  // namespace shuntbank::relay
