/// @file
/// Which engines may continue a stream after its first event.
#pragma once

#include <string>

#include "common/identifiers.hpp"

namespace shuntbank::relay {

/// The software that sent a stream's first event. Versions of one service do not understand each
/// other's streams, and neither do services.
struct StreamOrigin {
  ServiceName service;
  std::string version;  ///< See `EngineRecord::stream_version`.

  bool operator==(const StreamOrigin&) const = default;
};

}  // namespace shuntbank::relay
