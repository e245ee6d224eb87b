/// @file
/// Permits to send requests to engines that have named a limit. A limit holds over all nodes, so
/// that one node keeps each engine's limit and grants the sends, one by one and by demand; a node
/// without a permit sends such an engine nothing.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "core/relay/engine_directory.hpp"
#include "core/relay/keeper_choice.hpp"
#include "core/relay/permit_schedule.hpp"
#include "relay/engine_listener.hpp"
#include "relay/permit_peers.hpp"
#include "relay/relay_metrics.hpp"

namespace shuntbank::relay {

/// What it works with. All of it outlives it.
struct EnginePermitsIo {
  Runtime& runtime;
  EngineDirectory& engines;
  RelayMetrics& metrics;
  EngineListener& listener;
};

/// A permit is good for so long from its time: as long as a connection over a slow link may take.
/// The sends of a window are the permits of that much more.
constexpr Duration kPermitLifetime = std::chrono::milliseconds(400);

/// One send to an engine.
struct SendPermit {
  EngineId engine;
  MonotonicTime valid_from{};   ///< Not before.
  MonotonicTime valid_until{};  ///< Its first byte leaves by then, or not at all.
  double limit_per_second = 0;  ///< The limit that it was granted under; void under a lower one.

  bool operator==(const SendPermit&) const = default;
};

/// When a send that is asked for can be of use.
struct SendWindow {
  Duration earliest{};  ///< From now: it cannot leave before.
  Duration max_wait{};  ///< From then on.
};

/// The permits of one node: those that it asks for, and those that it grants as a keeper.
class EnginePermits {
 public:
  /// Called once: with a permit, or with nothing where none can be had in time.
  using Handler = std::function<void(std::optional<SendPermit>)>;

  /// @param seed tells this process from others of the same name.
  EnginePermits(const EnginePermitsIo& own_io, std::uint64_t seed) : io(own_io), boot_id(seed) {}

  /// Sets the way to the other nodes, and this node's name among them. Until their list is known
  /// nothing is granted. Without a call of this the node is alone.
  void connect(const NodeId& own_name, PermitPeers& others);
  /// The way to the other nodes is closed: nothing is granted any more.
  void disconnect() { this->peers = nullptr; }
  void set_nodes(std::vector<NodeId> nodes);

  bool limited(const EngineId& engine) const {
    return this->io.engines.limits().limit(engine).has_value();
  }

  /// Asks for one send, which may have to wait for its time. The handler may be called at once.
  void acquire(const EngineId& engine, const SendWindow& window, Handler handler);

  /// The permit was not used: nothing has reached the engine.
  void release(const SendPermit& permit);

  /// The last question before the first byte leaves.
  /// @return whether a request may go to the engine now.
  bool may_send(const EngineId& engine, const std::optional<SendPermit>& permit) const;

  /// Takes a message of another node.
  void on_call(const PermitCall& call);
  void on_answer(const PermitAnswer& answer);

 private:
  /// An engine whose limit this node keeps, or may come to keep.
  struct OwnedLimit {
    PermitSchedule schedule;
    std::optional<MonotonicTime> owner_since;
    std::optional<double> per_second;  ///< That the schedule goes by.
  };
  struct PendingCall {
    EngineId engine;
    MonotonicTime sent_at{};
    Handler handler;
    std::unique_ptr<Timer> timer;
  };
  struct Decision {
    PermitVerdict verdict = PermitVerdict::kNotTheKeeper;
    MonotonicTime send_at{};
    MonotonicTime next_at{};
  };

  void tick();
  void detect_stall();
  void update_ownership();
  bool is_owner(const EngineId& engine, OwnedLimit& owned);
  OwnedLimit& owned_limit(const EngineId& engine);
  /// @param span unset where only a sign of life is asked for.
  Decision decide(const EngineId& engine, const std::optional<SendWindow>& window);
  void acquire_from_owner(const NodeId& owner, const EngineId& engine, const SendWindow& window,
                          Handler handler);
  void send_call(const NodeId& node, const EngineId& engine, std::uint64_t number,
                 const std::optional<SendWindow>& window);
  void on_call_timeout(std::uint64_t number);
  std::optional<SendPermit> take_returned(const EngineId& engine, MonotonicTime needed_at);
  bool usable(const SendPermit& permit) const;
  void on_limit_report(const EngineId& engine, const ToldLimit& report);
  ToldLimit limit_report(const EngineId& engine) const;

  EnginePermitsIo io;
  NodeId self;
  std::uint64_t boot_id;
  bool standalone = true;
  PermitPeers* peers = nullptr;
  bool nodes_known = false;
  KeeperChoice owner_selector{NodeId()};
  MonotonicTime stable_since{};  ///< This node has run without a break, and known the others.
  MonotonicTime last_tick_at{};
  std::unordered_map<EngineId, OwnedLimit> owned_limits;
  std::map<std::uint64_t, PendingCall> pending_calls;
  std::vector<SendPermit> returned_permits;  ///< Given back and still good.
  std::uint64_t last_call_number = 0;
  std::unique_ptr<Periodic> ticker;
};

}  // namespace shuntbank::relay
