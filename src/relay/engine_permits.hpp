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
constexpr Duration kPermitLife = std::chrono::milliseconds(400);

/// One send to an engine.
struct SendPermit {
  EngineId engine;
  MonotonicTime from{};   ///< Not before.
  MonotonicTime until{};  ///< Its first byte leaves by then, or not at all.
  double a_second = 0;    ///< The limit that it was granted under; void under a lower one.

  bool operator==(const SendPermit&) const = default;
};

/// When a send that is asked for can be of use.
struct PermitSpan {
  Duration earliest{};      ///< From now: it cannot leave before.
  Duration longest_wait{};  ///< From then on.
};

/// The permits of one node: those that it asks for, and those that it grants as a keeper.
class EnginePermits {
 public:
  /// Called once: with a permit, or with nothing where none can be had in time.
  using Handler = std::function<void(std::optional<SendPermit>)>;

  /// @param seed tells this process from others of the same name.
  EnginePermits(const EnginePermitsIo& own_io, std::uint64_t seed) : io(own_io), boot(seed) {}

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
  void ask(const EngineId& engine, const PermitSpan& span, Handler handler);

  /// The permit was not used: nothing has reached the engine.
  void give_back(const SendPermit& permit);

  /// The last question before the first byte leaves.
  /// @return whether a request may go to the engine now.
  bool may_send(const EngineId& engine, const std::optional<SendPermit>& permit) const;

  /// Takes a message of another node.
  void on_call(const PermitCall& call);
  void on_answer(const PermitAnswer& answer);

 private:
  /// An engine whose limit this node keeps, or may come to keep.
  struct Kept {
    PermitSchedule schedule;
    std::optional<MonotonicTime> in_charge_since;
    std::optional<double> a_second;  ///< That the schedule goes by.
  };
  struct Pending {
    EngineId engine;
    MonotonicTime sent_at{};
    Handler handler;
    std::unique_ptr<Timer> timer;
  };
  struct Grant {
    PermitVerdict verdict = PermitVerdict::kNotOwner;
    MonotonicTime leaves{};
    MonotonicTime next{};
  };

  void tick();
  void notice_standstill();
  void look_around();
  bool in_charge(const EngineId& engine, Kept& kept);
  Kept& kept(const EngineId& engine);
  /// @param span unset where only a sign of life is asked for.
  Grant keep(const EngineId& engine, const std::optional<PermitSpan>& span);
  void ask_keeper(const NodeId& keeper, const EngineId& engine, const PermitSpan& span,
                  Handler handler);
  void call(const NodeId& node, const EngineId& engine, std::uint64_t number,
            const std::optional<PermitSpan>& span);
  void on_unanswered(std::uint64_t number);
  std::optional<SendPermit> take_spare(const EngineId& engine, MonotonicTime needed_at);
  bool usable(const SendPermit& permit) const;
  void take_limit(const EngineId& engine, const ToldLimit& told);
  ToldLimit told_limit(const EngineId& engine) const;

  EnginePermitsIo io;
  NodeId self;
  std::uint64_t boot;
  bool alone = true;
  PermitPeers* peers = nullptr;
  bool nodes_known = false;
  KeeperChoice choice{NodeId()};
  MonotonicTime calm_since{};  ///< This node has run without a break, and known the others.
  MonotonicTime looked_at{};
  std::unordered_map<EngineId, Kept> keeping;
  std::map<std::uint64_t, Pending> pending;
  std::vector<SendPermit> spare;  ///< Given back and still good.
  std::uint64_t numbers = 0;
  std::unique_ptr<Periodic> ticks;
};

}  // namespace shuntbank::relay
