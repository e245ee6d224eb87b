/// @file
/// Interface to the service that accepts fleet-wide duties, which one node at a time performs:
/// usage reports and engine orders. Implementations only handle names and formats.
#pragma once

#include <functional>
#include <string>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/usage/usage_window.hpp"

namespace shuntbank::relay {

/// Lease holder on whose behalf a call is made.
struct DutyAuthority {
  std::string holder;  ///< Machine name.
  Fence fence = 0;     ///< Fencing token of its lease; increases with each holder.

  bool operator==(const DutyAuthority&) const = default;
};

/// Usage of all tenants in one window.
struct UsageReport {
  usage::WindowNumber window = 0;
  usage::TenantCounts counts;

  bool operator==(const UsageReport&) const = default;
};

/// Target count of engines of one price class for a service in a zone.
struct EngineOrder {
  ServiceName service;
  ZoneName zone;
  std::uint32_t engines = 0;
  bool spot = false;  ///< Discounted engines that the provider may reclaim; counted separately.

  bool operator==(const EngineOrder&) const = default;
};

/// Result of a call.
enum class DutyOutcome {
  kDone,
  kRefused,    ///< A higher fence was seen, or no such engines are available.
  kThrottled,  ///< Too many calls; not executed.
  kUnknown,    ///< No answer: the call may have been executed, or may still be, seconds later.
};

/// @return the name used in logs and metrics.
const char* to_text(DutyOutcome outcome);

/// Client of the service. Handlers run on the event loop, never before the call returns.
class DutyService {
 public:
  using Handler = std::function<void(DutyOutcome)>;

  DutyService() = default;
  virtual ~DutyService() = default;
  DutyService(const DutyService&) = delete;
  DutyService& operator=(const DutyService&) = delete;

  /// Differing reports of the same window must never both be sent.
  virtual void report_usage(const DutyAuthority& authority, const UsageReport& report,
                            Duration timeout, Handler handler) = 0;

  virtual void order_engines(const DutyAuthority& authority, const EngineOrder& order,
                             Duration timeout, Handler handler) = 0;
};

}  // namespace shuntbank::relay
