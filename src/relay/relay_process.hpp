/// @file
/// A relay node with its sockets: caller and admin endpoints, metrics, the store watch, reload and
/// graceful shutdown.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "common/runtime.hpp"
#include "relay/catalog.hpp"
#include "relay/duty_service.hpp"
#include "relay/engine_dialect.hpp"
#include "relay/relay_settings.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// Listen addresses of a relay process, as IP:PORT. Empty ones are not served.
struct RelayAddresses {
  std::string callers;
  std::string ready;
  std::string control;
  std::string metrics;
  std::string peers;  ///< For messages between relay nodes.
};

/// Interfaces to the platform, implemented by its adapter. All of them outlive the process.
struct PlatformPorts {
  store::ObjectStore& store;
  const CatalogCodec& codec;
  const EngineDialect& dialect;
  DutyService* duties = nullptr;  ///< Null where the platform has no fleet-wide duties.
};

/// One relay process. Runs on the event loop's thread.
class RelayProcess {
 public:
  /// Listens at once. All references outlive this.
  /// @throw std::system_error when an address cannot be bound.
  RelayProcess(asio::io_context& loop, Runtime& runtime, const PlatformPorts& platform,
               const RelaySettings& settings, const RelayAddresses& addresses);
  ~RelayProcess();
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  /// Applies the settings that can change at run time.
  void reload(const RelaySettings& settings);

  /// Shuts down gracefully: not ready at once, serves callers until they have moved to other nodes,
  /// finishes requests in flight, then calls `on_stopped`.
  void stop(std::function<void()> on_stopped);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shuntbank::relay
