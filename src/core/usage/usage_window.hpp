/// @file
/// Time windows for usage reporting, numbered from the Unix epoch by true time.
#pragma once

#include <cstdint>
#include <map>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank::usage {

/// Window k starts k window lengths after the Unix epoch.
using WindowNumber = std::uint64_t;

/// Milliseconds since the Unix epoch. Signed, as it also holds clock differences.
using UnixMs = std::int64_t;

/// Requests that started to run, by tenant. Tenants without any are omitted.
using TenantCounts = std::map<TenantName, std::uint64_t>;

/// Adds `more` to `sum`.
void add(TenantCounts& sum, const TenantCounts& more);

/// @return the sum over all tenants.
std::uint64_t total(const TenantCounts& counts);

/// Maps true time to windows.
struct WindowClock {
  UnixMs length_ms = 5000;

  WindowNumber at(UnixMs time) const { return static_cast<WindowNumber>(time / this->length_ms); }
  UnixMs start(WindowNumber window) const { return static_cast<UnixMs>(window) * this->length_ms; }
  UnixMs end(WindowNumber window) const { return this->start(window + 1); }
};

}  // namespace shuntbank::usage
