/// @file
/// Keeps a node's engine records in sync with the store. In a large fleet only the store readers
/// watch the store; the other nodes take the changes from them and from each other.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "core/relay/catalog_revisions.hpp"
#include "core/relay/engine_list.hpp"
#include "protocol/engine_list_message.hpp"
#include "relay/engine_list_check.hpp"
#include "relay/engine_list_status.hpp"
#include "relay/link_share.hpp"
#include "relay/relay_node.hpp"
#include "relay/relay_settings.hpp"
#include "store/kind_watch.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// Maps a store object to an engine record, or describes what is malformed.
using EngineDecoder =
    std::function<tl::expected<EngineRecord, std::string>(const store::StoredObject&)>;

/// The engines as one node reads them.
class EngineCatalog : public EngineListStatus {
 public:
  using UpdateHandler = std::function<void(const EngineListUpdate*)>;
  /// Requests an update from another node and passes it to the handler; null: none.
  using PeerFetch = std::function<void(const EngineListCall&, UpdateHandler)>;

  /// All references outlive this.
  /// @param kind of the store objects. @param large_answers bounds what peers are sent.
  EngineCatalog(Runtime& runtime, store::ObjectStore& store, const std::string& kind,
                EngineDecoder decoder, RelayNode& node, LinkShare& large_answers,
                const CatalogSettings& settings);
  ~EngineCatalog() override;
  EngineCatalog(const EngineCatalog&) = delete;
  EngineCatalog& operator=(const EngineCatalog&) = delete;

  /// Sets the function that asks other nodes, which are used once `use_peers` allows it.
  void set_peer_fetch(PeerFetch own_fetch) { this->peer_fetch = std::move(own_fetch); }

  /// Sets whether changes are taken from other nodes.
  void use_peers(bool use);

  bool uses_peers() const { return this->peers_used; }

  /// Updates which nodes read the store. Called regularly.
  void set_readers(const StoreReaders& own_readers);

  /// Another node has seen a change at `revision`.
  void hint(std::uint64_t revision);

  /// @return an encoded answer to another node; empty if it should ask elsewhere.
  std::string answer(const EngineListCall& call);

  /// Sets the timing of the watch for a fleet of this size.
  void set_timing(Duration wait, Duration max_backoff, Duration batch_delay);

  /// @return the revision of the newest change that this node has.
  std::uint64_t newest_change() const;

  /// @return when the store last answered this node with the latest state.
  MonotonicTime confirmed_latest_at() const { return this->watch->confirmed_latest_at(); }

  /// @return how long ago the state of this node was last known to be the store's.
  Duration age() const;

  void confirm(Handler handler) override;
  bool may_have_missed_engines() const override;

  /// @return for how long other nodes have reported a change that this node lacks.
  Duration behind() const { return this->watch->behind_for(); }

  /// @return whether this node watches the store itself.
  bool watching() const { return !this->watch->suspended(); }

 private:
  void apply_list(const store::ObjectList& list);
  void apply_change(const store::ObjectChange& change);
  ListedEngine read(const store::StoredObject& object) const;
  void on_changes_skipped();
  std::unique_ptr<EngineListCheck> make_check(store::ObjectStore& store, const std::string& kind);
  void on_update(const EngineListUpdate* update);
  void apply_update(const EngineListUpdate& update);
  void use_entry(const ListedEngine& engine);
  void update_source();
  store::Freshness watch_freshness() const;
  bool falls_back();
  const char* peer_failure() const;
  bool has_cached_answer(const EngineListCall& call) const;
  void schedule_fetch();
  void fetch();
  bool needs_update() const {
    return this->list.revision() == 0 || this->list.revision() < this->watch->newest_hint();
  }

  Runtime& runtime;
  EngineDecoder decoder;
  RelayNode& node;
  LinkShare& large_answers;
  CatalogSettings settings;
  MonotonicTime started_at;
  EngineList list;
  std::uint64_t newest_removal = 0;  ///< Revision of the last batch that removed engines.
  std::unique_ptr<store::KindWatch> watch;
  std::unique_ptr<EngineListCheck> check;
  StoreReaders readers;
  bool peers_used = false;
  MonotonicTime peers_used_since{};
  MonotonicTime last_update_at{};                  ///< From another node.
  MonotonicTime current_at{};                      ///< Until then all changes are known.
  std::optional<MonotonicTime> changes_missed_at;  ///< When a state without them was adopted.
  MonotonicTime fallback_until{};  ///< Until then the store is watched without being a reader.
  PeerFetch peer_fetch;
  std::unique_ptr<Timer> fetch_timer;
  MonotonicTime next_fetch_at{};
  Duration fetch_backoff{};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  /// The last answer, as many nodes lack the same changes.
  struct CachedAnswer {
    std::uint64_t known = 0;
    std::uint64_t revision = 0;
    bool complete = false;
    std::string bytes;
  };
  CachedAnswer cached_answer;
};

}  // namespace shuntbank::relay
