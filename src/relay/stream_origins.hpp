/// @file
/// Remembers which software began each stream, so that any node can go on with it at the same
/// version. A stream's origin never changes once its first event was forwarded, so that copies
/// cannot disagree: the node that forwards its events sends them to replicas, and repeats this
/// while the stream runs, for replicas that were lost or restarted.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "core/relay/service_versions.hpp"
#include "core/relay/stream_table.hpp"
#include "net/peer_transport.hpp"
#include "protocol/stream_message.hpp"
#include "relay/engine_list_status.hpp"
#include "relay/peer_directory.hpp"

namespace shuntbank::relay {

/// The streams of this node and copies of others'. A node that is never connected knows only its
/// own.
class StreamOrigins {
 public:
  /// Called once; unset: unknown.
  using Handler = std::function<void(const std::optional<StreamOrigin>&)>;

  /// All references outlive this. @param bootstrap see `ServiceVersions`.
  /// @param seed distinguishes this process from earlier ones of the same node.
  StreamOrigins(Runtime& own_runtime, const EngineDirectory& own_engines, bool bootstrap,
                std::uint64_t seed);

  void connect(PeerTransport& own_transport, const PeerDirectory& own_peers);
  void disconnect();

  /// Sets what tells whether the list of engines is current; null: nothing does, so that no origin
  /// follows from the list.
  void set_engine_list(EngineListStatus* status) { this->engine_list = status; }

  /// The list of engines is known, or has changed.
  void on_engines_changed() {
    this->engines_known = true;
    this->engines_changed = true;
  }

  /// An engine is listed. Its version counts as seen even if it is gone before the next check.
  void on_engine_listed(const EngineRecord& engine);

  /// Sets the handler for versions that were not seen lately.
  void on_new_version(std::function<void()> handler) {
    this->new_version_handler = std::move(handler);
  }

  /// See `ServiceVersions::set_max_stream_age`.
  void set_max_stream_age(Duration age) { this->versions.set_max_stream_age(age); }

  /// @return the versions that this node has seen; see `ServiceVersions::sightings`.
  std::optional<std::vector<VersionSighting>> sightings();
  /// @return the versions of each service; see `ServiceVersions::all_recent`.
  std::map<ServiceName, std::set<std::string>> recent_versions();
  /// Adds the observation of a node that has run for longer.
  void adopt_sightings(const std::vector<VersionSighting>& sightings);

  /// This node forwards the stream's events from now on.
  void hold(StreamKey key, const StreamOrigin& origin);
  /// It no longer does. @param finished whether the caller has got the whole stream.
  void release(StreamKey key, bool finished);

  /// Finds where a stream began. The handler may run before this returns.
  /// @param service the only one where it may have begun; unset: there are several. Its version
  /// counts as the origin if it has had no other since the stream can have begun, and the store has
  /// confirmed this after the call.
  void find(StreamKey key, const std::optional<ServiceName>& service, Handler handler);

  /// Sets the function that looks for streams which no node knows any more; null: there is none.
  void set_archive(std::function<void(StreamKey, Handler)> find) {
    this->find_archived = std::move(find);
  }

  /// Sets the handler for each stream whose events this node begins to forward.
  void on_stream_held(std::function<void()> handler) {
    this->stream_held_handler = std::move(handler);
  }

  /// @return the streams that this node forwards, and those that broke off some seconds ago, of
  /// services with several software versions.
  std::map<StreamKey, StreamOrigin> origins_to_keep();

  static bool handles(std::string_view bytes);
  void on_message(std::string_view bytes);

  std::size_t known_streams() const { return this->table.size(); }

 private:
  struct Held {
    StreamOrigin origin;
    MonotonicTime sent_at{};
  };
  struct Released {
    StreamOrigin origin;
    MonotonicTime at{};
  };
  struct Lookup {
    StreamKey key = 0;
    std::optional<ServiceName> service;
    Handler handler;
    std::set<NodeId> asked;
    std::set<NodeId> unanswered;  ///< Of these.
    RecentVersions recent;
    bool any_answer = false;
    bool confirming = false;  ///< The store is asked whether the list of engines is current.
    bool archived = false;    ///< Looked for in the archive.
    int calls = 0;
    std::unique_ptr<Timer> timer;
  };

  void tick();
  void observe_versions();
  void send_record(StreamKey key, const StreamOrigin& origin);
  void refresh_held();
  void ask(std::uint64_t number);
  void add_nodes(Lookup& lookup) const;
  void finish(std::uint64_t number, const std::optional<StreamOrigin>& origin);
  void finish_unknown(std::uint64_t number);
  bool may_have_missed_engines() const;
  void confirm_sole_version(std::uint64_t number);
  void on_confirmed(std::uint64_t number, bool confirmed);
  void find_in_archive(std::uint64_t number);
  void on_call(const StreamCall& call);
  void on_answer(const StreamAnswer& answer);
  void send(const NodeId& node, std::string_view bytes);

  Runtime& runtime;
  const EngineDirectory& engines;
  std::uint64_t boot_id;
  bool engines_known = false;
  bool engines_changed = false;  ///< Since the versions were last observed.
  PeerTransport* transport = nullptr;
  const PeerDirectory* peers = nullptr;
  EngineListStatus* engine_list = nullptr;
  StreamTable table;
  ServiceVersions versions;
  std::map<StreamKey, Held> held;
  std::map<StreamKey, Released> released;  ///< Broke off some seconds ago.
  StreamKey last_refreshed = 0;
  std::map<std::uint64_t, Lookup> lookups;
  std::uint64_t last_number = 0;
  std::function<void()> new_version_handler;
  std::function<void(StreamKey, Handler)> find_archived;
  std::function<void()> stream_held_handler;
  std::unique_ptr<Periodic> ticker;
};

}  // namespace shuntbank::relay
