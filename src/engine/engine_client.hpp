/// @file
/// Control calls to engines over their published interface.
#pragma once

#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "core/roles/engine_controller.hpp"
#include "net/http_client.hpp"

namespace shuntbank {

/// Why a control call returned no state.
enum class EngineCallError {
  kNoAnswer,  ///< No usable answer; the call may have taken effect.
  kStale,     ///< The engine refused: it already has a higher fence or a newer order.
};

/// Sends claims, orders and state queries to engines.
class EngineClient {
 public:
  using StateHandler = std::function<void(tl::expected<EngineState, EngineCallError>)>;

  explicit EngineClient(HttpClient& http) : http_(http) {}

  /// Raises the engine's fence and passes its state to `handler`.
  void claim(const std::string& address, Fence fence, StateHandler handler);

  /// Sends an order and passes the resulting state to `handler`.
  void send_order(const std::string& address, const EngineOrder& order, StateHandler handler);

  /// Queries the engine's state.
  void read_state(const std::string& address, StateHandler handler);

 private:
  void call(OutgoingRequest request, StateHandler handler);

  HttpClient& http_;
};

}  // namespace shuntbank
