/// @file
/// Processes notices that engines send in response headers, independent of the request.
#pragma once

#include <functional>
#include <string_view>

#include "common/runtime.hpp"
#include "core/relay/engine_directory.hpp"
#include "relay/engine_dialect.hpp"
#include "relay/relay_metrics.hpp"

namespace shuntbank::relay {

/// Dependencies; all must outlive the listener.
struct EngineListenerIo {
  Runtime& runtime;
  const EngineDialect& dialect;
  EngineDirectory& engines;
  RelayMetrics& metrics;
};

/// Processes the engine notices that one node receives itself or from other nodes.
class EngineListener {
 public:
  explicit EngineListener(const EngineListenerIo& own_io) : io(own_io) {}

  /// Sets the handler that forwards a draining notice to the other nodes.
  void on_trouble(std::function<void(const EngineTrouble&)> handler) {
    this->trouble_handler = std::move(handler);
  }

  /// Sets the handler that forwards a changed limit to the other nodes.
  void on_limit_changed(std::function<void(const LimitUpdate&)> handler) {
    this->limit_handler = std::move(handler);
  }

  /// Processes the head of a response that is verified to come from this engine.
  /// @param request request id for the log; empty for calls of the node itself.
  void on_response_head(const EngineId& engine, int status, const HttpHeaders& headers,
                        std::string_view request = {});

  /// An engine has announced that it drains, by a header or a report.
  void on_draining(const EngineId& engine, std::string_view request = {});

  /// Another node has received a limit from an engine.
  void on_peer_limit(const LimitUpdate& update);

  /// Another node reports trouble with an engine.
  void on_peer_trouble(const EngineTrouble& trouble);

 private:
  bool mark_draining(const EngineId& engine, const char* source, std::string_view request);
  void on_cooldown(const EngineId& engine, Duration requested, std::string_view request);
  void on_limit(const EngineId& engine, std::optional<double> per_second, std::string_view request);

  EngineListenerIo io;
  std::function<void(const EngineTrouble&)> trouble_handler;
  std::function<void(const LimitUpdate&)> limit_handler;
};

}  // namespace shuntbank::relay
