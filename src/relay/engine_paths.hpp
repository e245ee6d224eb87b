/// @file
/// The network paths from this node to the engines: checks the direct ones, and knows the nodes
/// through which engines can be reached meanwhile.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/engine_reachability.hpp"
#include "core/relay/tunnel_peers.hpp"
#include "net/connection_probe.hpp"
#include "net/http_client.hpp"
#include "relay/relay_metrics.hpp"

namespace shuntbank::relay {

/// Other nodes that are asked for a path to an engine, one after the other. A whole zone may be cut
/// off, and a second node may just have failed. An engine has ended if it refuses all of them.
constexpr std::size_t kMaxPeersAsked = 3;

/// An attempt that is silent for this long has its path checked. Sound engines may pause for
/// longer; the check tells them from a broken path.
constexpr Duration kMaxAttemptSilence = std::chrono::milliseconds(400);

/// Dependencies; all must outlive the paths.
struct EnginePathsIo {
  Runtime& runtime;
  const EngineDirectory& engines;
  RelayMetrics& metrics;
  ConnectionProbe* probe = nullptr;  ///< Null: the direct paths are taken for sound.
};

/// The paths of one node.
class EnginePaths {
 public:
  using VerifyHandler = std::function<void(bool reaches_engines)>;

  explicit EnginePaths(const EnginePathsIo& own_io);
  ~EnginePaths();
  EnginePaths(const EnginePaths&) = delete;
  EnginePaths& operator=(const EnginePaths&) = delete;

  /// Bytes of an engine have arrived directly.
  void on_answer(const EngineId& engine) { this->direct.on_answer(this->io.runtime.now(), engine); }

  /// No direct connection to an engine could be made.
  void on_connect_failed(const EngineId& engine, bool refused);

  /// A direct attempt has been without a byte for a while. @param overdue whether the engine was
  /// expected to have sent something by now.
  void on_silent_attempt(const EngineId& engine, bool overdue);

  /// Checks whether this node reaches engines, which tells a failed engine from a broken path.
  void verify(VerifyHandler handler);

  /// @return whether this node reaches no engine directly.
  bool path_broken() const { return this->direct.path_broken(); }

  /// @return whether a direct connection to an engine is not worth trying.
  bool is_broken(const EngineId& engine) const {
    return this->path_broken() || this->direct.find_broken(engine) != nullptr;
  }

  /// @return what another node that asks for a tunnel to an engine is told, unless this node can
  /// try to connect.
  std::optional<TunnelStatus> tunnel_refusal(const EngineId& engine) const;

  /// @return whether another node reaches the engines while this one does not.
  bool bypassed() const;

  /// @return the route of a connection through the next node that is worth asking, if any.
  std::optional<TunnelRoute> choose_tunnel(const EngineId& engine,
                                           const std::vector<std::string>& tried) const;

  /// A tunnel has carried an answer, or was not opened.
  void on_tunnel_used(const TunnelRoute& tunnel);
  void on_tunnel_failed(const TunnelRoute& tunnel, std::optional<TunnelStatus> status);

  TunnelPeers& peers() { return this->tunnel_peers; }
  const EngineReachability& reachability() const { return this->direct; }

  /// @return whether so many other nodes that could not connect either show that it is the engine's
  /// fault, rather than that of the paths.
  bool confirmed(const EngineId& engine, std::size_t refusals) const;

  /// Sets the handler that is called when no engine is reachable any more.
  void on_path_lost(std::function<void()> handler) { this->lost_handler = std::move(handler); }

  /// Sets the handler that gets the address of an engine whose host stopped answering.
  void on_engine_unreachable(std::function<void(const std::string&)> handler) {
    this->unreachable_handler = std::move(handler);
  }

  /// Sets the handler that reports silent attempts; called several times a second.
  void on_tick(std::function<void()> handler) { this->tick_handler = std::move(handler); }

 private:
  /// A check of whether any engine is reachable.
  struct Check {
    std::vector<std::string> addresses;  ///< Not yet probed.
    std::size_t pending = 0;
    std::size_t missing = 1;  ///< Connections until the check succeeds.
    std::unique_ptr<Timer> timer;
  };

  void tick();
  void check();
  void probe(const EngineId& engine);
  std::vector<std::string> engines_to_check() const;
  void probe_next(const std::shared_ptr<Check>& running);
  void probe_rest(const std::shared_ptr<Check>& running);
  void on_probed(const std::shared_ptr<Check>& running, bool connected);
  void finish_check(bool connected);

  EnginePathsIo io;
  EngineReachability direct;
  TunnelPeers tunnel_peers;
  std::shared_ptr<Check> running_check;
  std::optional<MonotonicTime> connected_at;  ///< End of the last successful check.
  std::vector<VerifyHandler> waiting;         ///< For the end of the check.
  std::function<void()> lost_handler;
  std::function<void(const std::string&)> unreachable_handler;
  std::function<void()> tick_handler;
  std::map<EngineId, MonotonicTime> silence_probes;  ///< The last probe for an overdue answer.
  std::unique_ptr<Periodic> ticker;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
