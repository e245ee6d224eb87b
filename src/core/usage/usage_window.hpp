/// @file
/// Windows of time by which usage is told, counted from the start of 1970 by true time.
#pragma once

#include <cstdint>
#include <map>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::usage {

/// Window k begins k times the length of a window after the start of 1970.
using WindowNumber = std::uint64_t;

/// Milliseconds since the start of 1970. Differences between clocks make it signed.
using UnixMs = std::int64_t;

/// Requests that began to run, by tenant. Tenants without any are left out.
using TenantCounts = std::map<TenantName, std::uint64_t>;

/// Adds counts up.
void add(TenantCounts& sum, const TenantCounts& more);

/// @return the requests of all tenants.
std::uint64_t total(const TenantCounts& counts);

/// Where windows begin and end.
struct WindowClock {
  UnixMs length_ms = 5000;

  WindowNumber at(UnixMs time) const { return static_cast<WindowNumber>(time / this->length_ms); }
  UnixMs start(WindowNumber window) const { return static_cast<UnixMs>(window) * this->length_ms; }
  UnixMs end(WindowNumber window) const { return this->start(window + 1); }
};

}  // namespace shuntbank::usage
