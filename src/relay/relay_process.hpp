/// @file
/// A relay node with its sockets: the callers' address, readiness, metrics, the watch of the store,
/// reload and the orderly stop.
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

/// Addresses that a relay process listens on, as IP:PORT. Empty ones are not served.
struct RelayAddresses {
  std::string callers;
  std::string ready;
  std::string control;
  std::string metrics;
  std::string peers;  ///< Where other nodes of the system reach this one.
};

/// What stands around the system, as the adapter brings it. All of it outlives the process.
struct PlatformPorts {
  store::ObjectStore& store;
  const CatalogCodec& codec;
  const EngineDialect& dialect;
  DutyService* duties = nullptr;  ///< Null where the platform takes no calls for the whole fleet.
};

/// One relay process. All of it runs on the loop.
class RelayProcess {
 public:
  /// Listens at once. All references outlive this. @throw std::system_error when an address cannot
  /// be had.
  RelayProcess(asio::io_context& loop, Runtime& runtime, const PlatformPorts& platform,
               const RelaySettings& settings, const RelayAddresses& addresses);
  ~RelayProcess();
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  /// Takes settings that may change while the process runs.
  void reload(const RelaySettings& settings);

  /// Stops in order: not ready at once, callers are served until they have found other nodes, what
  /// is under way ends, then `on_stopped` is called.
  void stop(std::function<void()> on_stopped);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shuntbank::relay
