/// @file
/// Keeps a relay node's configuration and engine records in sync with the store.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "core/relay/catalog_revisions.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/routes.hpp"
#include "protocol/configuration_message.hpp"
#include "relay/engine_catalog.hpp"
#include "relay/link_share.hpp"
#include "relay/relay_node.hpp"
#include "relay/relay_settings.hpp"
#include "store/kind_watch.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// Maps store objects to configuration and engine records. Contains no policy.
class CatalogCodec {
 public:
  CatalogCodec() = default;
  virtual ~CatalogCodec() = default;
  CatalogCodec(const CatalogCodec&) = delete;
  CatalogCodec& operator=(const CatalogCodec&) = delete;

  virtual std::string configuration_kind() const = 0;
  virtual std::string configuration_name() const = 0;
  virtual std::string engine_kind() const = 0;

  /// @return the configuration, or a description of what is malformed.
  virtual tl::expected<RouteConfiguration, std::string> configuration(
      const nlohmann::json& content) const = 0;

  /// @return the engine's record, or a description of what is malformed.
  virtual tl::expected<EngineRecord, std::string> engine(
      const store::StoredObject& object) const = 0;
};

/// Watches configuration and engine objects until it is destroyed.
class Catalog {
 public:
  Catalog(Runtime& runtime, store::ObjectStore& store, const CatalogCodec& codec, RelayNode& node,
          const CatalogSettings& settings);
  Catalog(const Catalog&) = delete;
  Catalog& operator=(const Catalog&) = delete;

  /// @return the newest revisions that this node has seen, and when the store confirmed them.
  StoreProgress progress() const;

  /// Sets whether changes of engines are taken from other nodes.
  void use_peers(bool use);

  /// Sets which nodes read the newest store state. While others do, this node accepts stale reads
  /// and relies on their hints.
  void set_readers(const StoreReaders& readers);

  /// Reports that another node has seen changes up to these revisions.
  void hint(const CatalogRevisions& revisions);

  /// Sets the function that requests the configuration from another node. The store may reject this
  /// node while it serves others, and a revoked key must not stay valid here.
  void set_peer_fetch(std::function<void()> peer_fetch) { peer_fetch_ = std::move(peer_fetch); }

  /// @return a request to another node for everything newer than the active configuration.
  ConfigurationCall configuration_call();

  /// Applies a configuration received from another node unless it is older than the active one.
  void apply_peer_configuration(ConfigurationMessage message);

  /// @return the parts of the active configuration that the caller lacks; empty if there are none
  /// or the caller should ask another node.
  std::string configuration_for_peer(const ConfigurationCall& call);

  /// @return the engines, which can be taken from other nodes.
  EngineCatalog& engines() { return *engines_; }

  /// @return how long ago the store last confirmed the configuration.
  Duration configuration_age() const;

 private:
  void apply_configuration(const store::StoredObject& object);
  void update_timing(const Fleet& fleet);
  Duration reader_timeout() const;
  void update_active_revision(std::uint64_t version, std::uint64_t revision);
  void schedule_peer_fetch(Duration delay);
  void fetch_hinted();
  const ConfigurationSummary& own_summary();

  Runtime& runtime_;
  const CatalogCodec& codec_;
  RelayNode& node_;
  std::unique_ptr<store::KindWatch> configuration_;
  std::unique_ptr<EngineCatalog> engines_;
  CatalogSettings settings_;
  LinkShare large_answers_;
  MonotonicTime started_at_;
  bool is_store_reader_ = false;
  std::uint64_t active_revision_ = 0;     ///< Store revision of the active configuration.
  std::uint64_t hinted_revision_ = 0;     ///< Newest revision reported by other nodes.
  Duration peer_fetch_backoff_{};         ///< Delay before the next peer is asked.
  ConfigurationSummary summary_;          ///< Summary of `summarized_version_`.
  std::uint64_t summarized_version_ = 0;  ///< Version of `summary_`; 0: none.
  std::function<void()> peer_fetch_;
  std::unique_ptr<Timer> peer_fetch_timer_;
};

}  // namespace shuntbank::relay
