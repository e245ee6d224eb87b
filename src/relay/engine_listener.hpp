/// @file
/// Hears what engines say of themselves in the heads of their answers, whatever was asked of them.
#pragma once

#include <functional>
#include <string_view>

#include "common/runtime.hpp"
#include "core/relay/engine_directory.hpp"
#include "relay/engine_dialect.hpp"
#include "relay/relay_metrics.hpp"

namespace shuntbank::relay {

/// What it works with. All of it outlives it.
struct EngineListenerIo {
  Runtime& runtime;
  const EngineDialect& dialect;
  EngineDirectory& engines;
  RelayMetrics& metrics;
};

/// The listener of one node.
class EngineListener {
 public:
  explicit EngineListener(const EngineListenerIo& own_io) : io(own_io) {}

  /// Sets who is told that an engine leaves, for the other nodes.
  void on_trouble(std::function<void(const EngineTrouble&)> handler) {
    this->trouble_handler = std::move(handler);
  }

  /// Sets who is told that an engine has changed its limit, for the other nodes.
  void on_limit_changed(std::function<void(const LimitNews&)> handler) {
    this->limit_handler = std::move(handler);
  }

  /// The head of an answer has come that is known to be this engine's.
  /// @param request whose answer it is, for the log; empty for a call of the node's own.
  void on_response_head(const EngineId& engine, int status, const HttpHeaders& headers,
                        std::string_view request = {});

  /// An engine has said, in whatever way, that it leaves.
  void on_draining(const EngineId& engine, std::string_view request = {});

  /// Another node has heard a limit of an engine.
  void on_peer_limit(const LimitNews& news);

  /// Another node has met trouble at an engine.
  void on_peer_trouble(const EngineTrouble& trouble);

 private:
  bool mark_draining(const EngineId& engine, const char* source, std::string_view request);
  void on_cooldown(const EngineId& engine, Duration requested, std::string_view request);
  void on_limit(const EngineId& engine, std::optional<double> per_second, std::string_view request);

  EngineListenerIo io;
  std::function<void(const EngineTrouble&)> trouble_handler;
  std::function<void(const LimitNews&)> limit_handler;
};

}  // namespace shuntbank::relay
