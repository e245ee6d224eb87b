/// @file
/// The port to the service that takes what one node does for the whole fleet: reports of usage and
/// orders for engines. An implementation holds names and formats and decides nothing.
#pragma once

#include <functional>
#include <string>

#include "common/identifiers.hpp"
#include "common/time.hpp"
#include "core/usage/usage_window.hpp"

namespace shuntbank::relay {

/// Under whose authority a call is made.
struct DutyAuthority {
  std::string holder;  ///< The machine.
  Fence fence = 0;     ///< Of its lease; grows from holder to holder.

  bool operator==(const DutyAuthority&) const = default;
};

/// What the tenants have used in one window.
struct UsageReport {
  usage::WindowNumber window = 0;
  usage::TenantCounts counts;

  bool operator==(const UsageReport&) const = default;
};

/// How many engines of one price a service is to have in a zone.
struct EngineOrder {
  ServiceName service;
  ZoneName zone;
  std::uint32_t engines = 0;
  bool spot = false;  ///< Cheap ones, which may be taken back; counted apart from the others.

  bool operator==(const EngineOrder&) const = default;
};

/// What became of a call.
enum class DutyOutcome {
  kDone,
  kRefused,    ///< A higher fence was seen, or there are no such engines now.
  kThrottled,  ///< Nothing was done; too many calls.
  kUnknown,    ///< No answer: it may have been done, or may still be done seconds later.
};

/// @return a short name for logs.
const char* to_text(DutyOutcome outcome);

/// Calls to the service. Handlers are called on the loop, never before the call returns.
class DutyService {
 public:
  using Handler = std::function<void(DutyOutcome)>;

  DutyService() = default;
  virtual ~DutyService() = default;
  DutyService(const DutyService&) = delete;
  DutyService& operator=(const DutyService&) = delete;

  /// Two reports of one window that differ must never both be sent.
  virtual void report_usage(const DutyAuthority& authority, const UsageReport& report,
                            Duration timeout, Handler handler) = 0;

  virtual void order_engines(const DutyAuthority& authority, const EngineOrder& order,
                             Duration timeout, Handler handler) = 0;
};

}  // namespace shuntbank::relay
