/// @file
/// Control calls to engines over their published interface.
#pragma once

#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "core/roles/engine_controller.hpp"
#include "net/http_client.hpp"

namespace shuntbank {

/// Why a control call brought no state.
enum class EngineCallError {
  kNoAnswer,  ///< No usable answer; the call may have taken effect.
  kStale,     ///< The engine holds something newer and refused.
};

/// Sends claims, orders and reads to engines.
class EngineClient {
 public:
  using StateHandler = std::function<void(tl::expected<EngineState, EngineCallError>)>;

  explicit EngineClient(HttpClient& http) : http_(http) {}

  /// Raises the engine's fence; answers with its state.
  void claim(const std::string& address, Fence fence, StateHandler handler);

  /// Sends an order; answers with the engine's state after it.
  void send_order(const std::string& address, const EngineOrder& order, StateHandler handler);

  /// Reads the engine's state.
  void read_state(const std::string& address, StateHandler handler);

 private:
  void call(OutgoingRequest request, StateHandler handler);

  HttpClient& http_;
};

}  // namespace shuntbank
