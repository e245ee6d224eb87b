/// @file
/// Which engines may continue a stream after its first event.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/identifiers.hpp"

namespace shuntbank::relay {

/// The software that sent a stream's first event. Versions of one service do not understand each
/// other's streams, and neither do services.
struct StreamOrigin {
  ServiceName service;
  std::string version;  ///< See `EngineRecord::stream_version`.

  bool operator==(const StreamOrigin&) const = default;
};

/// Identifies a stream of a tenant by the request that brought its first event. Part of a
/// cryptographic hash, so that a caller cannot name another tenant's stream.
using StreamKey = std::uint64_t;

/// @param tenant empty where there are no tenants.
StreamKey stream_key(std::string_view tenant, std::string_view request_id);

}  // namespace shuntbank::relay
