/// @file
/// Permits to send requests to engines with a rate limit. A limit applies to all nodes together, so
/// one node owns each engine's limit and grants sends one by one on demand. Nodes send nothing to a
/// limited engine without a permit.
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
#include "core/relay/permit_schedule.hpp"
#include "relay/engine_listener.hpp"
#include "relay/limit_ownership.hpp"
#include "relay/permit_peers.hpp"
#include "relay/relay_metrics.hpp"

namespace shuntbank::relay {

/// Dependencies; all must outlive the permits.
struct EnginePermitsIo {
  Runtime& runtime;
  EngineDirectory& engines;
  RelayMetrics& metrics;
  EngineListener& listener;
};

/// How long a permit is valid: covers connection setup over a slow link. A rate window may exceed
/// its limit by the permits of this time.
constexpr Duration kPermitLifetime = std::chrono::milliseconds(400);

/// Permission for one send to an engine.
struct SendPermit {
  EngineId engine;
  MonotonicTime valid_from{};
  MonotonicTime valid_until{};  ///< Latest time for the first byte.
  double limit_per_second = 0;  ///< Limit at the time of the grant; a lower one voids the permit.

  bool operator==(const SendPermit&) const = default;
};

/// Time window in which a requested send is useful.
struct SendWindow {
  Duration earliest{};  ///< From now.
  Duration max_wait{};  ///< From `earliest`.
};

/// Requests permits for this node, and grants permits for the limits that it owns.
class EnginePermits {
 public:
  /// Called once, with a permit or with nothing if none is available in time.
  using Handler = std::function<void(std::optional<SendPermit>)>;

  /// @param seed distinguishes this process from earlier ones of the same node.
  EnginePermits(const EnginePermitsIo& own_io, std::uint64_t seed)
      : io(own_io), boot_id(seed), ownership(own_io.runtime) {}

  /// Connects to the other nodes. Grants nothing until `set_nodes`. A node that is never connected
  /// owns all limits.
  void connect(const NodeId& own_name, PermitPeers& others);
  /// Disconnects from the other nodes; no permits are granted from here on.
  void disconnect() { this->ownership.disconnect(); }
  void set_nodes(std::vector<NodeId> nodes) { this->ownership.set_nodes(std::move(nodes)); }

  bool limited(const EngineId& engine) const {
    return this->io.engines.limits().limit(engine).has_value();
  }

  /// Requests a permit for one send, which may start later. The handler may run before this
  /// returns.
  void acquire(const EngineId& engine, const SendWindow& window, Handler handler);

  /// Returns an unused permit: nothing has reached the engine.
  void release(const SendPermit& permit);

  /// Final check before the first byte is sent.
  /// @return whether a request may be sent to the engine now.
  bool may_send(const EngineId& engine, const std::optional<SendPermit>& permit) const;

  /// Handle messages of other nodes.
  void on_call(const PermitCall& call);
  void on_answer(const PermitAnswer& answer);

 private:
  /// Grant schedule of one engine's limit.
  struct LimitState {
    PermitSchedule schedule;
    std::optional<double> per_second;  ///< Rate of the schedule.
  };
  struct PendingCall {
    EngineId engine;
    MonotonicTime sent_at{};
    Handler handler;
    std::unique_ptr<Timer> timer;
  };
  struct Decision {
    PermitVerdict verdict = PermitVerdict::kNotOwner;
    MonotonicTime send_at{};
    MonotonicTime next_at{};
  };

  void tick();
  void update_ownership();
  /// @return whether and since when this node owns the engine's limit.
  LimitTenure tenure(const EngineId& engine, LimitState& state);
  LimitState& limit_state(const EngineId& engine);
  /// @param window unset to only probe the owner.
  Decision decide(const EngineId& engine, const std::optional<SendWindow>& window);
  void acquire_from_owner(const NodeId& owner, const EngineId& engine, const SendWindow& window,
                          Handler handler);
  void send_call(const NodeId& node, const EngineId& engine, std::uint64_t number,
                 const std::optional<SendWindow>& window);
  void on_call_timeout(std::uint64_t number);
  std::optional<SendPermit> take_returned(const EngineId& engine, MonotonicTime needed_at);
  bool usable(const SendPermit& permit) const;
  void on_limit_report(const EngineId& engine, const LimitReport& report);
  LimitReport limit_report(const EngineId& engine) const;

  EnginePermitsIo io;
  std::uint64_t boot_id;
  LimitOwnership ownership;
  std::unordered_map<EngineId, LimitState> limit_states;
  std::map<std::uint64_t, PendingCall> pending_calls;
  std::vector<SendPermit> returned_permits;  ///< Unused and still valid.
  std::uint64_t last_call_number = 0;
  std::unique_ptr<Periodic> ticker;
};

}  // namespace shuntbank::relay
